#include "policy/gossip.h"

#include <algorithm>
#include <cmath>

namespace wingproxy {
namespace {

constexpr double kMinRelativeChange = 0.3;  // of the value last sent; smaller changes are not sent
// In mean requests per kUsageTimeConstant; smaller changes of a reported rate are not sent.
constexpr double kMinChangeRequests = 0.75;
constexpr Micros kReportInterval = 200'000;
constexpr Micros kOutstandingReportInterval = kReportInterval / 4;  // if the outstanding attempts changed
constexpr Micros kUsageTimeConstant = 2'000'000;  // in which a sample of a usage rate decays to 1/e
constexpr Micros kAggregateRefresh = 3'000'000;   // an unchanged aggregate is sent again
constexpr Micros kPeerUsageLifetime = 8'000'000;  // survives the loss of one refresh
constexpr Micros kSlowStartLifetime = 4'000'000;  // survives none: stale figures could overload a node
constexpr Micros kUntilComplete = 1'000'000;      // the first reports do not cover all hosts yet
// In mean requests per second; smaller changes of an aggregate's rate are not sent.
constexpr double kMinAggregateChangeRequests = 0.25;
constexpr double kIdleFraction = 0.125;  // of that rate; a host with less is dropped from the aggregate
// Weight of a report in the mean wait per outstanding attempt. It averages over about 50 reports, so that a
// single pause of a node is not taken for its usual latency. The mean starts at 0, so that the first few
// reports count for little.
constexpr double kWaitSmoothing = 0.02;
constexpr double kWaitDrainRate = 1;  // seconds of a reported wait that drain per second

// The least change from the value last sent that is sent: relative to it, but never below `minChange`.
double changeThreshold(double sent, double minChange) {
    return std::max(kMinRelativeChange * sent, minChange);
}

}  // namespace

UsageLifetimes Gossip::usageLifetimes() {
    return {kUsageTimeConstant, kPeerUsageLifetime, kSlowStartLifetime, kUntilComplete};
}
Micros Gossip::reportInterval() { return kReportInterval; }
double Gossip::significantWait() const { return kLongLatencyFraction * context_.latencyObjective; }
double Gossip::significantRate() const { return context_.settings.meanUnits * kMinAggregateChangeRequests; }

bool Gossip::isDue(const KeyUsage& usage, const Observation& observation) const {
    const Micros age = context_.now - usage.reported().at;
    if (observation.outstanding != usage.reportedOutstanding()) return age >= kOutstandingReportInterval;
    if (age < kReportInterval) return false;
    const double reported = usage.reported().rate(context_.now, kUsageTimeConstant);
    const double minChange =
        kMinChangeRequests * context_.settings.meanUnits * 1e6 / double(kUsageTimeConstant);
    return std::abs(usage_.ownRate(usage) - reported) >= changeThreshold(reported, minChange) ||
           observation.waitUs > significantWait();
}

void Gossip::reportUsage(std::uint32_t key, KeyUsage& usage, const Observation& observation) {
    if (!isDue(usage, observation)) return;
    usage.onReported(usage_.ownRate(usage), observation.outstanding, context_.now);
    const auto rate = peer::FixedPoint::of(usage.reported().value);
    const auto wait = peer::EncodedWait::of(observation.waitUs);
    const auto slowStartUnits = peer::saturateToByte(usage.takeSlowStartUnits());
    const auto outstanding = peer::saturateToByte(observation.outstanding);
    const auto rendezvous = HostIndex::ofPosition(key % std::uint32_t(context_.settings.hostCount));
    send(rendezvous, peer::UsageReport{key, observation.joins, rate, wait, outstanding, slowStartUnits});
}

void Gossip::handle(HostIndex from, const peer::UsageReport& report) {
    KeyAggregate& aggregate = aggregates_[report.key];
    const bool isNew = aggregate.record(from, report.rate.value(), report.outstanding, context_.now);
    aggregate.recordSlowStart(report.slowStartUnits, context_.now, kRateTimeConstant);
    if (report.joins && aggregate.join(from)) announceMember(report.key, aggregate, from);
    if (report.wait.code > 0)
        aggregate.recordWait(report.wait.us(), totalsOf(aggregate).outstanding, kWaitSmoothing);
    if (isNew) sendAggregate(report.key, aggregate, totalsOf(aggregate), from);
}

void Gossip::sendAggregate(std::uint32_t key, const KeyAggregate& aggregate, const UsageTotals& totals,
                           HostIndex to) {
    const double others = totals.rate - aggregate.rateOf(to, context_.now, kUsageTimeConstant);
    send(to, peer::UsageAggregate{key, peer::FixedPoint::of(others), peer::EncodedWait::of(totals.wait),
                                  peer::EncodedRate::of(totals.slowStartRate)});
}

bool Gossip::isDue(const KeyAggregate& aggregate, const UsageTotals& totals) const {
    if (context_.now - aggregate.sentAt() >= kAggregateRefresh) return true;
    const double rateChange = std::abs(totals.rate - aggregate.sentRate());
    if (rateChange >= changeThreshold(aggregate.sentRate(), significantRate())) return true;
    const double slowStartChange = std::abs(totals.slowStartRate - aggregate.sentSlowStartRate());
    if (slowStartChange > changeThreshold(aggregate.sentSlowStartRate(), significantRate())) return true;
    const double wait = std::max(totals.wait, significantWait());
    const double sentWait = std::max(aggregate.sentWaitLeft(context_.now, kWaitDrainRate), significantWait());
    return std::abs(wait / sentWait - 1) >= kMinRelativeChange;
}

void Gossip::sendChangedAggregates() {
    for (auto& [key, aggregate] : aggregates_) {
        aggregate.dropIdle(significantRate() * kIdleFraction, context_.now, kUsageTimeConstant);
        const UsageTotals totals = totalsOf(aggregate);
        if (!isDue(aggregate, totals)) continue;
        aggregate.onSent(totals, context_.now);
        for (const auto& [host, usage] : aggregate.hosts())
            sendAggregate(key, aggregate, totals, host);
    }
}

}  // namespace wingproxy
