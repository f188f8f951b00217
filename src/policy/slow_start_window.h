/// \file
/// The units that a host sent to a starting node and that the node completed, within a sliding window.
#pragma once

#include <algorithm>
#include <deque>

#include "policy/micros.h"

namespace wingproxy {

/// Units of work sent and completed, oldest first.
struct SlowStartWindow {
    /// One request that was sent or completed.
    struct Sample {
        Micros at = 0;
        double units = 0;  ///< sent; completed ones are negative
    };
    /// Units over the window.
    struct Sums {
        double outstanding = 0;  ///< sent and not completed
        double completed = 0;
    };
    std::deque<Sample> samples;

    /// A request of so many units was sent.
    void addSent(double units, Micros now) { samples.push_back({now, units}); }
    /// A request of so many units was completed.
    void addCompleted(double units, Micros now) { samples.push_back({now, -units}); }
    /// Forgets what is older than `length` microseconds, and sums up the rest.
    Sums sums(Micros length, Micros now) {
        while (!samples.empty() && now - samples.front().at > length)
            samples.pop_front();
        Sums sums;
        for (const Sample& sample : samples) {
            sums.outstanding += sample.units;
            sums.completed -= std::min(0.0, sample.units);
        }
        return sums;
    }
};

}  // namespace wingproxy
