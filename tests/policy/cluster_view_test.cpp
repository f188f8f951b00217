// Specifies which nodes get requests while they drain or are replaced, and when discovery is called.
#include <gtest/gtest.h>

#include "policy/policy_test_support.h"

namespace wingproxy::test {
namespace {

// Its successor is listed a second or two later: without the grace the cell has no node meanwhile.
TEST(ClusterView, ADrainingNodeServesWithinItsGraceWhereItsCellHasNoOther) {
    const auto goes = [](Micros after, std::vector<NodeInfo> more = {},
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
    EXPECT_EQ(goes(0), "a");
    EXPECT_EQ(goes(grace * 6 / 10), "a");
    EXPECT_EQ(goes(grace * 8 / 10), "");
    EXPECT_EQ(goes(0, {node("c", 0)}), "c");
    // Lists that came late may be older than they look: after a lost call, or all anew.
    EXPECT_EQ(goes(0, {}, EndpointListKind::Unavailable), "");
    EXPECT_EQ(goes(0, {}, EndpointListKind::Delta, EndpointListKind::Full), "");
}

// While discovery fails now and then the list must not stay old for long; while it is down it isn't pressed.
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
             nodes({}, EndpointListKind::Unavailable)});  // answered: as at first
    EXPECT_EQ(askedWithin(150 * kMs), 1u);
}

// Discovery answers all hosts in turn: when many start at once, or their calls failed at once, they must not
// come back at once. What it can't answer in time has failed, and is asked again on top of the others.
// Checked: in no tenth of a second do more than a twelfth of 300 hosts call, and each one calls within the
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
    h.batch({nodes({node("b", 1)})});  // a full list without c: it has left
    EXPECT_EQ(only<ForwardRequest>(h.batch({request(3, 0, 1, h.now)})).size(), 0u);
}

}  // namespace
}  // namespace wingproxy::test
