/// \file
/// Smoothed latency and size of a node's requests, and the least latency that a unit of work took.
#pragma once

#include <algorithm>

#include "policy/latency_floor.h"

namespace wingproxy {

/// What the answers of one node say of its latency. Latencies are microseconds.
struct LatencyEstimate {
    double latency = 0;         ///< smoothed; 0: unknown
    double units = 1;           ///< of a request, smoothed
    double perUnit = 0;         ///< latency / units
    LatencyFloor floor;         ///< of `perUnit`
    Micros updatedAt = kNever;  ///< last answer, or last report of a peer on the wait there

    /// Latency of a request of mean size without a queue.
    [[nodiscard]] double unqueued() const { return floor.value() * units; }
    /// What a request of so many units usually takes.
    [[nodiscard]] double usualLatency(double requestUnits) const {
        return std::max(latency, perUnit * requestUnits);
    }
    /// An answer came.
    /// \param latencyWeight of this latency, from 0 to 1
    /// \param unitsWeight of this size, likewise
    void record(double newLatency, double newUnits, double latencyWeight, double unitsWeight) {
        latency += latencyWeight * (newLatency - latency);
        units += unitsWeight * (newUnits - units);
        perUnit = latency / units;
    }
    /// A peer reported how long requests wait there, which comes on top of the latency without a queue.
    void setWait(double wait, Micros now) {
        latency = unqueued() + wait;
        updatedAt = now;
    }
};

}  // namespace wingproxy
