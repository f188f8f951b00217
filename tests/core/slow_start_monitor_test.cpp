// The monitor logs the start and end of each slow start, and counts nodes that were sent more within a window
// than this host's part of the budget.
#include "core/slow_start_monitor.h"

#include <doctest/doctest.h>

#include "support/policy_support.h"

using namespace wingproxy;
using namespace wingproxy::core;
using namespace wingproxy::test;

namespace {

constexpr Micros kNow = 100 * kSecond;

EndpointList listOf(std::vector<NodeInfo> listed) { return {EndpointListKind::Full, 1, std::move(listed)}; }

}  // namespace

TEST_CASE("slow start monitor: the start and the end of a slow start are each logged once") {
    const Settings s = settings(0, 3);
    SlowStartMonitor monitor(s);
    const auto listed = listOf({node("old", 0), node("new", 1, NodeState::Ready, kNow - kSecond)});
    const auto startLines = monitor.onEndpointList(listed, kNow);
    REQUIRE(startLines.size() == 1);
    CHECK(startLines[0].starts_with("slow start of new in cell 1: started 1.000 s ago, budget "));
    CHECK(monitor.onEndpointList(listed, kNow + kSecond).empty());
    CHECK(monitor.counters(kNow).nodesWarmingUp == 1);
    monitor.onAttemptStarted("new", 2, kNow);
    monitor.onAttemptCompleted("new", 2);
    const Micros warmAt = kNow + s.slowStartDurationUs;
    const auto endLines = monitor.onEndpointList(listed, warmAt);
    REQUIRE(endLines.size() == 1);
    CHECK(endLines[0] == "slow start of new over: sent 2.0 units, completed 2.0, at most 2.0 in one window");
    CHECK(monitor.counters(warmAt).nodesWarmingUp == 0);
    CHECK(monitor.size() == 0);
}

TEST_CASE("slow start monitor: a window above this host's part is counted, without older attempts") {
    const Settings s = settings(0, 3);
    SlowStartMonitor monitor(s);
    (void)monitor.onEndpointList(listOf({node("new", 1, NodeState::Ready, kNow)}), kNow);
    const double part = s.slowStartUnits / s.hostCount;
    monitor.onAttemptStarted("new", part, kNow);
    monitor.onAttemptStarted("new", part, kNow + s.slowStartWindowUs + 1);
    CHECK(monitor.counters(kNow).nodesOverPart == 0);
    monitor.onAttemptStarted("new", part, kNow + s.slowStartWindowUs + 2);
    CHECK(monitor.counters(kNow).nodesOverPart == 1);
    CHECK(monitor.counters(kNow).attempts == 3);
    monitor.onAttemptStarted("other", part, kNow);
    CHECK(monitor.counters(kNow).attempts == 3);
}
