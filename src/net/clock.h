/// \file
/// The process's clock, and conversions between the policy's `Micros` and std::chrono.
#pragma once

#include <chrono>

#include "wingproxy/policy.h"

namespace wingproxy::net {

/// Converts a duration of the policy to std::chrono.
constexpr std::chrono::microseconds toDuration(Micros micros) { return std::chrono::microseconds(micros); }

/// Converts a std::chrono duration to the policy's unit. One of a finer resolution needs an explicit cast.
constexpr Micros toMicros(std::chrono::microseconds duration) { return duration.count(); }

/// Unix time in microseconds that never goes back: the system clock is read once, at construction, and the
/// time that has passed since then on the steady clock is added. It is Unix time because `startedAtMs` of
/// the endpoint list is.
class Clock {
public:
    Clock()
        : startUs_(std::chrono::duration_cast<std::chrono::microseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count()),
          start_(std::chrono::steady_clock::now()) {}

    /// Microseconds since the Unix epoch.
    Micros now() const { return startUs_ + sinceStart().count(); }

    /// The steady clock's time point at which `now()` is `when`, to set timers.
    std::chrono::steady_clock::time_point at(Micros when) const {
        return start_ + std::chrono::microseconds(when - startUs_);
    }

private:
    std::chrono::microseconds sinceStart() const {
        return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() -
                                                                     start_);
    }

    Micros startUs_;
    std::chrono::steady_clock::time_point start_;
};

}  // namespace wingproxy::net
