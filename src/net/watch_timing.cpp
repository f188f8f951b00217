#include "net/watch_timing.h"

#include <algorithm>

#include "net/clock.h"

namespace wingproxy::net {
namespace {

using std::chrono::milliseconds;

// Divisors of a drain's grace period; see discoveryTiming().
constexpr int kTimeoutGraceDivisor = 4;
constexpr int kRetryGraceDivisor = 8;
constexpr int kResponseGraceDivisor = 8;
// Upper bounds, which also apply if no grace period is set.
constexpr milliseconds kMaxPushedTimeout{500};
constexpr milliseconds kMaxRetryDelay{500};
constexpr milliseconds kMaxFreshResponse{500};

}  // namespace

DiscoveryTiming discoveryTiming(const Settings& settings, WatchTiming watch) {
    DiscoveryTiming timing{watch, kMaxRetryDelay, kMaxFreshResponse};
    if (settings.pollsEndpointList) return timing;
    timing.watch.firstTimeout = std::min(timing.watch.firstTimeout, kMaxPushedTimeout);
    const auto grace = toDuration(settings.drainGraceUs);
    if (grace.count() <= 0) return timing;
    const auto timeout = std::chrono::duration_cast<milliseconds>(grace / kTimeoutGraceDivisor);
    timing.watch.firstTimeout = std::min(timing.watch.firstTimeout, timeout);
    timing.retryDelay = std::min(timing.retryDelay, grace / kRetryGraceDivisor);
    timing.slowResponse = std::min(timing.slowResponse, grace / kResponseGraceDivisor);
    return timing;
}

}  // namespace wingproxy::net
