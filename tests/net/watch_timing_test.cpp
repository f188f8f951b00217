// The times of the discovery client, by the way in which lists reach the front.
#include "net/watch_timing.h"

#include <doctest/doctest.h>

using namespace wingproxy;
using namespace std::chrono_literals;

namespace {

net::DiscoveryTiming timingFor(bool polls, Micros drainGraceUs, net::WatchTiming watch = {}) {
    Settings settings;
    settings.pollsEndpointList = polls;
    settings.drainGraceUs = drainGraceUs;
    return net::discoveryTiming(settings, watch);
}

}  // namespace

TEST_CASE("watch timing: where lists are polled the times are taken as they are") {
    const auto timing = timingFor(true, 400'000);
    CHECK(timing.watch.wait == 1'000ms);
    CHECK(timing.watch.continuedTimeout == 500ms);
    CHECK(timing.watch.firstTimeout == 2'500ms);
}

TEST_CASE("watch timing: where lists are pushed a first request fails after a quarter of a drain's grace") {
    const auto timing = timingFor(false, 400'000);
    CHECK(timing.watch.firstTimeout == 100ms);
    CHECK(timing.retryDelay == 50ms);
}

TEST_CASE("watch timing: where lists are pushed a request that continues a watch keeps its times") {
    const auto timing = timingFor(false, 400'000);
    CHECK(timing.watch.wait == 1'000ms);
    CHECK(timing.watch.continuedTimeout == 500ms);
}

TEST_CASE("watch timing: a long grace does not raise the times of pushed lists above half a second") {
    const auto timing = timingFor(false, 60'000'000);
    CHECK(timing.watch.firstTimeout == 500ms);
    CHECK(timing.retryDelay == 500ms);
}

TEST_CASE("watch timing: without a grace the times of pushed lists are half a second") {
    const auto timing = timingFor(false, 0);
    CHECK(timing.watch.firstTimeout == 500ms);
    CHECK(timing.retryDelay == 500ms);
}

TEST_CASE("watch timing: a timeout that is shorter already stays") {
    CHECK(timingFor(false, 400'000, {40ms, 40ms, 30ms}).watch.firstTimeout == 30ms);
}
