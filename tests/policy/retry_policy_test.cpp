// Tests when a request may be retried, and which final answer it may get.
#include <gtest/gtest.h>

#include "policy/policy_test_support.h"

namespace wingproxy::test {
namespace {

TEST(RetryPolicy, ATimeoutAtTheDeadlineIsAnsweredInTheSameBatch) {
    Host h = ready();
    h.batch({request(1, 2, 1, h.now)});
    h.now += 2 * kSecond;
    const auto actions = h.batch({ended(1, 0, "a", Outcome::Timeout, 2 * kSecond)});
    EXPECT_EQ(only<FailRequest>(actions).size(), 1u);  // not idempotent and may have run: never a rejection
    EXPECT_EQ(only<RejectRequest>(actions).size(), 0u);
    EXPECT_EQ(finals(h.runTo(h.now + kSecond)), 0u);
}

TEST(RetryPolicy, ANonIdempotentRequestIsRetriedOnlyIfItNeverRan) {
    Host h = ready();
    h.batch({request(1, 2, 1, h.now), request(2, 2, 1, h.now)});
    h.now += 20 * kMs;
    auto actions = h.batch({ended(1, 0, "a", Outcome::Rejected), ended(2, 0, "a", Outcome::Error)});
    for (auto& a : h.runTo(h.now + kSecond))
        actions.push_back(a);
    const auto sends = only<ForwardRequest>(actions);
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].id, 1u);
    const auto fails = only<FailRequest>(actions);
    ASSERT_EQ(fails.size(), 1u);
    EXPECT_EQ(fails[0].id, 2u);
}

TEST(RetryPolicy, AnIdempotencyKeyAllowsRetriesInItsScopeAndWindow) {
    Host h = ready();
    auto first = only<ForwardRequest>(h.batch({request(1, 1, 1, h.now, 2, -1)}));
    ASSERT_EQ(first.size(), 1u);
    h.now += 30 * kMs;
    const auto again = only<ForwardRequest>(h.batch({ended(1, 0, first[0].node, Outcome::Reset)}));
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again[0].node, first[0].node);
    h.now += 1100 * kMs;  // after the key window: neither a retry nor a rejection
    const auto late = h.batch({ended(1, 1, first[0].node, Outcome::Reset)});
    EXPECT_EQ(only<ForwardRequest>(late).size(), 0u);
    EXPECT_EQ(only<RejectRequest>(late).size(), 0u);
    EXPECT_EQ(only<FailRequest>(late).size(), 1u);
}

TEST(RetryPolicy, RequestsWithOneKeyAreSentInOrderAndAfterACooldown) {
    Host h = ready();
    auto one = request(1, 3, 1, h.now), two = request(2, 3, 1, h.now);
    one.key = two.key = "same";
    auto sends = only<ForwardRequest>(h.batch({one, two}));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].id, 1u);
    h.now += 20 * kMs;
    sends = only<ForwardRequest>(h.batch({ended(1, 0, "a", Outcome::Ok)}));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].id, 2u);
    auto three = request(3, 3, 1, h.now);
    three.key = "same";
    h.batch({three, RequestCancelled{2}});  // request 2 is finished, its attempt is outstanding
    EXPECT_EQ(only<ForwardRequest>(h.runTo(h.now + 50 * kMs)).size(), 0u);
    h.batch({ended(2, 0, "a", Outcome::Timeout)});
    EXPECT_EQ(only<ForwardRequest>(h.runTo(h.now + 200 * kMs)).size(), 0u);  // the key is paused for 300 ms
    EXPECT_EQ(only<ForwardRequest>(h.runTo(h.now + 150 * kMs)).size(), 1u);
}

TEST(RetryPolicy, RetriesStayWithinTheBudget) {
    auto s = settings();
    s.retryAllowance = 1;
    s.retryRatio = 0.1;
    s.retryWindowUs = 5 * kSecond;
    Host h = ready(s);
    std::size_t retries = 0;
    for (RequestId id = 1; id <= 5; ++id) {
        auto sent = only<ForwardRequest>(h.batch({request(id, 0, 1, h.now)}));
        h.now += 5 * kMs;
        if (!sent.empty())
            retries += only<ForwardRequest>(h.batch({ended(id, 0, "a", Outcome::Reset)})).size();
        retries += only<ForwardRequest>(h.runTo(h.now + 30 * kMs)).size();
    }
    EXPECT_EQ(retries, 1u);
}

}  // namespace
}  // namespace wingproxy::test
