// Specifies how much is sent to a node that has just started, and how a host earns credit there.
#include "policy/slow_start.h"

#include <gtest/gtest.h>

#include "policy/policy_test_support.h"

namespace wingproxy::test {
namespace {

// Units sent to a node that has just started, in one second of steady demand.
double unitsToStartingNode(const Settings& s, Outcome outcome, bool answers) {
    Host h(s, kStart);
    h.batch({nodes({node("a", 0, NodeState::Ready, kStart - kMs)})});
    double units = 0;
    std::map<RequestId, int> attempts;
    std::vector<AnyEvent> due;
    for (RequestId id = 1; id <= 100; ++id) {
        h.now += 10 * kMs;
        due.emplace_back(request(id, 2, 1, h.now));
        const auto actions = h.batch(due);
        due.clear();
        for (const auto& send : only<ForwardRequest>(actions)) {
            units += 2;
            if (!answers) continue;
            due.emplace_back(ended(send.id, attempts[send.id]++, "a", outcome));
        }
    }
    return units;
}

TEST(SlowStart, AStartingNodeGetsLittleMoreThanItCompletes) {
    const auto s = settings(0, 3);
    const double free = s.slowStartUnits / s.hostCount + s.maxUnits;
    EXPECT_LE(unitsToStartingNode(s, Outcome::Ok, false), free);  // silent: the hosts' part, then nothing
    EXPECT_GE(unitsToStartingNode(s, Outcome::Ok, false), 2);
    EXPECT_LE(unitsToStartingNode(s, Outcome::Rejected, true),
              free);                                                 // rejected units are never given back
    EXPECT_GT(unitsToStartingNode(s, Outcome::Ok, true), 3 * free);  // it answers: as much again
}

// Requests sent to a starting node that answers none, 40 s after it was sent all that slow start allows,
// which counts over a longer window here. Meanwhile it is off the list, or stays on it.
std::size_t sentAgainToStartingNode(bool offTheList) {
    auto s = settings(0, 1);
    s.slowStartWindowUs = 90 * kSecond;
    s.slowStartDurationUs = 900 * kSecond;
    Host h(s, kStart);
    const auto listed = nodes({node("a", 0, NodeState::Ready, kStart)});
    RequestId id = 0;
    const auto push = [&] {
        std::size_t sent = 0;
        for (int i = 0; i < 40; ++i, h.now += 10 * kMs) {
            if (only<ForwardRequest>(h.batch({request(++id, 2, 1, h.now)})).empty()) continue;
            h.batch({ended(id, 0, "a", Outcome::Cancelled)});  // which says nothing of the node
            ++sent;
        }
        return sent;
    };
    h.batch({listed});
    EXPECT_GT(push(), 0u);
    h.runTo(h.now + 5 * kSecond);
    if (offTheList) h.batch({nodes({})});
    h.runTo(h.now + 40 * kSecond);
    if (offTheList) h.batch({listed});
    return push();
}

TEST(SlowStart, ANodeThatIsListedAgainIsRememberedWithinTheWindow) {
    EXPECT_EQ(sentAgainToStartingNode(true), sentAgainToStartingNode(false));
}

TEST(SlowStartLimiter, AdmitsThisHostsPartAndThenWhatTheNodeCompletes) {
    const Settings s = settings(0, 3);  // 12 units in a window of 2 s for all hosts
    auto limiter = SlowStartLimiter::withDiscount(0);
    EXPECT_TRUE(limiter.admits(s, 4, kStart));
    EXPECT_FALSE(limiter.admits(s, 5, kStart));
    limiter.onSent(s, 4, kStart);
    EXPECT_FALSE(limiter.admits(s, 1, kStart));
    limiter.onCompleted(4, kStart + kMs);
    EXPECT_TRUE(limiter.admits(s, 4, kStart + kMs));
    EXPECT_TRUE(limiter.admits(s, 4, kStart + 3 * kSecond));  // the window is over
}

TEST(SlowStartLimiter, EarnsCreditWhereItsPartIsSmallerThanARequest) {
    const Settings s = settings(0, 100);
    auto limiter = SlowStartLimiter::withDiscount(0);
    EXPECT_FALSE(limiter.admits(s, 2, kStart));
    limiter.earnCredit(s, 2, 1, PeerUsage{0, kStart, 0}, kStart, kStart);
    EXPECT_TRUE(limiter.admits(s, 2, kStart));  // the node can bear all that it is asked for
    limiter.onSent(s, 2, kStart);
    EXPECT_FALSE(limiter.admits(s, 2, kStart));
    EXPECT_TRUE(SlowStartLimiter::withDiscount(1).admits(s, 2, kStart));
}

}  // namespace
}  // namespace wingproxy::test
