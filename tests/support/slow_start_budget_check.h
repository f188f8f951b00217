/// \file
/// Holds what a node in slow start was sent by all hosts together against what such a node bears.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "wingproxy/slow_start_budget.h"

namespace wingproxy::test {

/// Requests of mean work that a node bears within one window, chance included, when its settings promise
/// `budget` units: N + 2 sqrt(N) + 2 of them, and N + 3 sqrt(N) + 3 where N is under 30.
inline double bearableRequests(double budget, double meanUnits) {
    constexpr double kFewRequests = 30;
    const double requests = budget / meanUnits;
    const double spread = requests < kFewRequests ? 3 : 2;
    return requests + spread * std::sqrt(requests) + spread;
}

/// What one node was sent: the units of each request, in the order of arrival.
class ArrivalRecord {
public:
    /// A request of so many units has arrived whole.
    void record(double units, Micros at) { arrivals_.push_back({at, units}); }
    /// Requests of mean work by which the fullest window passes what the node bears, over all windows that
    /// end with an arrival while it is warming up; below 0 where none does.
    [[nodiscard]] double largestExcess(const Settings& settings, Micros nodeStartedAt) const {
        double largest = -bearableRequests(settings.slowStartUnits, settings.meanUnits);
        double units = 0;
        std::size_t first = 0;
        for (const Arrival& last : arrivals_) {
            const Micros age = last.at - nodeStartedAt;
            if (age >= settings.slowStartDurationUs) break;
            units += last.units;
            while (last.at - arrivals_[first].at > settings.slowStartWindowUs)
                units -= arrivals_[first++].units;
            const double bears = bearableRequests(slowStartBudget(settings, age), settings.meanUnits);
            largest = std::max(largest, units / settings.meanUnits - bears);
        }
        return largest;
    }
    /// Requests that arrived.
    [[nodiscard]] std::size_t size() const { return arrivals_.size(); }
    /// Units that arrived.
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
