/// \file
/// The open client requests: those without a final answer, or with outstanding attempts.
#pragma once

#include <set>
#include <unordered_map>

#include "policy/pending_request.h"

namespace wingproxy {

/// Owns the open requests. The iteration order differs between builds: nothing may depend on it.
class RequestTable {
public:
    /// Adds a request; null if one with its id is open already. The pointer stays valid until `erase`.
    PendingRequest* open(const Request& info) {
        const auto [entry, isNew] = requests_.try_emplace(info.id, info);
        return isNew ? &entry->second : nullptr;
    }
    /// The request with this id, or null.
    [[nodiscard]] PendingRequest* find(RequestId id) {
        const auto entry = requests_.find(id);
        return entry == requests_.end() ? nullptr : &entry->second;
    }
    /// The request with this id if the attempt is outstanding, or null.
    [[nodiscard]] PendingRequest* findAttempt(RequestId id, AttemptIndex attempt) {
        PendingRequest* const request = find(id);
        return request && request->nodeByAttempt().contains(attempt) ? request : nullptr;
    }
    /// Removes a request, which must be finished and have no outstanding attempts.
    void erase(RequestId id) { requests_.erase(id); }
    /// All open requests, in no order.
    [[nodiscard]] const std::unordered_map<RequestId, PendingRequest>& all() const { return requests_; }
    /// Number of open requests, for `Policy::tableEntries`.
    [[nodiscard]] std::size_t size() const { return requests_.size(); }

    /// The volumes of open requests, which must be kept.
    [[nodiscard]] std::set<const Volume*> volumes() const {
        std::set<const Volume*> volumes;
        for (const auto& [id, request] : requests_)
            volumes.insert(&request.volume());
        return volumes;
    }
    /// The nodes near which an open request may have to be retried, see `PendingRequest::pinnedNode`. The set
    /// may contain the index none, to be ignored.
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
