#include "policy/slow_start.h"

#include <algorithm>

namespace wingproxy {
namespace {

// Of the load beyond its completed work that the settings let a starting node have: the rest covers what each
// host may send ahead alone.
constexpr double kMarginPart = 0.5;
constexpr double kMinStartCapacity = 0.01;  // no division by less

double loadFactor(const Settings& settings) {
    return 1 + kMarginPart * (settings.slowStartOverloadFactor - 1);
}

}  // namespace

bool SlowStartLimiter::admits(const Settings& settings, double units, Micros now) {
    const auto [outstanding, completed] = state_.window.sums(settings.slowStartWindowUs, now);
    const double ahead =
        std::max((loadFactor(settings) - 1) * completed, std::min(completed, settings.maxUnits));
    const double allowed = std::max(settings.slowStartUnits / settings.hostCount, ahead);
    return state_.credit + state_.creditDiscount * units >= units ||
           allowed - std::max(0.0, outstanding) >= units;
}

void SlowStartLimiter::earnCredit(const Settings& settings, double units, double own, const PeerUsage& others,
                                  Micros startedUs, Micros now) {
    const double fullGrowth = 1 / std::max(settings.slowStartCapacity, kMinStartCapacity);
    // A start that is announced for later counts as now.
    const double age = std::max(0.0, double(now - startedUs) / double(settings.slowStartDurationUs));
    const double growth = 1 + (fullGrowth - 1) * age;
    const double guaranteed = settings.slowStartUnits * growth * 1e6 / double(settings.slowStartWindowUs);
    // What the node completed for all hosts lately it can do again.
    const double capacity = std::max(guaranteed, others.slowStartRate);
    const double demand = std::max(own + others.rate, kNegligibleRate);
    const double earned = loadFactor(settings) * units * std::min(1.0, capacity / demand);
    state_.credit = std::min(state_.credit + earned, settings.maxUnits);
}

}  // namespace wingproxy
