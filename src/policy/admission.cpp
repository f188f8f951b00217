#include "policy/admission.h"

#include <algorithm>

namespace wingproxy {
namespace {

constexpr double kHigherClassSeconds = 0.5;  // of the demand of higher classes are reserved for them
// Work is sent while the expected latency is at most this fraction of the shortest latency objective.
constexpr double kSpareLatencyFraction = 0.7;
constexpr double kShareLatencyFraction = 1;
// Factors applied at each update. A level rises more slowly than it falls, as the work that all hosts admit
// at once can fill any queue; it rises faster where a node is nearly idle. The peak demand decays slowly, as
// this host may see the peak only rarely.
constexpr double kLevelDecrease = 0.92;
constexpr double kLevelIncrease = 1.02;
constexpr double kIdleLevelIncrease = 1.08;
constexpr double kPeakDemandDecay = 0.97;

}  // namespace

double Admission::classify(PendingRequest& request) {
    Volume& volume = request.volume();
    const Settings& settings = context_.settings;
    const PlanInfo& plan = settings.plans.at(volume.plan().position());
    const double units = request.units();
    const double ownShare = usage_.ownShare(volume.usage());
    const double reserved = reservedForHigherClasses(volume, request);

    TokenBucket& guaranteed = volume.quota().guaranteed;
    const double guaranteedRate = plan.guaranteedRate * ownShare;
    const double guaranteedCapacity = guaranteedRate + settings.maxUnits;
    guaranteed.refill(guaranteedRate, guaranteedCapacity, context_.now);
    const bool isGuaranteed =
        plan.guaranteedRate > 0 && guaranteed.tryTake(units, reserved, guaranteedCapacity);

    CellQuota& cell = volume.quota().byCell[request.cell()];
    WaterLevel& level = levelAt(request.cell());
    cell.demand.add(context_.now, kRateTimeConstant, units);
    const double demand = cell.demand.rate(context_.now, kRateTimeConstant);
    level.peakDemand = std::max(level.peakDemand, demand / std::max(plan.shares * ownShare, kNegligibleRate));
    const double shareRate = level.level * plan.shares * ownShare;
    const double shareCapacity = shareRate + settings.maxUnits;
    cell.share.refill(shareRate, shareCapacity, context_.now);
    const bool isShare = !isGuaranteed && cell.share.tryTake(units, reserved, shareCapacity);

    request.setQuota(isGuaranteed, isShare);
    if (request.quota() != QuotaClass::Spare) return units;
    return units * (settings.spareWeight / std::max(settings.shareWeight, kNegligibleRate));
}

double Admission::reservedForHigherClasses(Volume& volume, const PendingRequest& request) const {
    auto& demandByClass = volume.quota().demandByClass;
    const auto& classes = context_.settings.classes;
    demandByClass.resize(classes.size());
    if (!request.classInfo()) return 0;
    double reserved = 0;
    for (std::size_t i = 0; i < classes.size(); ++i)
        if (classes[i].priorityWeight > request.classInfo()->priorityWeight)
            reserved += demandByClass[i].rate(context_.now, kRateTimeConstant) * kHigherClassSeconds;
    demandByClass[request.info().classIndex.position()].add(context_.now, kRateTimeConstant, request.units());
    return reserved;
}

void Admission::updateLevel(const Cell& cell, WaterLevel& level) const {
    double latency = kUnlimited;
    double unqueued = 0;
    for (const NodeIndex index : cell.nodes) {
        const Node& node = cluster_.node(index);
        if (!node.isReady() || cluster_.expectedLatency(node) >= latency) continue;
        latency = cluster_.expectedLatency(node);
        unqueued = node.concurrency().queueingThreshold();
    }
    level.peakDemand *= kPeakDemandDecay;
    // No ready node, e.g. until the successor of a drained one starts: that is no sign of overload.
    if (latency == kUnlimited) return;
    const double increase = latency <= unqueued ? kIdleLevelIncrease : kLevelIncrease;
    if (latency > kShareLatencyFraction * context_.latencyObjective)
        level.level = std::min(level.level, level.peakDemand) * kLevelDecrease;
    if (latency < kSpareLatencyFraction * context_.latencyObjective)
        level.level = std::min(kUnlimited, level.level * increase);
}

double Admission::value(const PendingRequest& request) const {
    const Settings& settings = context_.settings;
    const PlanIndex plan = request.volume().plan();
    const double factor = plan.isNone() ? 1 : settings.plans.at(plan.position()).priorityFactor;
    const double beyondGuaranteed =
        request.quota() == QuotaClass::Share ? settings.shareWeight : settings.spareWeight;
    const double quotaWeight = request.quota() == QuotaClass::Guaranteed ? 1 : beyondGuaranteed;
    return request.priorityWeight() * factor * quotaWeight;
}

double Admission::maxLatency(const PendingRequest& request) const {
    const double timeLeft = double(request.due() - context_.now);
    if (request.quota() == QuotaClass::Guaranteed) return timeLeft;
    if (request.quota() == QuotaClass::Share)
        return std::min(timeLeft, kShareLatencyFraction * context_.latencyObjective);
    const WaterLevel level = levelOf(request.cell());
    if (level.level < level.peakDemand) return 0;  // spare work is not sent where shares are contended
    return kSpareLatencyFraction * context_.latencyObjective;
}

}  // namespace wingproxy
