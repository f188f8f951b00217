/// \file
/// The least latency of the recent past.
#pragma once

#include <algorithm>
#include <utility>

#include "policy/micros.h"

namespace wingproxy {

/// The least sample of the current span and the one before it, so that a floor outlives a pause but not a
/// lasting change of the latency.
struct LatencyFloor {
    double current = 0;    ///< least sample of this span; 0: none
    double previous = 0;   ///< least sample of the span before; 0: none
    Micros spanStart = 0;  ///< of the current span

    /// The floor; 0: no sample yet.
    [[nodiscard]] double value() const { return previous > 0 ? std::min(previous, current) : current; }
    /// Takes a sample into the span that `now` lies in.
    /// \param span length of a span, in microseconds
    void record(double sample, Micros now, Micros span) {
        if (now - spanStart > span) {
            previous = std::exchange(current, 0);
            spanStart = now;
        }
        current = current > 0 ? std::min(current, sample) : sample;
    }
};

}  // namespace wingproxy
