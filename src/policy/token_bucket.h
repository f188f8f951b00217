/// \file
/// A token bucket whose rate and capacity are given at each refill, as both change with time.
#pragma once

#include <algorithm>

#include "policy/micros.h"

namespace wingproxy {

/// Tokens that accrue with time up to a capacity. One token pays for one unit of work.
struct TokenBucket {
    double tokens = 0;
    Micros at = 0;  ///< last refill

    /// Adds what accrued since the last refill.
    /// \param rate tokens a second
    /// \param capacity tokens that the bucket holds at the most
    void refill(double rate, double capacity, Micros now) {
        tokens = std::min(tokens + rate * double(now - at) / 1e6, capacity);
        at = now;
    }
    /// Takes `units`, if the bucket has them and `reserved` more, or is full.
    bool tryTake(double units, double reserved, double capacity) {
        if (tokens < std::min(capacity, units + reserved)) return false;
        tokens -= units;
        return true;
    }
};

}  // namespace wingproxy
