/// \file
/// The units that a host sent to a node, and those that the node completed, within a sliding window.
#pragma once

#include <algorithm>
#include <deque>

#include "policy/micros.h"

namespace wingproxy {

/// Units of work that were sent and completed, oldest first.
struct SlowStartWindow {
    /// One request that was sent or completed.
    struct Sample {
        Micros at = 0;
        double units = 0;  ///< positive: sent; negative: completed
    };
    /// Totals over a span of time.
    struct Sums {
        double sent = 0;
        double completed = 0;
    };
    std::deque<Sample> samples;

    /// Records a request that was sent.
    void addSent(double units, Micros now) { samples.push_back({now, units}); }
    /// Records a request that was completed.
    void addCompleted(double units, Micros now) { samples.push_back({now, -units}); }
    /// Removes samples older than `length` microseconds.
    void dropOlderThan(Micros length, Micros now) {
        while (!samples.empty() && now - samples.front().at > length)
            samples.pop_front();
    }
    /// Totals of the samples that are no older than `length` microseconds.
    [[nodiscard]] Sums sums(Micros length, Micros now) const {
        Sums sums;
        for (auto sample = samples.rbegin(); sample != samples.rend() && now - sample->at <= length; ++sample)
            (sample->units > 0 ? sums.sent : sums.completed) += std::abs(sample->units);
        return sums;
    }
};

}  // namespace wingproxy
