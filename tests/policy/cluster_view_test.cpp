// Tests which nodes get requests while they drain or are replaced, and when discovery is called.
#include <gtest/gtest.h>

#include "policy/policy_test_support.h"

namespace wingproxy::test {
namespace {

// A successor is listed a second or two after the drain. Without the grace period, the cell would have no
// node until then.
TEST(ClusterView, ADrainingNodeServesWithinItsGraceWhereItsCellHasNoOther) {
    const auto chosenNode = [](Micros after, std::vector<NodeInfo> more = {},
                               EndpointListKind before = EndpointListKind::Delta,
                               EndpointListKind kind = EndpointListKind::Delta) {
        Host h = ready();
        if (before == EndpointListKind::Unavailable) h.batch({nodes({}, EndpointListKind::Unavailable)});
        more.push_back(node("a", 0, NodeState::Draining));
        h.batch({nodes(more, kind)});
        h.runTo(h.now + after);
        const auto sends = only<ForwardRequest>(h.batch({request(1, 0, 1, h.now)}));
        return sends.empty() ? std::string() : sends[0].node;
    };
    const Micros grace = settings().drainGraceUs;
    EXPECT_EQ(chosenNode(0), "a");
    EXPECT_EQ(chosenNode(grace * 6 / 10), "a");
    EXPECT_EQ(chosenNode(grace * 8 / 10), "");
    EXPECT_EQ(chosenNode(0, {node("c", 0)}), "c");
    // The drain may be older than the list that shows it: after a failed call, and in a full list.
    EXPECT_EQ(chosenNode(0, {}, EndpointListKind::Unavailable), "");
    EXPECT_EQ(chosenNode(0, {}, EndpointListKind::Delta, EndpointListKind::Full), "");
}

// After a single failure of discovery, the list must be refreshed soon; during an outage, discovery must not
// be called often.
TEST(ClusterView, AFailedWatchIsRepeatedWithBackoff) {
    Settings set = settings();
    set.pollsEndpointList = true;
    set.pollIntervalUs = 10 * kSecond;
    Host h = ready(set);
    const auto askedWithin = [&](Micros span) {
        return only<WatchEndpointList>(h.runTo(h.now + span)).size();
    };
    h.batch({nodes({}, EndpointListKind::Unavailable)});
    EXPECT_EQ(askedWithin(150 * kMs), 1u);
    for (int i = 0; i < 5; ++i)
        h.batch({nodes({}, EndpointListKind::Unavailable)});
    EXPECT_EQ(askedWithin(2 * kSecond), 0u);
    EXPECT_EQ(askedWithin(2 * kSecond), 1u);
    h.batch({nodes({node("a", 0)}, EndpointListKind::Delta),
             nodes({}, EndpointListKind::Unavailable)});  // the success resets the backoff
    EXPECT_EQ(askedWithin(150 * kMs), 1u);
}

// Discovery answers the hosts one after the other, so hosts that start or fail at the same time must not call
// it again at the same time: calls that it cannot answer in time fail, and are repeated in addition to the
// others. In no tenth of a second may more than a twelfth of 300 hosts call, and each must call within the
// poll interval.
TEST(ClusterView, ManyHostsSpreadTheirCallsToDiscovery) {
    constexpr int kHosts = 300;
    std::map<Micros, int> first, again;  // calls by tenth of a second
    for (int i = 0; i < kHosts; ++i) {
        Settings set = settings(i, kHosts);
        set.seed = 0x9e3779b97f4a7c15ull * std::uint64_t(i + 1);
        set.pollsEndpointList = true;
        set.pollIntervalUs = 10 * kSecond;
        Host h(set, kStart);
        h.batch({nodes({}, EndpointListKind::Cached)});
        const auto called = [&](std::map<Micros, int>& when) {
            const Micros since = h.now;
            while (only<WatchEndpointList>(h.runTo(h.now + 10 * kMs)).empty())
                ASSERT_LT(h.now - since, set.pollIntervalUs) << "host " << i;
            ++when[(h.now - kStart) / (100 * kMs)];
        };
        called(first);
        h.runTo(kStart + 12 * kSecond);
        h.batch({nodes({}, EndpointListKind::Unavailable)});
        called(again);
    }
    const auto most = [](const std::map<Micros, int>& when) {
        int calls = 0;
        for (const auto& [tenth, n] : when)
            calls = std::max(calls, n);
        return calls;
    };
    EXPECT_LE(most(first), kHosts / 12);
    EXPECT_LE(most(again), kHosts / 12);
}

TEST(ClusterView, NothingIsSentToADrainingOrRemovedNode) {
    Host h = ready();
    h.batch({nodes({node("a", 0, NodeState::Draining)}, EndpointListKind::Delta)});
    h.runTo(h.now + settings().drainGraceUs);
    EXPECT_EQ(only<ForwardRequest>(h.batch({request(1, 0, 1, h.now)})).size(), 0u);
    h.batch({nodes({node("c", 0)}, EndpointListKind::Delta)});  // its successor takes the queued request
    const auto sends = only<ForwardRequest>(h.batch({request(2, 0, 1, h.now)}));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].node, "c");
    h.batch({nodes({node("b", 1)})});  // a full list without c removes it
    EXPECT_EQ(only<ForwardRequest>(h.batch({request(3, 0, 1, h.now)})).size(), 0u);
}

}  // namespace
}  // namespace wingproxy::test
