/// \file
/// Smoothed latency and size of a node's requests, and the recent minimum of the latency per unit of work.
#pragma once

#include <algorithm>

#include "policy/latency_floor.h"

namespace wingproxy {

/// One node's latency as estimated from its answers and its peers' reports. Latencies are in microseconds.
struct LatencyEstimate {
    double latency = 0;         ///< smoothed; 0: unknown
    double units = 1;           ///< size of a request, smoothed
    double perUnit = 0;         ///< latency / units
    LatencyFloor floor;         ///< of `perUnit`
    Micros updatedAt = kNever;  ///< last answer, or last report of a peer on the wait there

    /// Latency of a request of mean size without a queue.
    [[nodiscard]] double unqueued() const { return floor.value() * units; }
    /// Usual latency of a request of `requestUnits`: at least that of a request of mean size.
    [[nodiscard]] double usualLatency(double requestUnits) const {
        return std::max(latency, perUnit * requestUnits);
    }
    /// Adds the latency and size of an answered request to the averages.
    /// \param latencyWeight weight of the new latency, from 0 to 1
    /// \param unitsWeight weight of the new size, from 0 to 1
    void record(double newLatency, double newUnits, double latencyWeight, double unitsWeight) {
        latency += latencyWeight * (newLatency - latency);
        units += unitsWeight * (newUnits - units);
        perUnit = latency / units;
    }
    /// A peer reported how long requests wait there; `wait` adds to the latency without a queue.
    void setWait(double wait, Micros now) {
        latency = unqueued() + wait;
        updatedAt = now;
    }
};

}  // namespace wingproxy
