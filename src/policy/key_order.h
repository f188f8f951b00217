/// \file
/// The order of requests with the same key, for classes whose requests are sent one after the other.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <string>

#include "policy/micros.h"

namespace wingproxy {

/// Owns one queue of open requests per key. While a key is paused, only the request that caused the pause may
/// be sent.
class KeyOrder {
public:
    /// Appends a request to the queue of its key.
    void add(const std::string& key, RequestId id) { keys_[key].order.push_back(id); }
    /// Whether this request is the first in the queue of its key, the key is not paused for it, and no
    /// attempt of a finished request is outstanding. True for an unknown key.
    [[nodiscard]] bool isNext(const std::string& key, RequestId id, Micros now) const {
        const auto entry = keys_.find(key);
        if (entry == keys_.end()) return true;
        const Queue& queue = entry->second;
        if (queue.order.front() != id || queue.abandonedAttempts > 0) return false;
        return now >= queue.pausedUntil || queue.pausedBy == id;
    }
    /// Pauses a key, because a node may still be executing an attempt that has ended.
    /// \param by the request that may still be sent; 0: none
    void pause(const std::string& key, Micros until, RequestId by) {
        const auto entry = keys_.find(key);
        if (entry == keys_.end()) return;
        entry->second.pausedUntil = until;
        entry->second.pausedBy = by;
    }
    /// Removes a request that has its final answer.
    /// \param outstanding its attempts without an outcome, which block the key until they end
    void remove(const std::string& key, RequestId id, int outstanding, Micros now) {
        const auto entry = keys_.find(key);
        if (entry == keys_.end()) return;
        std::erase(entry->second.order, id);
        entry->second.abandonedAttempts += outstanding;
        if (entry->second.isIdle(now)) keys_.erase(entry);
    }
    /// An attempt of a removed request ended.
    void onAbandonedAttemptEnded(const std::string& key) {
        const auto entry = keys_.find(key);
        if (entry == keys_.end()) return;
        entry->second.abandonedAttempts = std::max(0, entry->second.abandonedAttempts - 1);
    }
    /// Removes keys that have no open requests, no outstanding attempts and no pause.
    void forgetIdle(Micros now) {
        std::erase_if(keys_, [&](const auto& entry) { return entry.second.isIdle(now); });
    }
    /// Number of keys, for `Policy::tableEntries`.
    [[nodiscard]] std::size_t size() const { return keys_.size(); }

private:
    struct Queue {
        std::deque<RequestId> order;
        int abandonedAttempts = 0;  // outstanding attempts of removed requests
        Micros pausedUntil = kNever;
        RequestId pausedBy = 0;

        [[nodiscard]] bool isIdle(Micros now) const {
            return order.empty() && abandonedAttempts == 0 && now >= pausedUntil;
        }
    };
    std::map<std::string, Queue> keys_;
};

}  // namespace wingproxy
