// Tests which queued requests are rejected early, because they cannot be answered in time or their
// connections are needed.
#include <gtest/gtest.h>

#include "policy/policy_test_support.h"

namespace wingproxy::test {
namespace {

TEST(LoadShedder, EveryRequestGetsOneFinalAnswerBeforeItsDeadline) {
    Host h(settings(), kStart);  // without nodes no request can be served
    h.batch();
    h.batch({request(1, 0, 1, h.now), request(2, 2, 1, h.now)});
    const auto actions = h.runTo(h.now + 2 * kSecond);
    EXPECT_EQ(only<ForwardRequest>(actions).size(), 0u);
    EXPECT_LE(finals(actions), 2u);
    Host g(settings(), kStart);
    auto all = g.batch({request(1, 0, 1, g.now)});
    for (auto& a : g.runTo(g.now + 2 * kSecond))
        all.push_back(a);
    EXPECT_EQ(finals(all), 1u);
}

TEST(LoadShedder, ARequestCloseToItsDeadlineIsAnsweredInItsBatch) {
    Host h(settings(), kStart);
    h.batch({nodes({node("a", 0, NodeState::Removed)})});
    auto last = request(1, 2, 1, h.now);
    last.deadlineUs = h.now + 2 * kMs;
    EXPECT_EQ(finals(h.batch({last})), 1u);
}

TEST(LoadShedder, ExcessRequestsAreRejectedAtOnceWithRetryAfter) {
    Host h = ready();
    std::vector<AnyEvent> events;
    for (RequestId id = 1; id <= 200; ++id)
        events.emplace_back(request(id, 0, id % 2 ? 1 : 0, h.now));
    const auto actions = h.batch(events);
    const auto rejected = only<RejectRequest>(actions);
    ASSERT_GT(rejected.size(), 0u);
    for (const auto& r : rejected)
        EXPECT_GT(r.retryAfterUs, 0);
    EXPECT_LE(only<ForwardRequest>(actions).size(), 16u);
}

// A host that needs connections while it shuts down gets them from queued requests only.
TEST(LoadShedder, WhenCapacityIsNeededOnlyQueuedRequestsAreRejectedLeastValuableFirst) {
    Host h = ready();
    for (RequestId id = 1; id <= 5; ++id) {
        auto r = request(id, 0, 1, h.now, 6);
        if (id <= 3) r.volume = "another";  // takes the three slots of the initial concurrency limit
        ASSERT_EQ(only<ForwardRequest>(h.batch({r})).size(), id <= 3 ? 1u : 0u);
    }
    const auto first = only<RejectRequest>(h.batch({CapacityNeeded{1}}));
    ASSERT_EQ(first.size(), 1u);
    EXPECT_EQ(first[0].id, 5u);  // 4 is within its volume's guaranteed rate
    EXPECT_GT(first[0].retryAfterUs, 0);
    EXPECT_EQ(finals(h.batch({CapacityNeeded{9}})), 1u);
    EXPECT_EQ(finals(h.batch({CapacityNeeded{1}})), 0u);
}

}  // namespace
}  // namespace wingproxy::test
