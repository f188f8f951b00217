/// \file
/// The order of requests with the same key, for classes that are served one after the other.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <string>

#include "policy/micros.h"

namespace wingproxy {

/// Owns one queue of open requests for each key. A key may be paused: then only the request that caused the
/// pause is next.
class KeyOrder {
public:
    /// A request arrived: it is served after all that have the key already.
    void add(const std::string& key, RequestId id) { keys_[key].order.push_back(id); }
    /// Whether this request is the first of its key, the key is not paused for it, and no attempt of an
    /// earlier request runs. True for a key that is not known.
    [[nodiscard]] bool isNext(const std::string& key, RequestId id, Micros now) const {
        const auto entry = keys_.find(key);
        if (entry == keys_.end()) return true;
        const Queue& queue = entry->second;
        if (queue.order.front() != id || queue.abandonedAttempts > 0) return false;
        return now >= queue.pausedUntil || queue.pausedBy == id;
    }
    /// An attempt ended that may run yet.
    /// \param by the request that may go on meanwhile; 0: none
    void pause(const std::string& key, Micros until, RequestId by) {
        const auto entry = keys_.find(key);
        if (entry == keys_.end()) return;
        entry->second.pausedUntil = until;
        entry->second.pausedBy = by;
    }
    /// A request has its final answer.
    /// \param outstanding its attempts without an outcome
    void remove(const std::string& key, RequestId id, int outstanding, Micros now) {
        const auto entry = keys_.find(key);
        if (entry == keys_.end()) return;
        std::erase(entry->second.order, id);
        entry->second.abandonedAttempts += outstanding;
        if (entry->second.isIdle(now)) keys_.erase(entry);
    }
    /// An attempt ended whose request had its final answer before.
    void onAbandonedAttemptEnded(const std::string& key) {
        const auto entry = keys_.find(key);
        if (entry == keys_.end()) return;
        entry->second.abandonedAttempts = std::max(0, entry->second.abandonedAttempts - 1);
    }
    /// Forgets keys without requests, attempts and pause.
    void forgetIdle(Micros now) {
        std::erase_if(keys_, [&](const auto& entry) { return entry.second.isIdle(now); });
    }
    /// Number of keys, for `Policy::tableEntries`.
    [[nodiscard]] std::size_t size() const { return keys_.size(); }

private:
    struct Queue {
        std::deque<RequestId> order;
        int abandonedAttempts = 0;  // outstanding, of requests that have their final answer
        Micros pausedUntil = kNever;
        RequestId pausedBy = 0;

        [[nodiscard]] bool isIdle(Micros now) const {
            return order.empty() && abandonedAttempts == 0 && now >= pausedUntil;
        }
    };
    std::map<std::string, Queue> keys_;
};

}  // namespace wingproxy
