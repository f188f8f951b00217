/// \file
/// The process's one clock, and the only place where the policy's `Micros` and std::chrono meet.
#pragma once

#include <chrono>

#include "wingproxy/policy.h"

namespace wingproxy::net {

/// A duration of the policy's as one of the standard library's.
constexpr std::chrono::microseconds toDuration(Micros micros) { return std::chrono::microseconds(micros); }

/// A duration of the standard library's in the policy's unit. A finer one does not convert without a cast.
constexpr Micros toMicros(std::chrono::microseconds duration) { return duration.count(); }

/// Unix time in microseconds that never goes back: the system clock is read once, at construction, and the
/// steady clock is added to it. Unix time is needed because `startedAtMs` of the endpoint list counts so.
class Clock {
public:
    Clock()
        : startUs_(std::chrono::duration_cast<std::chrono::microseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count()),
          start_(std::chrono::steady_clock::now()) {}

    /// Microseconds since the Unix epoch.
    Micros now() const { return startUs_ + sinceStart().count(); }

    /// The point of the steady clock at which `now()` is `when`; timers are set to it.
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
