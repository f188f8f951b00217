#include "policy/admission.h"

#include <algorithm>

namespace wingproxy {
namespace {

constexpr double kHigherClassSeconds = 0.5;  // of the demand of higher classes is left to them in a quota
// Work is sent while an answer takes at most this part of the shortest objective.
constexpr double kSpareLatencyPart = 0.7;
constexpr double kShareLatencyPart = 1;
// Steps of a level: slower up than down, as what all hosts admit at once fills any queue, and faster where
// the node is as good as idle. The most asked falls slowly: a host may see it seldom.
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
    cell.demand.add(context_.now, kRateMemory, units);
    const double demand = cell.demand.rate(context_.now, kRateMemory);
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
            reserved += demandByClass[i].rate(context_.now, kRateMemory) * kHigherClassSeconds;
    demandByClass[request.info().classIndex.position()].add(context_.now, kRateMemory, request.units());
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
    if (latency == kUnlimited) return;  // the successor of a drained node is not overloaded: the level stays
    const double increase = latency <= unqueued ? kIdleLevelIncrease : kLevelIncrease;
    if (latency > kShareLatencyPart * context_.latencyObjective)
        level.level = std::min(level.level, level.peakDemand) * kLevelDecrease;
    if (latency < kSpareLatencyPart * context_.latencyObjective)
        level.level = std::min(kUnlimited, level.level * increase);
}

double Admission::value(const PendingRequest& request) const {
    const Settings& settings = context_.settings;
    const PlanIndex plan = request.volume().plan();
    const double factor = plan.isNone() ? 1 : settings.plans.at(plan.position()).priorityFactor;
    const double beyondGuaranteed =
        request.quota() == QuotaClass::Share ? settings.shareWeight : settings.spareWeight;
    const double part = request.quota() == QuotaClass::Guaranteed ? 1 : beyondGuaranteed;
    return request.priorityWeight() * factor * part;
}

double Admission::maxLatency(const PendingRequest& request) const {
    const double timeLeft = double(request.due() - context_.now);
    if (request.quota() == QuotaClass::Guaranteed) return timeLeft;
    if (request.quota() == QuotaClass::Share)
        return std::min(timeLeft, kShareLatencyPart * context_.latencyObjective);
    const WaterLevel level = levelOf(request.cell());
    if (level.level < level.peakDemand) return 0;  // spare: only where the shares are not contended
    return kSpareLatencyPart * context_.latencyObjective;
}

}  // namespace wingproxy
