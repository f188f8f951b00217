#include "policy/gossip.h"

#include <algorithm>
#include <cmath>

namespace wingproxy {
namespace {

constexpr double kChangedPart = 0.3;       // of what was sent: a smaller change is not sent
constexpr double kChangedRequests = 0.75;  // of a mean request: likewise
constexpr Micros kReportInterval = 200'000;
constexpr Micros kOutstandingReportInterval = kReportInterval / 4;  // where the outstanding attempts changed
constexpr Micros kUsageMemory = 2'000'000;
constexpr Micros kAggregateRefresh = 3'000'000;   // an aggregate that is steady is sent again
constexpr Micros kPeerUsageLifetime = 8'000'000;  // two refreshes in a row may be lost
constexpr Micros kSlowStartLifetime = 4'000'000;  // none may be lost where a node could be overloaded
constexpr Micros kUntilComplete = 1'000'000;      // the first reports do not cover all hosts yet
// Parts of a mean request a second: less is no change of an aggregate, and a host with less is forgotten.
constexpr double kChangedAggregateRequests = 0.25;
constexpr double kIdlePart = 0.125;
// Weight of a report in the time that each outstanding attempt adds to a wait: over about fifty reports, so
// that a pause of a node does not pass for its usual latency. From 0, so that the first few count for little.
constexpr double kWaitSmoothing = 0.02;
constexpr double kWaitDrainRate = 1;  // a queue is worked off by its own length in as much time

// How much a figure must differ from the one last sent to be sent again; `least` is the least such change.
double changeThreshold(double sent, double least) { return std::max(kChangedPart * sent, least); }

}  // namespace

UsageLifetimes Gossip::usageMemory() {
    return {kUsageMemory, kPeerUsageLifetime, kSlowStartLifetime, kUntilComplete};
}
Micros Gossip::reportInterval() { return kReportInterval; }
double Gossip::significantWait() const { return kLongLatencyFraction * context_.latencyObjective; }
double Gossip::significantRate() const { return context_.settings.meanUnits * kChangedAggregateRequests; }

bool Gossip::isDue(const KeyUsage& usage, const Observation& observation) const {
    const Micros age = context_.now - usage.reported().at;
    if (observation.outstanding != usage.reportedOutstanding()) return age >= kOutstandingReportInterval;
    if (age < kReportInterval) return false;
    const double reported = usage.reported().rate(context_.now, kUsageMemory);
    const double step = kChangedRequests * context_.settings.meanUnits * 1e6 / double(kUsageMemory);
    return std::abs(usage_.ownRate(usage) - reported) >= changeThreshold(reported, step) ||
           observation.waitUs > significantWait();
}

void Gossip::reportUsage(std::uint32_t key, KeyUsage& usage, const Observation& observation) {
    if (!isDue(usage, observation)) return;
    usage.onReported(usage_.ownRate(usage), observation.outstanding, context_.now);
    const auto rate = peer::FixedPoint::of(usage.reported().value);
    const auto wait = peer::EncodedWait::of(observation.waitUs);
    const auto slowStartUnits = peer::byteOf(usage.takeSlowStartUnits());
    const auto outstanding = peer::byteOf(observation.outstanding);
    const auto rendezvous = HostIndex::ofPosition(key % std::uint32_t(context_.settings.hostCount));
    send(rendezvous, peer::UsageReport{key, observation.joins, rate, wait, outstanding, slowStartUnits});
}

void Gossip::handle(HostIndex from, const peer::UsageReport& report) {
    KeyAggregate& aggregate = aggregates_[report.key];
    const bool isNew = aggregate.record(from, report.rate.value(), report.outstanding, context_.now);
    aggregate.recordSlowStart(report.slowStartUnits, context_.now, kRateTimeConstant);
    if (report.joins && aggregate.join(from)) introduce(report.key, aggregate, from);
    if (report.wait.code > 0)
        aggregate.recordWait(report.wait.us(), totalsOf(aggregate).outstanding, kWaitSmoothing);
    if (isNew) sendAggregate(report.key, aggregate, totalsOf(aggregate), from);
}

void Gossip::sendAggregate(std::uint32_t key, const KeyAggregate& aggregate, const UsageTotals& totals,
                           HostIndex to) {
    const double others = totals.rate - aggregate.rateOf(to, context_.now, kUsageMemory);
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
    return std::abs(wait / sentWait - 1) >= kChangedPart;
}

void Gossip::sendChangedAggregates() {
    for (auto& [key, aggregate] : aggregates_) {
        aggregate.dropIdle(significantRate() * kIdlePart, context_.now, kUsageMemory);
        const UsageTotals totals = totalsOf(aggregate);
        if (!isDue(aggregate, totals)) continue;
        aggregate.onSent(totals, context_.now);
        for (const auto& [host, usage] : aggregate.hosts())
            sendAggregate(key, aggregate, totals, host);
    }
}

}  // namespace wingproxy
