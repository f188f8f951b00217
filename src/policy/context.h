/// \file
/// What all parts of the policy share: the settings, the time of the batch, and the actions that it gives.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "fleet/restart_recovery.h"
#include "policy/micros.h"

namespace wingproxy {

/// Time in which a sample of an arrival or completion rate loses its weight, in microseconds.
extern const Micros kRateTimeConstant;
/// Interval at which the policy looks at its queues and at what is due, in microseconds.
extern const Micros kTickInterval;

/// Owned by `Policy`; every part keeps a reference. Only `Policy` sets the time.
struct Context {
    /// \param defaultObjective stands in where no class has a latency objective, in microseconds
    Context(const Settings& given, Micros start, Micros defaultObjective)
        : settings(given), now(start), startedAt(start) {
        const Micros shortest = given.shortestLatencyObjective();
        latencyObjective = double(shortest > 0 ? shortest : defaultObjective);
    }

    Settings settings;
    Micros now = 0;               ///< of the batch; never falls
    Micros startedAt = 0;         ///< of this host's earliest process in a row of hot restarts
    double latencyObjective = 0;  ///< the shortest of all classes, in microseconds
    bool handedOver = false;  ///< a successor process has all rights; open requests are only finished here
    std::vector<Action> actions;  ///< of this batch, in order

    /// Adds an action of any kind to the batch.
    template <typename OneAction>
    void emit(OneAction action) {
        actions.emplace_back(std::move(action));
    }
};

}  // namespace wingproxy
