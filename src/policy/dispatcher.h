/// \file
/// Dispatches queued requests: chooses the cell of a new object, the request to send next, and its node.
#pragma once

#include "policy/admission.h"
#include "policy/attempt_tracker.h"
#include "policy/cell_queues.h"
#include "policy/least_wait.h"

namespace wingproxy {

/// Owns the queues of the cells, and sends from them what the nodes have capacity for.
class Dispatcher {
public:
    /// \param admission gives the value of a request and the longest latency that it accepts
    /// \param retries checks every request before it is sent
    Dispatcher(const Context& context, ClusterView& cluster, const Admission& admission, RetryPolicy& retries,
               AttemptTracker& attempts)
        : context_(context),
          cluster_(cluster),
          admission_(admission),
          retries_(retries),
          attempts_(attempts) {}

    /// The cell with the shortest expected wait for a new object. Cell 0 if no cell is known.
    /// \param units size of the request
    [[nodiscard]] CellIndex cellForNewObject(double units);
    /// Queues a request; chooses its cell if it has none.
    void enqueue(PendingRequest& request) {
        if (request.cell().isNone()) request.setCell(cellForNewObject(request.units()));
        if (!request.hasTokens()) LeaseAllocator::addQueuedUnits(request.volume(), request.units());
        queues_.add(request);
    }
    /// Removes a request from its queue, if it is in one.
    void dequeue(PendingRequest& request) {
        if (!request.isQueued()) return;
        if (!request.hasTokens()) LeaseAllocator::removeQueuedUnits(request.volume(), request.units());
        queues_.remove(request);
    }
    /// Sends all requests in a cell's queue that may be sent now, earliest due first.
    void dispatch(CellIndex cell) {
        while (sendNext(cell)) {}
    }

    /// Why a queued request is not sent now: the first reason that applies to every node of its cell, and
    /// `TooSlow` if none does.
    [[nodiscard]] AnswerReason holdReason(const PendingRequest& request) const;
    /// The least valuable queued request, the first of equals; null if none is queued.
    [[nodiscard]] PendingRequest* leastValuable() {
        return queues_.leastValuable(
            [&](const PendingRequest& request) { return admission_.value(request); });
    }
    /// The queues, to mark changed cells and to read what is queued.
    [[nodiscard]] CellQueues& queues() { return queues_; }

    /// Takes the next sequence number, which numbers requests in the order of arrival.
    std::uint64_t nextSequence() { return nextSequence_++; }
    /// The sequence number of the next request, for the snapshot.
    [[nodiscard]] std::uint64_t sequence() const { return nextSequence_; }
    /// Continues the sequence numbers of a predecessor process.
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
