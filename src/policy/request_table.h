/// \file
/// The requests of clients that are open: without a final answer, or with attempts that are not over.
#pragma once

#include <set>
#include <unordered_map>

#include "policy/pending_request.h"

namespace wingproxy {

/// Owns the open requests. The order of iteration differs between builds: nothing may depend on it.
class RequestTable {
public:
    /// Adds a request; null where one of that id is open. Pointers stay valid until it is erased.
    PendingRequest* open(const Request& info) {
        const auto [entry, isNew] = requests_.try_emplace(info.id, info);
        return isNew ? &entry->second : nullptr;
    }
    /// The request of this id, or null.
    [[nodiscard]] PendingRequest* find(RequestId id) {
        const auto entry = requests_.find(id);
        return entry == requests_.end() ? nullptr : &entry->second;
    }
    /// The request of this id, if it has this attempt outstanding, or null.
    [[nodiscard]] PendingRequest* findAttempt(RequestId id, AttemptIndex attempt) {
        PendingRequest* const request = find(id);
        return request && request->nodeByAttempt().contains(attempt) ? request : nullptr;
    }
    /// Forgets a request that is finished and has no attempt outstanding.
    void erase(RequestId id) { requests_.erase(id); }
    /// All open requests, in no order.
    [[nodiscard]] const std::unordered_map<RequestId, PendingRequest>& all() const { return requests_; }
    /// Number of open requests, for `Policy::tableEntries`.
    [[nodiscard]] std::size_t size() const { return requests_.size(); }

    /// The volumes of open requests, which must not be forgotten.
    [[nodiscard]] std::set<const Volume*> volumes() const {
        std::set<const Volume*> volumes;
        for (const auto& [id, request] : requests_)
            volumes.insert(&request.volume());
        return volumes;
    }
    /// Indices of the nodes near which a request may have to be repeated; none among them means nothing.
    [[nodiscard]] std::set<NodeIndex> pinnedNodes() const {
        std::set<NodeIndex> nodes;
        for (const auto& [id, request] : requests_)
            nodes.insert(request.pinnedNode());
        return nodes;
    }

private:
    std::unordered_map<RequestId, PendingRequest> requests_;
};

}  // namespace wingproxy
