/// \file
/// Compares what all hosts together sent to a node in slow start with what such a node tolerates.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "wingproxy/slow_start_budget.h"

namespace wingproxy::test {

/// Number of requests of mean work that a node tolerates within one window, random variation included, when
/// the settings promise `budget` units. With N requests of mean work in the budget, it is N + 2 sqrt(N) + 2,
/// or N + 3 sqrt(N) + 3 if N is below 30.
inline double toleratedRequests(double budget, double meanUnits) {
    constexpr double kFewRequests = 30;
    const double requests = budget / meanUnits;
    const double spread = requests < kFewRequests ? 3 : 2;
    return requests + spread * std::sqrt(requests) + spread;
}

/// The units of each request that arrived at one node, in the order of arrival.
class ArrivalRecord {
public:
    /// Records a request that has arrived completely.
    void record(double units, Micros at) { arrivals_.push_back({at, units}); }
    /// Requests of mean work by which the fullest window exceeds what the node tolerates, over all windows
    /// that end with an arrival while it is warming up; below 0 if none exceeds it.
    [[nodiscard]] double largestExcess(const Settings& settings, Micros nodeStartedAt) const {
        double largest = -toleratedRequests(settings.slowStartUnits, settings.meanUnits);
        double units = 0;
        std::size_t first = 0;
        for (const Arrival& last : arrivals_) {
            const Micros age = last.at - nodeStartedAt;
            if (age >= settings.slowStartDurationUs) break;
            units += last.units;
            while (last.at - arrivals_[first].at > settings.slowStartWindowUs)
                units -= arrivals_[first++].units;
            const double tolerated = toleratedRequests(slowStartBudget(settings, age), settings.meanUnits);
            largest = std::max(largest, units / settings.meanUnits - tolerated);
        }
        return largest;
    }
    /// Number of requests that arrived.
    [[nodiscard]] std::size_t size() const { return arrivals_.size(); }
    /// Total units of the requests that arrived.
    [[nodiscard]] double units() const {
        double sum = 0;
        for (const Arrival& arrival : arrivals_)
            sum += arrival.units;
        return sum;
    }

private:
    struct Arrival {
        Micros at = 0;
        double units = 0;
    };
    std::vector<Arrival> arrivals_;
};

}  // namespace wingproxy::test
