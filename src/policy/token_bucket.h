/// \file
/// A token bucket whose rate and capacity are passed to each refill, as both change over time.
#pragma once

#include <algorithm>

#include "policy/micros.h"

namespace wingproxy {

/// Tokens that accrue over time up to a capacity. One token pays for one unit of work.
struct TokenBucket {
    double tokens = 0;
    Micros at = 0;  ///< time of the last refill

    /// Adds the tokens accrued since the last refill.
    /// \param rate tokens per second
    /// \param capacity maximum number of tokens
    void refill(double rate, double capacity, Micros now) {
        tokens = std::min(tokens + rate * double(now - at) / 1e6, capacity);
        at = now;
    }
    /// Takes `units` tokens if the bucket has at least `units + reserved`, or is full. May leave it negative.
    bool tryTake(double units, double reserved, double capacity) {
        if (tokens < std::min(capacity, units + reserved)) return false;
        tokens -= units;
        return true;
    }
};

}  // namespace wingproxy
