/// \file
/// The timeouts of the discovery client, computed from the settings.
#pragma once

#include <chrono>

#include "wingproxy/policy.h"

namespace wingproxy::net {

/// The timeouts of a watch. Discovery holds a request until the list changes, or until the wait that the
/// request names is over. The defaults follow the protocol, which has no setting for them: after a watch
/// request falls silent, changes count as announced to the front, whether or not they arrived, at the latest
/// 6 s after that, or 2 s after its wait ends. With the defaults, a request that continues a watch counts as
/// lost 1.5 s after it was sent.
struct WatchTiming {
    /// The wait that a request names.
    std::chrono::milliseconds wait{1'000};
    /// How much later than its wait the response may come where the request continues a watch; then it counts
    /// as lost.
    std::chrono::milliseconds continuedTimeout{500};
    /// The same for the first request of a watch. Discovery queues it among the requests of all fronts, for
    /// which it allows 2 s. The front must wait longer than that: a request that is cancelled sooner keeps
    /// its place in the queue, and the next one queues behind it.
    std::chrono::milliseconds firstTimeout{2'500};
    /// The longest pause within a response. Discovery may be slow, and a response that is cut off has to be
    /// requested again from the same slow server.
    std::chrono::milliseconds stallTimeout{2'000};
    /// From a response's first byte to its last. Less than the 6 s after which a change counts as announced
    /// even if it has not arrived.
    std::chrono::milliseconds responseTimeout{5'000};
};

/// The timeouts and the retry delay of the discovery client.
struct DiscoveryTiming {
    WatchTiming watch;
    std::chrono::microseconds retryDelay;  ///< after a failed request, where lists are pushed
    /// The changes in a response that took longer than this, from its first byte to its last, may have been
    /// announced well before.
    std::chrono::microseconds slowResponse;
};

/// Adapts the timeouts to how endpoint lists reach this front.
///
/// Where lists are polled, `watch` is used unchanged, and the policy orders each retry. Where they are
/// pushed, an agent on this host holds the list, and the front counts as informed of what the agent has,
/// even without a watch. So a first request does not queue, and a failure must be detected and repaired
/// within the grace period of a drain: a quarter of it is for the missing response, an eighth for the delay
/// until the next request. The reducer keeps a half for an attempt's first byte, so an eighth is left for the
/// response itself. A response that has begun may take longer than any of these, up to the limits in `watch`:
/// cutting it off would only delay the list.
DiscoveryTiming discoveryTiming(const Settings& settings, WatchTiming watch);

}  // namespace wingproxy::net
