/// \file
/// The Req-Ids of open requests of this process or of another process of this host.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::http {

/// Detects a request that reuses the Req-Id of an open one: a node would take it for a hedged copy of that
/// one.
class OpenRequestIds {
public:
    /// Called when a request of this process is submitted.
    void add(const std::string& id) { open_.insert(id); }
    /// Called when its last attempt has ended: from then on no node can take another request for a copy of
    /// it.
    void remove(const std::string& id) { open_.erase(id); }

    /// Called instead of `remove` if the client left and a node may still run the request: the id counts as
    /// open for a while. At most `kMaxAbandoned` ids are kept, the latest ones.
    /// \param until on the engine's clock
    void abandon(const std::string& id, Micros until);
    /// The most abandoned ids at once: clients choose them.
    static constexpr std::size_t kMaxAbandoned = 4096;

    /// The ids of this process's open requests, in no particular order.
    std::vector<std::string> list() const { return {open_.begin(), open_.end()}; }

    /// Replaces the ids of requests that are open in another process, as after a hot restart.
    /// \param until on the engine's clock; from then on none of them counts as open
    void setOpenElsewhere(const std::vector<std::string>& ids, Micros until);

    /// Whether the id belongs to an open request of this process or of the other one.
    /// \param now on the engine's clock
    bool isOpen(const std::string& id, Micros now) const;

private:
    std::unordered_set<std::string> open_;
    // Abandoned ids are kept as hashes, as an id may be as long as a head.
    std::unordered_map<std::size_t, Micros> abandonedUntil_;
    std::deque<std::size_t> abandoned_;  // in the order in which they were abandoned
    std::unordered_set<std::string> openElsewhere_;
    Micros openElsewhereUntil_ = 0;
};

}  // namespace wingproxy::http
