/// \file
/// How long the discovery client waits: pure rules from the settings, without a timer.
#pragma once

#include <chrono>

#include "wingproxy/policy.h"

namespace wingproxy::net {

/// The times of a watch. Discovery holds a request until the list changes, or until the wait that the request
/// names is over. The defaults are the protocol's, which has no setting for them: a watch that is not
/// answered binds a front 6 s after it fell silent, or 2 s after its wait, and this one is missed after 1.5
/// s.
struct WatchTiming {
    /// The wait that a request names.
    std::chrono::milliseconds wait{1'000};
    /// How much later than its wait the response may come where the request continues a watch; then it counts
    /// as lost.
    std::chrono::milliseconds continuedTimeout{500};
    /// The same for the first request of a watch. It waits for its turn among the requests of all fronts, for
    /// which discovery allows 2 s; the front must see the end of that, as a request that is cancelled sooner
    /// keeps its turn, and the next one queues behind it.
    std::chrono::milliseconds firstTimeout{2'500};
};

/// The times of the discovery client.
struct DiscoveryTiming {
    WatchTiming watch;
    std::chrono::microseconds retryDelay;  ///< after a failed request, where lists are pushed
};

/// Adapts the times to how lists reach this front.
///
/// Where lists are polled, `watch` is taken as it is, and the policy orders each retry. Where they are
/// pushed, an agent on this host holds the list, and the front counts as informed of what the agent has,
/// watch or no watch. So a first request does not queue, and a failure must be noticed and repaired within
/// the grace of a drain: a quarter of it for the missing response, an eighth until the next request. With the
/// half that the reducer keeps for an attempt's first byte, an eighth is left.
DiscoveryTiming discoveryTiming(const Settings& settings, WatchTiming watch);

}  // namespace wingproxy::net
