// The one clock: Unix microseconds, as startedAtMs counts, that never fall when the system's time is set
// back.
#pragma once

#include <chrono>

#include "wingproxy/policy.h"

namespace wingproxy::net {

class Clock {
public:
    Clock()
        : base_(std::chrono::duration_cast<std::chrono::microseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()),
          from_(std::chrono::steady_clock::now()) {}
    Micros now() const {
        return base_ +
               std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - from_)
                   .count();
    }
    std::chrono::steady_clock::time_point at(Micros when) const {
        return from_ + std::chrono::microseconds(when - base_);
    }

private:
    Micros base_;
    std::chrono::steady_clock::time_point from_;
};

}  // namespace wingproxy::net
