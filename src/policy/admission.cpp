#include "policy/admission.h"

#include <algorithm>

namespace wingproxy {
namespace {

constexpr double kHigherClassSeconds =
    0.5;  // of their demand is left in a quota to classes of higher priority
// Spare work is sent while an answer takes at most this part of the shortest objective, shared work this
// part.
constexpr double kSpareLatencyPart = 0.7;
constexpr double kShareLatencyPart = 1;
// Steps of a level: slower up than down, as what all hosts admit at once fills any queue, and faster where
// the node is as good as idle. The most asked falls slowly: a host may see it seldom.
constexpr double kLevelDecrease = 0.92;
constexpr double kLevelIncrease = 1.02;
constexpr double kIdleLevelIncrease = 1.08;
constexpr double kMostAskedDecay = 0.97;

// Spends `units` if the bucket has them, and leaves in it what other classes may need.
bool takeTokens(TokenBucket& bucket, double capacity, double units, double reserved) {
    if (bucket.tokens < std::min(capacity, units + reserved)) return false;
    bucket.tokens -= units;
    return true;
}

}  // namespace

void Admission::open(Volume& volume) const {
    volume.quota.guaranteed.at = context_.now;
    if (volume.plan < 0) return;
    const PlanInfo& plan = context_.settings.plans.at(std::size_t(volume.plan));
    volume.quota.guaranteed.tokens = plan.guaranteedRate / volume.hosts + context_.settings.maxUnits;
}

// This host keeps its part of both quotas, by its part of the volume's use.
double Admission::classify(PendingRequest& request) {
    Volume& volume = *request.volume;
    const Settings& settings = context_.settings;
    const PlanInfo& plan = settings.plans.at(std::size_t(volume.plan));
    const double units = request.info.units;
    const double ownShare = usage_.ownShare(*volume.usage);
    const double reserved = reservedForHigherClasses(volume, request);

    const double guaranteedRate = plan.guaranteedRate * ownShare;
    TokenBucket& guaranteed = volume.quota.guaranteed;
    const double guaranteedCapacity = guaranteedRate + settings.maxUnits;
    guaranteed.refill(guaranteedRate, guaranteedCapacity, context_.now);
    request.quota = QuotaClass::Spare;
    if (plan.guaranteedRate > 0 && takeTokens(guaranteed, guaranteedCapacity, units, reserved))
        request.quota = QuotaClass::Guaranteed;

    CellQuota& cell = volume.quota.byCell[request.cell];
    cell.demand.add(context_.now, kRateMemory, units);
    WaterLevel& level = levelAt(request.cell);
    const double shareRate = level.level * plan.shares * ownShare;
    cell.share.refill(shareRate, shareRate + settings.maxUnits, context_.now);
    const double asked = cell.demand.rate(context_.now, kRateMemory);
    level.mostAsked = std::max(level.mostAsked, asked / std::max(plan.shares * ownShare, kNegligibleRate));
    if (request.quota == QuotaClass::Spare &&
        takeTokens(cell.share, shareRate + settings.maxUnits, units, reserved))
        request.quota = QuotaClass::Share;
    if (request.quota != QuotaClass::Spare) return units;
    return units * (settings.spareWeight / std::max(settings.shareWeight, kNegligibleRate));
}

double Admission::reservedForHigherClasses(Volume& volume, const PendingRequest& request) const {
    auto& demandByClass = volume.quota.demandByClass;
    const auto& classes = context_.settings.classes;
    demandByClass.resize(classes.size());
    if (!request.classInfo) return 0;
    double reserved = 0;
    for (std::size_t i = 0; i < classes.size(); ++i)
        if (classes[i].priorityWeight > request.classInfo->priorityWeight)
            reserved += demandByClass[i].rate(context_.now, kRateMemory) * kHigherClassSeconds;
    demandByClass[std::size_t(request.info.classIndex)].add(context_.now, kRateMemory, request.info.units);
    return reserved;
}

void Admission::giveBack(const PendingRequest& request) const {
    VolumeQuota& quota = request.volume->quota;
    if (request.quota == QuotaClass::Guaranteed) quota.guaranteed.tokens += request.info.units;
    if (request.quota == QuotaClass::Share) quota.byCell[request.cell].share.tokens += request.info.units;
}

Admission::WaterLevel& Admission::levelAt(int cell) {
    if (std::size_t(cell) >= levels_.size()) levels_.resize(std::size_t(cell) + 1);
    return levels_[std::size_t(cell)];
}

void Admission::updateLevels() {
    for (int i = 0; i < cluster_.cellCount(); ++i)
        updateLevel(cluster_.cells()[std::size_t(i)], levelAt(i));
}

void Admission::updateLevel(const Cell& cell, WaterLevel& level) const {
    double latency = kUnlimited;
    double unqueued = 0;
    for (const int index : cell.nodes) {
        const Node& node = cluster_.node(index);
        if (!node.isReady() || cluster_.expectedLatency(node) >= latency) continue;
        latency = cluster_.expectedLatency(node);
        unqueued = node.concurrency.unqueuedLatency();
    }
    level.mostAsked *= kMostAskedDecay;
    if (latency == kUnlimited) return;  // the successor of a drained node is not overloaded: the level stays
    const double increase = latency <= unqueued ? kIdleLevelIncrease : kLevelIncrease;
    if (latency > kShareLatencyPart * context_.latencyObjective)
        level.level = std::min(level.level, level.mostAsked) * kLevelDecrease;
    if (latency < kSpareLatencyPart * context_.latencyObjective)
        level.level = std::min(kUnlimited, level.level * increase);
}

double Admission::value(const PendingRequest& request) const {
    const Settings& settings = context_.settings;
    const int plan = request.volume->plan;
    const double factor = plan < 0 ? 1 : settings.plans.at(std::size_t(plan)).priorityFactor;
    const double beyondGuaranteed =
        request.quota == QuotaClass::Share ? settings.shareWeight : settings.spareWeight;
    const double part = request.quota == QuotaClass::Guaranteed ? 1 : beyondGuaranteed;
    return request.priorityWeight() * factor * part;
}

double Admission::longestLatency(const PendingRequest& request) const {
    const double left = double(request.due - context_.now);
    if (request.quota == QuotaClass::Guaranteed) return left;
    if (request.quota == QuotaClass::Share)
        return std::min(left, kShareLatencyPart * context_.latencyObjective);
    const WaterLevel level = levelOf(request.cell);
    if (level.level < level.mostAsked) return 0;  // spare: only where the shares are not contended
    return kSpareLatencyPart * context_.latencyObjective;
}

}  // namespace wingproxy
