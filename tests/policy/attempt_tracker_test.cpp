// Tests when an attempt without an answer counts as lost and is cancelled, and when the node's health is
// checked first.
#include <gtest/gtest.h>

#include "policy/policy_test_support.h"

namespace wingproxy::test {
namespace {

// An attempt on a connection that fell silent must not hold a slot at its node, and keep its request waiting,
// until the deadline.
TEST(AttemptTracker, OnlyAnIdempotentAttemptIsCancelledAndRetriedAfterLaterAnswers) {
    auto s = settings();
    s.mayCancel = true;
    for (const int cls : {0, 2}) {  // idempotent; not idempotent
        Host host(s, kStart);
        host.batch({nodes({node("a", 0)})});
        ASSERT_EQ(only<ForwardRequest>(host.batch({request(1, cls, 1, host.now)})).size(), 1u);
        std::vector<Action> all;
        for (RequestId id = 2; id <= 14; ++id) {  // each is answered after 20 ms
            host.batch({request(id, 0, 1, host.now)});
            for (auto& a : host.runTo(host.now + 20 * kMs))
                all.push_back(a);
            for (auto& a : host.batch({ended(id, 0, "a", Outcome::Ok)}))
                all.push_back(a);
            if (id <= 6) {
                EXPECT_TRUE(only<CancelAttempt>(all).empty());
            }  // within 100 ms: it may just be slow
        }
        const auto cancels = only<CancelAttempt>(all);
        ASSERT_EQ(cancels.empty(), cls == 2);
        for (const auto& c : cancels)
            EXPECT_EQ(c.id, 1u);
        if (cls == 2) continue;
        const auto again = only<ForwardRequest>(host.batch({ended(1, 0, "a", Outcome::Cancelled)}));
        ASSERT_EQ(again.size(), 1u);
        EXPECT_EQ(again[0].id, 1u);
    }
}

// Even with a short latency objective, a lost attempt must be detected before the objective has passed.
TEST(AttemptTracker, ALostAttemptIsCancelledWithinItsLatencyObjective) {
    auto s = settings();
    s.mayCancel = true;
    const Micros objective = 80 * kMs;
    for (auto& c : s.classes)
        c.latencyObjectiveUs = objective;
    Host host(s, kStart);
    host.batch({nodes({node("a", 0)})});
    host.batch({request(1, 0, 1, host.now)});
    std::vector<Action> all;
    for (RequestId id = 2; host.now < kStart + objective * 3 / 4; ++id) {  // each is answered after 5 ms
        host.batch({request(id, 0, 1, host.now)});
        for (auto& a : host.runTo(host.now + 5 * kMs))
            all.push_back(a);
        host.batch({ended(id, 0, "a", Outcome::Ok, 5 * kMs)});
    }
    const auto cancels = only<CancelAttempt>(all);
    ASSERT_FALSE(cancels.empty());
    EXPECT_EQ(cancels[0].id, 1u);
}

// If nothing was sent to the node later, no later answer can show that this one is lost: an answered health
// check shows it instead.
TEST(AttemptTracker, ANodeThatGotNothingLaterIsHealthCheckedOnceAndItsAnswerCountsAsLater) {
    for (const auto outcome : {Outcome::Ok, Outcome::Timeout}) {
        auto s = settings();
        s.mayCancel = s.mayCheckHealth = true;
        Host host(s, kStart);
        host.batch({nodes({node("a", 0)})});
        host.batch({request(1, 0, 1, host.now)});
        const auto actions = host.runTo(host.now + 1500 * kMs);
        EXPECT_EQ(only<StartHealthCheck>(actions).size(), 1u);
        EXPECT_TRUE(only<CancelAttempt>(actions).empty());  // it may just be slow
        host.batch({HealthCheckCompleted{"a", outcome, 2 * kMs, {}}});
        EXPECT_EQ(only<CancelAttempt>(host.runTo(host.now + 50 * kMs)).empty(), outcome != Outcome::Ok);
    }
}

}  // namespace
}  // namespace wingproxy::test
