/// \file
/// Runs the steps of a simulation in the order of simulated time.
#pragma once

#include <functional>
#include <map>
#include <utility>

#include "wingproxy/policy.h"

namespace wingproxy::test {

/// Steps that are due at simulated times. Steps of the same time run in the order in which they were added.
class StepScheduler {
public:
    using Step = std::function<void()>;

    void add(Micros time, Step step) { steps_.emplace(time, std::move(step)); }
    [[nodiscard]] bool empty() const { return steps_.empty(); }
    /// The time of the next step; there must be one.
    [[nodiscard]] Micros nextTime() const { return steps_.begin()->first; }
    /// Runs all steps of `nextTime()`, also those that they add for this time.
    void runNext() {
        const Micros now = nextTime();
        while (!steps_.empty() && nextTime() == now) {
            const auto step = std::move(steps_.begin()->second);
            steps_.erase(steps_.begin());
            step();
        }
    }

private:
    std::multimap<Micros, Step> steps_;
};

}  // namespace wingproxy::test
