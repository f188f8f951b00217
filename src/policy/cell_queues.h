/// \file
/// The queues of waiting requests, one for each cell, and the cells that have changed.
#pragma once

#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "policy/pending_request.h"

namespace wingproxy {

/// Requests that wait for a cell, earliest due first.
class RequestQueue {
public:
    /// The order of a queue: earliest due first, and of equals the one that arrived first.
    struct Key {
        Micros due;
        std::uint64_t sequence;
        /// For the map.
        bool operator<(const Key& other) const {
            return std::tie(due, sequence) < std::tie(other.due, other.sequence);
        }
    };
    /// \param request must stay where it is until it is removed; its due time and number are its key
    void add(PendingRequest& request) { requests_.emplace(Key{request.due(), request.sequence()}, &request); }
    /// Does nothing if it does not wait here.
    void remove(const PendingRequest& request) { requests_.erase({request.due(), request.sequence()}); }
    /// Whether none waits.
    [[nodiscard]] bool empty() const { return requests_.empty(); }
    /// All that wait, in the order of sending.
    [[nodiscard]] const std::map<Key, PendingRequest*>& entries() const { return requests_; }
    /// Requests whose clients wait no longer than that.
    [[nodiscard]] std::vector<PendingRequest*> withDeadlineBefore(Micros time) const {
        std::vector<PendingRequest*> found;
        for (const auto& [key, request] : requests_)
            if (request->info().deadlineUs < time) found.push_back(request);
        return found;
    }
    /// Units of all that waits.
    [[nodiscard]] double units() const {
        double sum = 0;
        for (const auto& [key, request] : requests_)
            sum += request->units();
        return sum;
    }

private:
    std::map<Key, PendingRequest*> requests_;
};

/// Owns the queues, and the set of cells that are to be looked at when the batch ends. Cells are named by
/// their numbers.
class CellQueues {
public:
    /// The queue of a cell, made if there is none.
    RequestQueue& of(CellIndex cell) {
        if (cell.position() >= queues_.size()) queues_.resize(cell.position() + 1);
        return queues_[cell.position()];
    }
    /// Queues a request in its cell.
    void add(PendingRequest& request) {
        request.onQueued();
        of(request.cell()).add(request);
        markChanged(request.cell());
    }
    /// Takes a request out of its cell's queue.
    void remove(PendingRequest& request) {
        request.onDequeued();
        of(request.cell()).remove(request);
    }
    /// The waiting request with the least value, the first of equals; null if none waits.
    /// \param valueOf a function from a request to its value
    template <typename ValueOf>
    [[nodiscard]] PendingRequest* leastValuable(ValueOf valueOf) const {
        PendingRequest* least = nullptr;
        for (const RequestQueue& queue : queues_)
            for (const auto& [key, request] : queue.entries())
                if (!least || valueOf(*request) < valueOf(*least)) least = request;
        return least;
    }

    /// Something happened to a cell that may let a request leave: it is dispatched when the batch ends.
    void markChanged(CellIndex cell) { changed_.insert(cell); }
    /// Marks the cells from 0 to `cells` - 1.
    void markAllChanged(int cells) {
        for (int cell = 0; cell < cells; ++cell)
            markChanged(CellIndex(cell));
    }
    /// Marks the cells in which requests wait.
    void markNonEmptyChanged() {
        for (std::size_t cell = 0; cell < queues_.size(); ++cell)
            if (!queues_[cell].empty()) markChanged(CellIndex::ofPosition(cell));
    }
    /// Whether any cell is marked.
    [[nodiscard]] bool hasChanged() const { return !changed_.empty(); }
    /// Takes the lowest changed cell from the set, which must not be empty.
    CellIndex takeChanged() { return changed_.extract(changed_.begin()).value(); }

private:
    std::vector<RequestQueue> queues_;
    std::set<CellIndex> changed_;
};

}  // namespace wingproxy
