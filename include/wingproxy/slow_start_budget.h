/// \file
/// The load that all hosts together may put on a node in slow start, as the settings promise it.
#pragma once

#include <algorithm>
#include <cmath>

#include "wingproxy/policy.h"

namespace wingproxy {

/// The capacity of a node at this age, as a multiple of its capacity at the start. The capacity grows
/// linearly from the fraction `Settings::slowStartCapacity` to the full capacity at
/// `Settings::slowStartDurationUs`; the settings promise that it grows no more slowly at any node.
/// \param age since the node's process started, in microseconds; negative values count as 0
[[nodiscard]] inline double slowStartGrowth(const Settings& settings, Micros age) {
    constexpr double kMinStartCapacity = 0.01;  // smallest divisor
    const double fullGrowth = 1 / std::max(settings.slowStartCapacity, kMinStartCapacity);
    if (settings.slowStartDurationUs <= 0) return fullGrowth;
    const double progress = std::clamp(double(age) / double(settings.slowStartDurationUs), 0.0, 1.0);
    return 1 + (fullGrowth - 1) * progress;
}

/// Units of work that any node of this age tolerates within one window (`Settings::slowStartWindowUs`), from
/// all hosts together; `slowStartTolerance` is added to it for random variation.
/// \param age since the node's process started, in microseconds; negative values count as 0
[[nodiscard]] inline double slowStartBudget(const Settings& settings, Micros age) {
    return settings.slowStartUnits * slowStartGrowth(settings, age);
}

/// Units of work per second that the settings promise of any node after slow start; 0 if they promise
/// nothing.
[[nodiscard]] inline double promisedUnitsPerSecond(const Settings& settings) {
    if (settings.slowStartWindowUs <= 0 || settings.slowStartOverloadFactor <= 0) return 0;
    const double windows = 1e6 / double(settings.slowStartWindowUs);
    return slowStartBudget(settings, settings.slowStartDurationUs) / settings.slowStartOverloadFactor *
           windows;
}

/// A budget of fewer requests of mean work than this is given the larger tolerance of `slowStartTolerance`.
inline constexpr double kFewSlowStartRequests = 30;

/// Units beyond its budget that a node tolerates within one window, because the hosts' requests arrive at
/// random. For a budget of N requests of mean work, it is 2 sqrt(N) + 2 such requests, or 3 sqrt(N) + 3 if N
/// is below `kFewSlowStartRequests`.
[[nodiscard]] inline double slowStartTolerance(const Settings& settings, double budget) {
    const double requests = budget / settings.meanUnits;
    const double spread = requests < kFewSlowStartRequests ? 3 : 2;
    return spread * (std::sqrt(requests) + 1) * settings.meanUnits;
}

}  // namespace wingproxy
