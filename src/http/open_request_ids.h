/// \file
/// The Req-Ids of requests that have no response yet, here or in another process of this host.
#pragma once

#include <string>
#include <unordered_set>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::http {

/// Detects a request whose Req-Id belongs to an open one: a node would take it for a hedged copy of that one.
class OpenRequestIds {
public:
    /// A request of this process is open from now on.
    void add(const std::string& id) { open_.insert(id); }
    /// Its last attempt has ended, after which no node can take another request for a copy of it.
    void remove(const std::string& id) { open_.erase(id); }

    /// Those that were added here, in no order.
    std::vector<std::string> list() const { return {open_.begin(), open_.end()}; }

    /// Replaces the ids that are open in another process, as after a hot restart.
    /// \param until on the engine's clock; after it none of them counts as open
    void setOpenElsewhere(const std::vector<std::string>& ids, Micros until);

    /// Whether the id belongs to an open request here or in the other process.
    /// \param now on the engine's clock
    bool isOpen(const std::string& id, Micros now) const;

private:
    std::unordered_set<std::string> open_;
    std::unordered_set<std::string> openElsewhere_;
    Micros openElsewhereUntil_ = 0;
};

}  // namespace wingproxy::http
