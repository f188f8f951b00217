// Tests how many attempts may be outstanding at a node, depending on its latency and this host's share of the
// demand.
#include "policy/concurrency_limit.h"

#include <gtest/gtest.h>

#include "policy/peer_message.h"
#include "policy/policy_test_support.h"

namespace wingproxy::test {
namespace {

// Number of attempts that one of 100 hosts, with a hundredth of the demand for a cell, has outstanding after
// an answer that took `took`.
std::size_t attemptsAfterAnswer(Micros took) {
    Host h(settings(0, 100), kStart);
    h.batch({nodes({node("a", 0), node("b", 1)})});
    auto message = peer::header(1);
    peer::append(message, peer::UsageAggregate{std::uint32_t(peer::hashOf("0")), {16 * 100}, {}, {}});
    h.batch({request(1, 0, 1, h.now)});
    h.now += took;
    h.batch({ended(1, 0, "a", Outcome::Ok, took), PeerMessageReceived{HostIndex(1), message}});
    h.now += 10 * kMs;
    std::vector<AnyEvent> run;
    for (RequestId id = 2; id <= 6; ++id)
        run.emplace_back(request(id, 0, 1, h.now));
    return only<ForwardRequest>(h.batch(run)).size();
}

TEST(ConcurrencyLimit, AHostWithASmallShareHasTwoAttemptsAtAQuickNodeAndOneAtASlowOne) {
    EXPECT_EQ(attemptsAfterAnswer(20 * kMs), 2u);
    EXPECT_EQ(attemptsAfterAnswer(200 * kMs), 1u);  // above 0.3 of the shortest latency objective
}

// Guards against a failure of soak seed 31: each of five hosts sent its first three requests at the same time
// to a node that needed 5 s for them, and none was answered in time.
TEST(ConcurrencyLimit, HostsThatStartTogetherShareTheLimitEvenlyBeforeTheFirstAnswer) {
    const auto firstAttempts = [](int hosts, Micros after = 0) {
        Host host = ready(settings(0, hosts));
        host.now += after;
        std::vector<AnyEvent> run;
        for (RequestId id = 1; id <= 6; ++id)
            run.emplace_back(request(id, 0, 1, host.now));
        return only<ForwardRequest>(host.batch(run)).size();
    };
    EXPECT_EQ(firstAttempts(1), 3u);
    EXPECT_EQ(firstAttempts(5), 1u);
    EXPECT_EQ(firstAttempts(5, 2 * kSecond), 3u);  // by now any other host has reported its demand
}

TEST(ConcurrencyLimit, RisesWhileAnswersAreQuickAndFallsWhileTheyAreSlow) {
    auto limit = ConcurrencyLimit::startingAt(kStart);
    Micros now = kStart;
    const auto answer = [&](Micros latency) {
        now += latency;
        limit.onAnswer({double(latency), 1, 16, limit.estimate().updatedAt}, {now, double(kSecond), 1});
    };
    const double before = limit.attemptsAllowed({now, double(kSecond), 1});
    for (int i = 0; i < 20; ++i)
        answer(10 * kMs);
    const double risen = limit.attemptsAllowed({now, double(kSecond), 1});
    EXPECT_GT(risen, before);
    for (int i = 0; i < 10; ++i)
        answer(400 * kMs);
    EXPECT_LT(limit.attemptsAllowed({now, double(kSecond), 1}), risen);
    limit.onFailure();
    EXPECT_GE(limit.attemptsAllowed({now, double(kSecond), 0.01}), 1);
}

TEST(ConcurrencyLimit, AWaitReportedByAPeerDrainsWithTime) {
    auto limit = ConcurrencyLimit::startingAt(kStart);
    EXPECT_EQ(limit.expectedLatency(kStart, 400), 100);  // unknown: a quarter of the objective
    limit.onWaitReported(1000, kStart);
    EXPECT_EQ(limit.expectedLatency(kStart, 400), 1000);
    EXPECT_EQ(limit.expectedLatency(kStart + 400, 400), 600);
}

}  // namespace
}  // namespace wingproxy::test
