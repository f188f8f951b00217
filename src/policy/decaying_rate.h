/// \file
/// An exponentially decaying rate of units, and a value with the time of its measurement.
#pragma once

#include <cmath>

#include "policy/micros.h"

namespace wingproxy {

/// Units per second, averaged over the recent past with exponentially decaying weights.
struct DecayingRate {
    double value = 0;  ///< units per second, as of `at`
    Micros at = 0;     ///< time of the last update

    /// The rate at `now`.
    /// \param timeConstant time in which the weight of a sample falls to 1/e, in microseconds
    [[nodiscard]] double rate(Micros now, Micros timeConstant) const {
        return value * std::exp(-double(now - at) / double(timeConstant));
    }
    /// Counts `units` at `now`.
    void add(Micros now, Micros timeConstant, double units) {
        value = rate(now, timeConstant) + units * 1e6 / double(timeConstant);
        at = now;
    }
};

/// Units per second; a lower rate counts as zero, and no division is by less.
inline constexpr double kNegligibleRate = 1e-9;

/// A value and when it was measured.
struct TimedValue {
    double value = 0;
    Micros at = 0;  ///< when it was measured
};

}  // namespace wingproxy
