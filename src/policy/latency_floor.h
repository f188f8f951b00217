/// \file
/// The minimum latency of the recent past.
#pragma once

#include <algorithm>
#include <utility>

#include "policy/micros.h"

namespace wingproxy {

/// The minimum over the current span and the previous one, so that it survives a pause of the node but not a
/// lasting change of the latency.
struct LatencyFloor {
    double current = 0;    ///< minimum of this span; 0: no sample
    double previous = 0;   ///< minimum of the previous span; 0: no sample
    Micros spanStart = 0;  ///< start of the current span

    /// The minimum; 0: no sample yet.
    [[nodiscard]] double value() const { return previous > 0 ? std::min(previous, current) : current; }
    /// Adds a sample to the current span, or begins a new one if that is over.
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
