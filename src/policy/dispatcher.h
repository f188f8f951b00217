/// \file
/// The queues of waiting requests: where a new object goes, which request leaves next, and to which node.
#pragma once

#include <set>
#include <vector>

#include "policy/admission.h"
#include "policy/attempt_tracker.h"

namespace wingproxy {

/// Owns the queue of each cell and the set of cells that are to be looked at when the batch ends.
class Dispatcher {
public:
    Dispatcher(const Context& context, ClusterView& cluster, const Admission& admission, RetryPolicy& retries,
               AttemptTracker& attempts)
        : context_(context),
          cluster_(cluster),
          admission_(admission),
          retries_(retries),
          attempts_(attempts) {}

    /// The cell with the shortest wait for a new object of this size.
    [[nodiscard]] int cellForNewObject(double units);
    /// Queues a request, in a cell of its choice where none is set.
    void enqueue(PendingRequest& request);
    /// Takes a request out of its queue, if it is in one.
    void dequeue(PendingRequest& request);
    /// Sends what may leave a cell's queue, earliest due first.
    void dispatch(int cell);

    /// The queue of a cell.
    RequestQueue& queue(int cell) {
        if (std::size_t(cell) >= queues_.size()) queues_.resize(std::size_t(cell) + 1);
        return queues_[std::size_t(cell)];
    }
    /// The least valuable of all requests that wait, the first of equals; null if none waits.
    [[nodiscard]] PendingRequest* leastValuable() const;

    /// A cell is to be looked at when the batch ends.
    void markChanged(int cell) { changed_.insert(cell); }
    void markAllChanged();
    /// Marks the cells in which requests wait.
    void markWaiting();
    /// Takes the lowest changed cell from the set.
    /// \return -1: none is left
    int takeChanged();

    /// The number of a new request in the order of arrival.
    std::uint64_t nextSequence() { return nextSequence_++; }
    [[nodiscard]] std::uint64_t sequence() const { return nextSequence_; }
    void restore(std::uint64_t sequence) { nextSequence_ = sequence; }

private:
    [[nodiscard]] double waitForNewObject(Node& node, double unitsAhead, double units) const;
    [[nodiscard]] bool maySendNow(const PendingRequest& request, int node) const;
    [[nodiscard]] int chooseNode(const PendingRequest& request, const Cell& cell) const;
    bool sendNext(int cell);

    const Context& context_;
    ClusterView& cluster_;
    const Admission& admission_;
    RetryPolicy& retries_;
    AttemptTracker& attempts_;
    std::vector<RequestQueue> queues_;  // by cell
    std::set<int> changed_;
    std::uint64_t nextSequence_ = 0;
};

}  // namespace wingproxy
