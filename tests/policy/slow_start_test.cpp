// Tests how much a host sends to a node that has just started, and how completed units raise that.
#include "policy/slow_start.h"

#include <gtest/gtest.h>

#include "policy/peer_message.h"
#include "policy/policy_test_support.h"

namespace wingproxy::test {
namespace {

// Units sent to a node that has just started, in one second of steady demand.
//
// \param answers whether the node answers each request at once, with `outcome`
double unitsToStartingNode(const Settings& s, Outcome outcome, bool answers) {
    Host h(s, kStart - kSecond);  // already running when the node starts
    h.runTo(kStart);
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
    const double fixedUnits = s.slowStartUnits / s.hostCount + s.maxUnits;
    EXPECT_LE(unitsToStartingNode(s, Outcome::Ok, false), fixedUnits);  // silent: only the fixed part
    EXPECT_GE(unitsToStartingNode(s, Outcome::Ok, false), 2);
    EXPECT_LE(unitsToStartingNode(s, Outcome::Rejected, true),
              fixedUnits);                                                 // rejected units still count
    EXPECT_GT(unitsToStartingNode(s, Outcome::Ok, true), 3 * fixedUnits);  // grows with completed units
}

// Number of requests sent to a starting node that answers none, 40 s after its allowance was used up. The
// slow start window is longer than that here.
//
// \param unlisted whether the node is missing from the endpoint list in between
std::size_t sentAgainToStartingNode(bool unlisted) {
    auto s = settings(0, 1);
    s.slowStartWindowUs = 90 * kSecond;
    s.slowStartDurationUs = 900 * kSecond;
    Host h(s, kStart);
    const auto listed = nodes({node("a", 0, NodeState::Ready, kStart)});
    RequestId id = 0;
    const auto sendRequests = [&] {
        std::size_t sent = 0;
        for (int i = 0; i < 40; ++i, h.now += 10 * kMs) {
            if (only<ForwardRequest>(h.batch({request(++id, 2, 1, h.now)})).empty()) continue;
            h.batch({ended(id, 0, "a", Outcome::Cancelled)});  // says nothing about the node
            ++sent;
        }
        return sent;
    };
    h.batch({listed});
    EXPECT_GT(sendRequests(), 0u);
    h.runTo(h.now + 5 * kSecond);
    if (unlisted) h.batch({nodes({})});
    h.runTo(h.now + 40 * kSecond);
    if (unlisted) h.batch({listed});
    return sendRequests();
}

TEST(SlowStart, ANodeThatIsListedAgainIsRememberedWithinTheWindow) {
    EXPECT_EQ(sentAgainToStartingNode(true), sentAgainToStartingNode(false));
}

// The allowance at `now` for a node that started at kStart, with the test's settings.
SlowStartAllowance allowanceOf(const SlowStartLimiter& limiter, int hosts, Micros now,
                               std::optional<SlowStartPeers> peers = {}) {
    return limiter.allowance(settings(0, hosts), {now - kStart, kStart, 1, peers}, now);
}

TEST(SlowStartLimiter, AdmitsItsFixedPartAndThenAMultipleOfTheCompletedUnits) {
    SlowStartLimiter limiter;
    const SlowStartAllowance first = allowanceOf(limiter, 3, kStart);
    EXPECT_TRUE(limiter.admits(first, first.units, kStart));
    limiter.onSent(first.units, kSecond, kStart);
    EXPECT_FALSE(limiter.admits(first, 0.5, kStart));  // rounds down at this phase
    limiter.onCompleted(4, kStart + kMs);
    const SlowStartAllowance then = allowanceOf(limiter, 3, kStart + kMs);
    EXPECT_NEAR(then.units - first.units, 1.5 * 4, 0.01);
    EXPECT_TRUE(limiter.admits(then, 4, kStart + kMs));
    const Micros windowIsOver = kStart + first.windowUs + 1;
    EXPECT_TRUE(limiter.admits(allowanceOf(limiter, 3, windowIsOver), first.units, windowIsOver));
}

TEST(SlowStartLimiter, CountsOverALongerWindowThanTheNode) {
    const Settings s = settings(0, 3);
    const SlowStartAllowance allowance = allowanceOf(SlowStartLimiter(), 3, kStart);
    EXPECT_GE(allowance.windowUs, s.slowStartWindowUs + s.connectTimeoutUs);
}

// On average a host sends its allowance, even one smaller than a request.
TEST(SlowStartLimiter, RoundsItsAllowanceToWholeRequestsAtRandom) {
    constexpr int kLimiters = 2'000;
    for (const double allowed : {0.5, 1.0, 3.0, 5.0}) {
        double sent = 0;
        for (int i = 0; i < kLimiters; ++i) {
            SlowStartLimiter limiter;
            limiter.restart(kStart, peer::hashToFraction(std::uint64_t(i)));
            const SlowStartAllowance allowance{allowed, 2 * kSecond, kStart};
            while (limiter.admits(allowance, 2, kStart)) {
                limiter.onSent(2, 2 * kSecond, kStart);
                sent += 2;
            }
        }
        EXPECT_NEAR(sent / kLimiters, allowed, 0.1) << allowed;
    }
    EXPECT_FALSE(SlowStartLimiter().admits({0, 2 * kSecond, kStart}, 4, kStart + 3600 * kSecond));
}

TEST(SlowStartLimiter, SendsNothingBeforeTheNodeIsUsable) {
    const SlowStartAllowance allowance{10, 2 * kSecond, kStart};
    EXPECT_FALSE(SlowStartLimiter().admits(allowance, 1, kStart - 1));
    EXPECT_TRUE(SlowStartLimiter().admits(allowance, 1, kStart));
}

TEST(SlowStartLimiter, DividesByDemandOnlyIfManyHostsReceiveGossip) {
    const SlowStartLimiter limiter;
    const double withoutGossip = allowanceOf(limiter, 300, kStart).units;
    const double busy = allowanceOf(limiter, 300, kStart, SlowStartPeers{0.5, 0}).units;
    EXPECT_NEAR(busy, withoutGossip * 300 / 2, 0.01);
    EXPECT_GT(allowanceOf(limiter, 300, kStart, SlowStartPeers{0.5, 4}).units, busy);
    EXPECT_EQ(allowanceOf(limiter, 3, kStart, SlowStartPeers{0.5, 4}).units,
              allowanceOf(limiter, 3, kStart).units);
}

constexpr int kManyRequests = 40;

// Units that a host sends within 0.4 s to a node that answers each request at once with an error.
double unitsSentToFailingNode(Host& h, RequestId& id) {
    double units = 0;
    for (int i = 0; i < kManyRequests; ++i, h.now += 10 * kMs) {
        ++id;
        if (only<ForwardRequest>(h.batch({request(id, 2, 1, h.now, 1)})).empty()) continue;
        h.batch({ended(id, 0, "a", Outcome::Error)});
        ++units;
    }
    return units;
}

EndpointListReceived listedWith(Micros startedAt) {
    return {nodes({node("a", 0, NodeState::Ready, startedAt)})};
}

TEST(SlowStart, WhatWentToTheNewProcessBeforeItWasListedCounts) {
    Host h(settings(0, 1), kStart);
    h.batch({listedWith(0)});
    h.runTo(kStart + 10 * kSecond);
    RequestId id = 0;
    const double sentBefore = unitsSentToFailingNode(h, id);
    EXPECT_GT(sentBefore, 0);
    h.runTo(h.now + 500 * kMs);
    h.batch({listedWith(h.now - kSecond)});
    const double sentAfter = unitsSentToFailingNode(h, id);

    Host fresh(settings(0, 1), kStart);
    fresh.batch({listedWith(0)});
    fresh.runTo(kStart + 10 * kSecond);
    fresh.batch({listedWith(fresh.now - kSecond)});
    id = 0;
    const double allowed = unitsSentToFailingNode(fresh, id);
    EXPECT_GT(allowed, 0);
    EXPECT_LE(sentBefore + sentAfter, std::max(allowed, sentBefore));
}

// A step of the wall clock by an hour, either way, makes no difference, as an earlier list lacked the node.
TEST(SlowStart, ANewlyListedNodeStartsSlowlyAfterAStepOfTheWallClock) {
    constexpr Micros kHour = 3600 * kSecond;
    std::set<double> sent;
    for (const Micros step : {Micros(0), -kHour, kHour}) {
        Host h(settings(0, 1), 2 * kHour);
        h.batch({nodes({})});
        h.runTo(h.now + kSecond);
        h.batch({nodes({})});
        h.batch({listedWith(h.now + step)});
        RequestId id = 0;
        sent.insert(unitsSentToFailingNode(h, id));
        h.runTo(h.now + 11 * kSecond);  // longer than slow start in these settings
        EXPECT_EQ(unitsSentToFailingNode(h, id), kManyRequests) << step;
    }
    EXPECT_EQ(sent.size(), 1u);
    EXPECT_LT(*sent.rbegin(), kManyRequests);
}

// If a process starts while the wall clock is an hour ahead, nodes in its first list look warm.
TEST(SlowStart, ARecentlyStartedNodeStartsSlowlyIfTheHostStartsWithAWrongClock) {
    Host h(settings(0, 1), 2 * 3600 * kSecond);
    h.batch({listedWith(h.now - 3600 * kSecond)});
    RequestId id = 0;
    EXPECT_LT(unitsSentToFailingNode(h, id), kManyRequests);
    Host old(settings(0, 1), 2 * 3600 * kSecond);
    old.batch({listedWith(0)});  // discovery says: long ago
    EXPECT_EQ(unitsSentToFailingNode(old, id), kManyRequests);
}

TEST(SlowStart, ARestartedHostProcessWaitsForTheWindowOfItsPredecessor) {
    const Settings s = settings(0, 1);
    Host h(s, kStart);
    h.batch({listedWith(kStart - kSecond)});
    RequestId id = 0;
    EXPECT_EQ(unitsSentToFailingNode(h, id), 0);
    h.runTo(kStart + s.slowStartWindowUs + kSecond);
    EXPECT_GT(unitsSentToFailingNode(h, id), 0);
}

TEST(SlowStart, ARequestCountsAgainWhenItsBodyIsComplete) {
    const Settings s = settings(0, 1);
    Host h(s, kStart - kSecond);
    h.batch({nodes({})});
    h.runTo(kStart);
    h.batch({listedWith(kStart)});
    std::vector<AnyEvent> requests;
    for (RequestId id = 1; id <= 20; ++id) {
        Request upload = request(id, 2, 1, h.now, 1);
        upload.bodyIncomplete = true;
        upload.deadlineUs = h.now + 60 * kSecond;
        requests.emplace_back(upload);
    }
    const auto sent = only<ForwardRequest>(h.batch(requests));
    ASSERT_FALSE(sent.empty());
    h.runTo(kStart + s.slowStartWindowUs + kSecond);
    std::vector<AnyEvent> completed;
    for (const ForwardRequest& forward : sent)
        completed.emplace_back(RequestBodyCompleted{forward.id, h.now + 2 * kSecond});
    h.batch(completed);
    RequestId id = 100;
    EXPECT_LT(unitsSentToFailingNode(h, id), double(sent.size()));
}

}  // namespace
}  // namespace wingproxy::test
