// Unit tests of the policy's value types and tables.
#include <gtest/gtest.h>

#include "policy/cell_queues.h"
#include "policy/event_window.h"
#include "policy/key_aggregate.h"
#include "policy/key_order.h"
#include "policy/latency_estimate.h"
#include "policy/least_wait.h"
#include "policy/slow_start_window.h"
#include "policy/volume.h"

namespace wingproxy {
namespace {

constexpr Micros kSecond = 1'000'000;

PendingRequest requestOf(double units) {
    Request info;
    info.units = units;
    return PendingRequest(info);
}

TEST(DecayingRate, DecaysByAFactorOfEInItsTimeConstant) {
    DecayingRate rate;
    rate.add(kSecond, kSecond, 10);
    EXPECT_DOUBLE_EQ(rate.rate(kSecond, kSecond), 10);
    EXPECT_DOUBLE_EQ(rate.rate(2 * kSecond, kSecond), 10 * std::exp(-1.0));
    rate.add(2 * kSecond, kSecond, 10);
    EXPECT_DOUBLE_EQ(rate.rate(2 * kSecond, kSecond), 10 * std::exp(-1.0) + 10);
}

TEST(TokenBucket, FillsToItsCapacityAndKeepsReservedTokens) {
    TokenBucket bucket;
    bucket.refill(4, 10, kSecond);
    EXPECT_DOUBLE_EQ(bucket.tokens, 4);
    EXPECT_FALSE(bucket.tryTake(3, 2, 10));
    EXPECT_TRUE(bucket.tryTake(3, 1, 10));
    EXPECT_DOUBLE_EQ(bucket.tokens, 1);
    bucket.refill(4, 10, 60 * kSecond);
    EXPECT_DOUBLE_EQ(bucket.tokens, 10);
    EXPECT_TRUE(bucket.tryTake(8, 5, 10));  // a full bucket serves a request of any size
}

TEST(LatencyFloor, KeepsTheMinimumOfTheCurrentAndThePreviousSpan) {
    LatencyFloor floor;
    EXPECT_EQ(floor.value(), 0);
    floor.record(10, 0, kSecond);
    floor.record(30, kSecond + 1, kSecond);  // in the next span
    EXPECT_EQ(floor.value(), 10);
    floor.record(40, 2 * kSecond + 2, kSecond);
    EXPECT_EQ(floor.value(), 30);
}

TEST(LatencyEstimate, AddsAReportedWaitToTheFloor) {
    LatencyEstimate estimate;
    estimate.record(40, 2, 1, 1);
    estimate.floor.record(estimate.perUnit, 0, kSecond);
    EXPECT_DOUBLE_EQ(estimate.perUnit, 20);
    EXPECT_DOUBLE_EQ(estimate.usualLatency(1), 40);
    EXPECT_DOUBLE_EQ(estimate.usualLatency(4), 80);
    estimate.setWait(100, kSecond);
    EXPECT_DOUBLE_EQ(estimate.latency, 140);
    EXPECT_EQ(estimate.updatedAt, kSecond);
}

TEST(EventWindow, CountsEventsThatAreNotTooOld) {
    EventWindow window;
    for (const Micros at : {1, 2, 3})
        window.record(at);
    window.dropBefore(2);
    EXPECT_EQ(window.count(), 2);
}

TEST(SlowStartWindow, SumsUnitsSentAndCompletedWithinIt) {
    SlowStartWindow window;
    window.addSent(6, 0);
    window.addSent(4, kSecond);
    window.addCompleted(3, kSecond);
    EXPECT_EQ(window.sums(kSecond, kSecond).sent, 10);
    EXPECT_EQ(window.sums(kSecond, kSecond).completed, 3);
    EXPECT_EQ(window.sums(kSecond, kSecond + 1).sent, 4);  // the first is too old
}

TEST(LeastWait, IsTheFirstOfEquals) {
    LeastWait<NodeIndex> least;
    EXPECT_TRUE(least.choice.isNone());
    least.offer(NodeIndex(3), 20);
    least.offer(NodeIndex(4), 10);
    least.offer(NodeIndex(5), 10);
    EXPECT_EQ(least.choice, NodeIndex(4));
}

TEST(KeyOrder, SendsOneRequestOfAKeyAtATime) {
    KeyOrder order;
    EXPECT_TRUE(order.isNext("k", 1, 0));
    order.add("k", 1);
    order.add("k", 2);
    EXPECT_TRUE(order.isNext("k", 1, 0));
    EXPECT_FALSE(order.isNext("k", 2, 0));
    order.remove("k", 1, 1, 0);  // finished, with an attempt outstanding
    EXPECT_FALSE(order.isNext("k", 2, 0));
    order.onAbandonedAttemptEnded("k");
    EXPECT_TRUE(order.isNext("k", 2, 0));
    order.pause("k", kSecond, 0);
    EXPECT_FALSE(order.isNext("k", 2, kSecond - 1));
    EXPECT_TRUE(order.isNext("k", 2, kSecond));
    order.pause("k", 2 * kSecond, 2);
    EXPECT_TRUE(order.isNext("k", 2, kSecond));  // the request that caused the pause may be sent
    order.remove("k", 2, 0, kSecond);
    EXPECT_EQ(order.size(), 1u);
    order.forgetIdle(2 * kSecond);
    EXPECT_EQ(order.size(), 0u);
}

TEST(CellQueues, KeepEarliestDueFirstAndFindTheLeastValuable) {
    CellQueues queues;
    PendingRequest late = requestOf(2);
    PendingRequest early = requestOf(3);
    late.setDue(20);
    early.setDue(10);
    late.setCell(CellIndex(1));
    early.setCell(CellIndex(1));
    queues.add(late);
    queues.add(early);
    EXPECT_EQ(queues.of(CellIndex(1)).entries().begin()->second, &early);
    EXPECT_EQ(queues.of(CellIndex(1)).units(), 5);
    EXPECT_EQ(queues.leastValuable([](const PendingRequest& request) { return request.units(); }), &late);
    EXPECT_TRUE(queues.hasChanged());
    EXPECT_EQ(queues.takeChanged(), CellIndex(1));
    EXPECT_FALSE(queues.hasChanged());
    queues.remove(late);
    EXPECT_FALSE(late.isQueued());
    queues.markNonEmptyChanged();
    EXPECT_EQ(queues.takeChanged(), CellIndex(1));
}

TEST(VolumeLimit, CountsTheLargestUnexpiredGrantOfEachPeer) {
    VolumeLimit limit;
    limit.setShares({0, 0, 0, 0, 10});
    limit.addGrant({HostIndex(1), 4, kSecond, 1});
    limit.addGrant({HostIndex(1), 2, kSecond, 2});
    limit.addGrant({HostIndex(2), 3, kSecond, 1});
    EXPECT_EQ(limit.chunksGranted(), 7);
    EXPECT_EQ(limit.chunksGranted(HostIndex(1)), 3);
    EXPECT_EQ(limit.chunksInUse(true, 0), 3);
    EXPECT_EQ(limit.chunksInUse(false, 0), 0);
    limit.onReturned(HostIndex(1), 1, 1);  // only grants up to the first request: the second one stays
    EXPECT_EQ(limit.chunksGranted(), 5);
    limit.startFilling(kSecond);
    EXPECT_EQ(limit.chunksGranted(), 0);
    limit.dropExpiredGrants(kSecond);
    EXPECT_TRUE(limit.grants().empty());
}

TEST(VolumeLimit, FindsTheLeaseThatAnAnswerBelongsTo) {
    VolumeLimit limit;
    limit.leaseOf(HostIndex(1)).onRequested(7, kSecond);
    EXPECT_EQ(limit.findRequested(HostIndex(1), 6), nullptr);
    EXPECT_EQ(limit.findRequested(HostIndex(2), 7), nullptr);
    HeldLease* const lease = limit.findRequested(HostIndex(1), 7);
    ASSERT_NE(lease, nullptr);
    EXPECT_TRUE(lease->isAnswerPending(kSecond, kSecond));
    lease->onGranted(3, kSecond);
    EXPECT_EQ(limit.findRequested(HostIndex(1), 7), nullptr);
    EXPECT_TRUE(lease->isActive(kSecond));
    EXPECT_FALSE(lease->isActive(2 * kSecond));
    EXPECT_EQ(limit.chunksInUse(false, kSecond), 3);
}

TEST(VolumeLimit, ReservesTheTokensOfQueuedRequests) {
    VolumeLimit limit;
    limit.addTokens(8);
    EXPECT_EQ(limit.reserve(0.25), 2);
    limit.addQueuedUnits(5);
    EXPECT_EQ(limit.reserve(0.25), 5);
    EXPECT_EQ(limit.tokens(), 1);
    EXPECT_EQ(limit.backlog(), 4);
    limit.keepOnly(3);
    limit.refill(5, 60 * kSecond);
    EXPECT_EQ(limit.tokens(), 3);
}

TEST(KeyAggregate, SumsItsHostsAndRemovesIdleOnes) {
    KeyAggregate aggregate;
    EXPECT_TRUE(aggregate.record(HostIndex(1), 10, 2, 0));
    EXPECT_TRUE(aggregate.record(HostIndex(2), 1, 1, 0));
    EXPECT_FALSE(aggregate.record(HostIndex(1), 20, 2, 0));
    EXPECT_TRUE(aggregate.join(HostIndex(1)));
    EXPECT_TRUE(aggregate.join(HostIndex(2)));
    EXPECT_FALSE(aggregate.join(HostIndex(1)));
    aggregate.recordWait(1000, 2, 1);
    const UsageTotals totals = aggregate.totals(0, kSecond, kSecond);
    EXPECT_DOUBLE_EQ(totals.rate, 21);
    EXPECT_EQ(totals.outstanding, 3);
    EXPECT_DOUBLE_EQ(totals.wait, 1500);  // the smoothed wait per outstanding attempt, times 3
    aggregate.onSent(totals, 0);
    EXPECT_DOUBLE_EQ(aggregate.sentWaitLeft(500, 1), 1000);
    aggregate.dropIdle(2, 0, kSecond);
    EXPECT_EQ(aggregate.hosts().size(), 1u);
    EXPECT_EQ(aggregate.joined(), std::set<HostIndex>{HostIndex(1)});
}

}  // namespace
}  // namespace wingproxy
