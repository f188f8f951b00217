#include "policy/gossip.h"

#include <algorithm>
#include <cmath>

namespace wingproxy {
namespace {

// A rate is reported when it has changed by this part of what was reported, or by most of a mean request; not
// more often than this, but sooner when the number of outstanding attempts has changed.
constexpr double kChangedPart = 0.3;
constexpr double kChangedRequests = 0.75;
constexpr Micros kReportInterval = 200'000;
constexpr Micros kOutstandingReportInterval = kReportInterval / 4;
constexpr Micros kUsageMemory = 2'000'000;
constexpr Micros kAggregateRefresh = 3'000'000;   // an aggregate that is steady is sent again
constexpr Micros kPeerUsageLifetime = 8'000'000;  // two refreshes in a row may be lost
// Parts of a mean request a second: less is no change of an aggregate, and a host with less is forgotten.
constexpr double kChangedAggregateRequests = 0.25;
constexpr double kForgottenPart = 0.125;
// Weight of a report in the time that each outstanding attempt adds to a wait: over about fifty reports, so
// that a pause of a node is not taken for its pace. From nothing, so that the first few say little.
constexpr double kPaceSmoothing = 0.02;
// A wait that was sent is worked off meanwhile: by its own length in as much time.
constexpr double kWaitDrainRate = 1;

}  // namespace

UsageMemory Gossip::usageMemory() { return {kUsageMemory, kPeerUsageLifetime}; }

Micros Gossip::reportInterval() { return kReportInterval; }

template <typename Message>
void Gossip::send(int to, const Message& message) {
    if (to == context_.settings.hostIndex)
        handle(to, message);
    else
        outbox_.send(to, message);
}

double Gossip::notableWait() const { return kLongLatencyPart * context_.latencyObjective; }

double Gossip::notableRate() const { return context_.settings.meanUnits * kChangedAggregateRequests; }

// ---- reports to the rendezvous host

bool Gossip::isDue(const KeyUsage& usage, const Observation& observation) const {
    const double rate = usage_.ownRate(usage);
    const double reported = usage.reported.rate(context_.now, kUsageMemory);
    const double step = kChangedRequests * context_.settings.meanUnits * 1e6 / double(kUsageMemory);
    const Micros age = context_.now - usage.reported.at;
    if (observation.outstanding != usage.reportedOutstanding) return age >= kOutstandingReportInterval;
    const bool changed = std::abs(rate - reported) >= std::max(kChangedPart * reported, step) ||
                         observation.waitUs > notableWait();
    return changed && age >= kReportInterval;
}

void Gossip::reportUsage(std::uint32_t key, KeyUsage& usage, const Observation& observation) {
    if (!isDue(usage, observation)) return;
    usage.reported = {usage_.ownRate(usage), context_.now};
    usage.reportedOutstanding = observation.outstanding;
    const double slowStartUnits = std::exchange(usage.slowStartUnits, 0);
    const int rendezvous = int(key % std::uint32_t(context_.settings.hostCount));
    send(rendezvous, peer::UsageReport{key, observation.joins, peer::FixedPoint::of(usage.reported.value),
                                       peer::EncodedWait::of(observation.waitUs),
                                       peer::byteOf(observation.outstanding), peer::byteOf(slowStartUnits)});
}

void Gossip::handle(int /*from*/, const peer::UsageAggregate& aggregate) {
    KeyUsage* const usage = usage_.find(aggregate.key);
    if (!usage) return;
    usage->others = {aggregate.rate.value(), context_.now, aggregate.slowStartRate.rate()};
    if (usage->cell >= 0 && aggregate.wait.code > 0)
        cluster_.onWaitReported(usage->cell, aggregate.wait.us());
}

void Gossip::handle(int /*from*/, const peer::MembershipNotice& notice) {
    KeyUsage* const usage = usage_.find(notice.key);
    const int host = notice.host;
    if (usage && host < context_.settings.hostCount && host != context_.settings.hostIndex)
        usage->peers.insert(host);
}

// ---- the rendezvous host

HostUsage Gossip::sumOf(const KeyAggregate& aggregate) const {
    return aggregate.sum(context_.now, kUsageMemory);
}

// Outstanding attempts say of a queue before any answer can, once answers have said how long each takes.
double Gossip::expectedWait(const KeyAggregate& aggregate) const {
    return aggregate.meanWait / std::max(1.0, aggregate.meanOutstanding) * sumOf(aggregate).outstanding;
}

double Gossip::slowStartRate(const KeyAggregate& aggregate) const {
    if (context_.now >= aggregate.slowStartUntil) return 0;
    return aggregate.slowStart.rate(context_.now, kRateMemory);
}

void Gossip::handle(int from, const peer::UsageReport& report) {
    KeyAggregate& aggregate = aggregates_[report.key];
    const bool isNew = !aggregate.hosts.contains(from);
    aggregate.hosts[from] = {{report.rate.value(), context_.now}, report.outstanding};
    aggregate.slowStart.add(context_.now, kRateMemory, report.slowStartUnits);
    if (report.joins && aggregate.joined.insert(from).second) introduce(report.key, aggregate, from);
    if (const double wait = report.wait.us(); wait > 0) {
        aggregate.meanWait += kPaceSmoothing * (wait - aggregate.meanWait);
        const int outstanding = sumOf(aggregate).outstanding;
        aggregate.meanOutstanding += kPaceSmoothing * (outstanding - aggregate.meanOutstanding);
    }
    if (isNew) sendAggregate(report.key, aggregate, from);
}

void Gossip::introduce(std::uint32_t key, const KeyAggregate& aggregate, int newcomer) {
    for (const int other : aggregate.joined) {
        send(newcomer, peer::MembershipNotice{key, std::uint16_t(other)});
        send(other, peer::MembershipNotice{key, std::uint16_t(newcomer)});
    }
}

void Gossip::sendAggregate(std::uint32_t key, const KeyAggregate& aggregate, int to) {
    const double own = aggregate.hosts.at(to).rate.rate(context_.now, kUsageMemory);
    const double others = sumOf(aggregate).rate.value - own;
    send(to, peer::UsageAggregate{key, peer::FixedPoint::of(others),
                                  peer::EncodedWait::of(expectedWait(aggregate)),
                                  peer::EncodedRate::of(slowStartRate(aggregate))});
}

bool Gossip::hasChanged(const KeyAggregate& aggregate) const {
    const double rate = sumOf(aggregate).rate.value;
    if (std::abs(rate - aggregate.sentRate) >= std::max(kChangedPart * aggregate.sentRate, notableRate()))
        return true;
    const double slowStart = slowStartRate(aggregate);
    if (std::abs(slowStart - aggregate.sentSlowStartRate) >
        std::max(kChangedPart * aggregate.sentSlowStartRate, notableRate()))
        return true;
    const double wait = std::max(expectedWait(aggregate), notableWait());
    const TimedValue& sent = aggregate.sentWait;
    const double sentLeft = std::max(0.0, sent.value - kWaitDrainRate * double(context_.now - sent.at));
    return std::abs(wait / std::max(sentLeft, notableWait()) - 1) >= kChangedPart ||
           context_.now - sent.at >= kAggregateRefresh;
}

void Gossip::sendChangedAggregates() {
    const auto isIdle = [&](const auto& entry) {
        return entry.second.rate.rate(context_.now, kUsageMemory) < notableRate() * kForgottenPart;
    };
    for (auto& [key, aggregate] : aggregates_) {
        const auto& hosts = aggregate.hosts;
        std::erase_if(aggregate.hosts, isIdle);
        // A host that comes back may have forgotten which others there are, and joins anew.
        std::erase_if(aggregate.joined, [&](int host) { return !hosts.contains(host); });
        if (!hasChanged(aggregate)) continue;
        aggregate.sentRate = sumOf(aggregate).rate.value;
        aggregate.sentSlowStartRate = slowStartRate(aggregate);
        aggregate.sentWait = {expectedWait(aggregate), context_.now};
        for (const auto& [host, usage] : hosts)
            sendAggregate(key, aggregate, host);
    }
}

void Gossip::onNodeStarted(const Cell& cell, Micros startedUs) {
    KeyAggregate& aggregate = aggregates_[cell.key];
    aggregate.slowStart = {};
    aggregate.slowStartUntil = startedUs + context_.settings.slowStartDurationUs;
    cell.usage->slowStartUnits = 0;
    cell.usage->others.slowStartRate = 0;
}

}  // namespace wingproxy
