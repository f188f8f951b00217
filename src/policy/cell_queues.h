/// \file
/// The queues of waiting requests, one per cell, and the set of changed cells.
#pragma once

#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "policy/pending_request.h"

namespace wingproxy {

/// The requests that wait for a cell, earliest due time first.
class RequestQueue {
public:
    /// The order of a queue: by due time, then by arrival.
    struct Key {
        Micros due;
        std::uint64_t sequence;
        /// For the map.
        bool operator<(const Key& other) const {
            return std::tie(due, sequence) < std::tie(other.due, other.sequence);
        }
    };
    /// Adds a request.
    /// \param request must keep its address, due time and sequence number until it is removed
    void add(PendingRequest& request) { requests_.emplace(Key{request.due(), request.sequence()}, &request); }
    /// Removes a request; no effect if it is not in this queue.
    void remove(const PendingRequest& request) { requests_.erase({request.due(), request.sequence()}); }
    /// Whether no request waits.
    [[nodiscard]] bool empty() const { return requests_.empty(); }
    /// All requests, in the order of sending.
    [[nodiscard]] const std::map<Key, PendingRequest*>& entries() const { return requests_; }
    /// Requests whose deadline is before `time`.
    [[nodiscard]] std::vector<PendingRequest*> withDeadlineBefore(Micros time) const {
        std::vector<PendingRequest*> found;
        for (const auto& [key, request] : requests_)
            if (request->info().deadlineUs < time) found.push_back(request);
        return found;
    }
    /// Sum of the units of all requests.
    [[nodiscard]] double units() const {
        double sum = 0;
        for (const auto& [key, request] : requests_)
            sum += request->units();
        return sum;
    }

private:
    std::map<Key, PendingRequest*> requests_;
};

/// Owns the queues, and the set of changed cells, which are dispatched at the end of the batch.
class CellQueues {
public:
    /// The queue of a cell, created if there is none.
    RequestQueue& of(CellIndex cell) {
        if (cell.position() >= queues_.size()) queues_.resize(cell.position() + 1);
        return queues_[cell.position()];
    }
    /// Adds a request to the queue of its cell, and marks the cell as changed.
    void add(PendingRequest& request) {
        request.onQueued();
        of(request.cell()).add(request);
        markChanged(request.cell());
    }
    /// Removes a request from the queue of its cell.
    void remove(PendingRequest& request) {
        request.onDequeued();
        of(request.cell()).remove(request);
    }
    /// The waiting request with the lowest value, the first of equals; null if none waits.
    /// \param valueOf function from a request to its value
    template <typename ValueOf>
    [[nodiscard]] PendingRequest* leastValuable(ValueOf valueOf) const {
        PendingRequest* least = nullptr;
        for (const RequestQueue& queue : queues_)
            for (const auto& [key, request] : queue.entries())
                if (!least || valueOf(*request) < valueOf(*least)) least = request;
        return least;
    }

    /// Marks a cell in which a request may now be sent: it is dispatched at the end of the batch.
    void markChanged(CellIndex cell) { changed_.insert(cell); }
    /// Marks the cells 0 to `cells` - 1 as changed.
    void markAllChanged(int cells) {
        for (int cell = 0; cell < cells; ++cell)
            markChanged(CellIndex(cell));
    }
    /// Marks all cells in which requests wait as changed.
    void markNonEmptyChanged() {
        for (std::size_t cell = 0; cell < queues_.size(); ++cell)
            if (!queues_[cell].empty()) markChanged(CellIndex::ofPosition(cell));
    }
    /// Whether any cell is marked as changed.
    [[nodiscard]] bool hasChanged() const { return !changed_.empty(); }
    /// Removes and returns the changed cell with the lowest number; there must be one.
    CellIndex takeChanged() { return changed_.extract(changed_.begin()).value(); }

private:
    std::vector<RequestQueue> queues_;
    std::set<CellIndex> changed_;
};

}  // namespace wingproxy
