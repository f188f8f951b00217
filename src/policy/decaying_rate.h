/// \file
/// A rate of units that is forgotten exponentially, and a value with the time of its measurement.
#pragma once

#include <cmath>

#include "policy/micros.h"

namespace wingproxy {

/// Units a second, averaged with exponentially falling weights over the recent past.
struct DecayingRate {
    double value = 0;  ///< units a second, as of `at`
    Micros at = 0;     ///< last update

    /// The rate at `now`.
    /// \param memory time in which the weight of a sample falls to 1/e, in microseconds
    [[nodiscard]] double rate(Micros now, Micros memory) const {
        return value * std::exp(-double(now - at) / double(memory));
    }
    /// Counts `units` at `now`.
    void add(Micros now, Micros memory, double units) {
        value = rate(now, memory) + units * 1e6 / double(memory);
        at = now;
    }
};

/// Units a second; less counts as none, and nothing is divided by less.
inline constexpr double kNegligibleRate = 1e-9;

/// A value and when it was measured.
struct TimedValue {
    double value = 0;
    Micros at = 0;  ///< when it was measured
};

}  // namespace wingproxy
