// Tests of the discovery client's timeouts, with polled and with pushed endpoint lists.
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

TEST_CASE("watch timing: where lists are polled, the timeouts are used unchanged") {
    const auto timing = timingFor(true, 400'000);
    CHECK(timing.watch.wait == 1'000ms);
    CHECK(timing.watch.continuedTimeout == 500ms);
    CHECK(timing.watch.firstTimeout == 2'500ms);
}

TEST_CASE("watch timing: where lists are pushed, a first request fails after a quarter of the drain grace") {
    const auto timing = timingFor(false, 400'000);
    CHECK(timing.watch.firstTimeout == 100ms);
    CHECK(timing.retryDelay == 50ms);
}

TEST_CASE("watch timing: where lists are pushed, a request that continues a watch keeps its timeouts") {
    const auto timing = timingFor(false, 400'000);
    CHECK(timing.watch.wait == 1'000ms);
    CHECK(timing.watch.continuedTimeout == 500ms);
}

TEST_CASE("watch timing: a long grace period does not raise the timeouts of pushed lists above 500 ms") {
    const auto timing = timingFor(false, 60'000'000);
    CHECK(timing.watch.firstTimeout == 500ms);
    CHECK(timing.retryDelay == 500ms);
}

TEST_CASE("watch timing: without a grace period the timeouts of pushed lists are 500 ms") {
    const auto timing = timingFor(false, 0);
    CHECK(timing.watch.firstTimeout == 500ms);
    CHECK(timing.retryDelay == 500ms);
}

TEST_CASE("watch timing: a shorter timeout is kept") {
    CHECK(timingFor(false, 400'000, {40ms, 40ms, 30ms}).watch.firstTimeout == 30ms);
}

TEST_CASE("watch timing: the limits of a response that has begun do not depend on how lists arrive") {
    for (const bool polls : {true, false}) {
        const auto timing = timingFor(polls, 400'000);
        CHECK(timing.watch.stallTimeout == 2'000ms);
        CHECK(timing.watch.responseTimeout == 5'000ms);
    }
}

TEST_CASE("watch timing: the changes in a response that takes longer than a part of the grace may be old") {
    CHECK(timingFor(true, 400'000).slowResponse == 500ms);
    CHECK(timingFor(false, 400'000).slowResponse == 50ms);
    CHECK(timingFor(false, 60'000'000).slowResponse == 500ms);
}
