/// \file
/// What a node may be sent while it warms up, by all hosts together.
#pragma once

#include <algorithm>
#include <cmath>

#include "wingproxy/policy.h"

namespace wingproxy {

/// How many times its first capacity a node has at this age. It grows evenly from
/// `Settings::slowStartCapacity` to the full capacity at `Settings::slowStartDurationUs`; the settings
/// promise that no node is slower. \param age since the node's process started, in microseconds; less than 0
/// counts as 0
[[nodiscard]] inline double slowStartGrowth(const Settings& settings, Micros age) {
    constexpr double kMinStartCapacity = 0.01;  // no division by less
    const double fullGrowth = 1 / std::max(settings.slowStartCapacity, kMinStartCapacity);
    if (settings.slowStartDurationUs <= 0) return fullGrowth;
    const double warmPart = std::clamp(double(age) / double(settings.slowStartDurationUs), 0.0, 1.0);
    return 1 + (fullGrowth - 1) * warmPart;
}

/// Units of work that any node of this age bears within one window (`Settings::slowStartWindowUs`), from all
/// hosts together.
/// \param age as above
[[nodiscard]] inline double slowStartBudget(const Settings& settings, Micros age) {
    return settings.slowStartUnits * slowStartGrowth(settings, age);
}

/// Units of work a second that any warm node does, as far as the settings promise it; 0: they promise
/// nothing.
[[nodiscard]] inline double promisedUnitsPerSecond(const Settings& settings) {
    if (settings.slowStartWindowUs <= 0 || settings.slowStartOverloadFactor <= 0) return 0;
    const double windows = 1e6 / double(settings.slowStartWindowUs);
    return slowStartBudget(settings, settings.slowStartDurationUs) / settings.slowStartOverloadFactor *
           windows;
}

/// Below this number of requests of mean work, a budget counts as one of few requests.
inline constexpr double kFewSlowStartRequests = 30;

/// Units within one window that a node bears beyond its budget, as the hosts' requests come by chance. For a
/// budget of N requests of mean work it is 2 sqrt(N) + 2 of them, and 3 sqrt(N) + 3 where N is below
/// `kFewSlowStartRequests`.
[[nodiscard]] inline double slowStartTolerance(const Settings& settings, double budget) {
    const double requests = budget / settings.meanUnits;
    const double spread = requests < kFewSlowStartRequests ? 3 : 2;
    return spread * (std::sqrt(requests) + 1) * settings.meanUnits;
}

}  // namespace wingproxy
