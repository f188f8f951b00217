/// \file
/// The queues of waiting requests: where a new object goes, which request leaves next, and to which node.
#pragma once

#include "policy/admission.h"
#include "policy/attempt_tracker.h"
#include "policy/cell_queues.h"
#include "policy/least_wait.h"

namespace wingproxy {

/// Owns the queues of the cells.
class Dispatcher {
public:
    /// \param admission says what a request is worth and how long a latency it accepts
    /// \param retries is asked before every send
    Dispatcher(const Context& context, ClusterView& cluster, const Admission& admission, RetryPolicy& retries,
               AttemptTracker& attempts)
        : context_(context),
          cluster_(cluster),
          admission_(admission),
          retries_(retries),
          attempts_(attempts) {}

    /// The cell with the shortest wait for a new object of this size, in units. Cell 0 where none is known.
    [[nodiscard]] CellIndex cellForNewObject(double units);
    /// Queues a request, in a cell of its choice where none is set.
    void enqueue(PendingRequest& request) {
        if (request.cell().isNone()) request.setCell(cellForNewObject(request.units()));
        if (!request.hasTokens()) LeaseAllocator::addQueuedUnits(request.volume(), request.units());
        queues_.add(request);
    }
    /// Takes a request out of its queue, if it is in one.
    void dequeue(PendingRequest& request) {
        if (!request.isQueued()) return;
        if (!request.hasTokens()) LeaseAllocator::removeQueuedUnits(request.volume(), request.units());
        queues_.remove(request);
    }
    /// Sends what may leave a cell's queue, earliest due first.
    void dispatch(CellIndex cell) {
        while (sendNext(cell)) {}
    }

    /// Why a request that waits is not sent now, as far as one reason covers all nodes of its cell.
    [[nodiscard]] AnswerReason holdReason(const PendingRequest& request) const;
    /// The least valuable of all requests that wait, the first of equals; null if none waits.
    [[nodiscard]] PendingRequest* leastValuable() {
        return queues_.least([&](const PendingRequest& request) { return admission_.value(request); });
    }
    /// The queues, to mark what changed and to see what waits.
    [[nodiscard]] CellQueues& queues() { return queues_; }

    /// The number of a new request in the order of arrival.
    std::uint64_t nextSequence() { return nextSequence_++; }
    /// The number that the next request gets, for the snapshot.
    [[nodiscard]] std::uint64_t sequence() const { return nextSequence_; }
    /// Goes on with the numbers of a predecessor process.
    void restore(std::uint64_t sequence) { nextSequence_ = sequence; }

private:
    [[nodiscard]] double waitForNewObject(Node& node, double unitsAhead, double units) const;
    [[nodiscard]] bool maySendNow(const PendingRequest& request, NodeIndex node) const;
    [[nodiscard]] NodeIndex chooseNode(const PendingRequest& request, const Cell& cell) const;
    bool sendNext(CellIndex cell);

    const Context& context_;
    ClusterView& cluster_;
    const Admission& admission_;
    RetryPolicy& retries_;
    AttemptTracker& attempts_;
    CellQueues queues_;
    std::uint64_t nextSequence_ = 0;
};

}  // namespace wingproxy
