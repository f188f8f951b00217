/// \file
/// What all parts of the policy share: the settings, the current time, and the actions of the batch.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "fleet/restart_recovery.h"
#include "policy/micros.h"

namespace wingproxy {

/// Time in which the weight of a sample in an arrival or completion rate falls to 1/e, in microseconds.
extern const Micros kRateTimeConstant;
/// Interval of the tick, at which the policy examines its queues and does periodic work, in microseconds.
extern const Micros kTickInterval;

/// Owned by `Policy::Impl`; every part keeps a reference. Only `Policy::Impl` sets the time.
struct Context {
    /// \param defaultObjective used if no class has a latency objective, in microseconds
    Context(const Settings& given, Micros start, Micros defaultObjective)
        : settings(given), now(start), startedAt(start) {
        const Micros shortest = given.shortestLatencyObjective();
        latencyObjective = double(shortest > 0 ? shortest : defaultObjective);
    }

    Settings settings;
    Micros now = 0;               ///< time of the current event or end of batch; never decreases
    Micros startedAt = 0;         ///< start of the first process in an unbroken series of hot restarts
    double latencyObjective = 0;  ///< the shortest of all classes, in microseconds
    bool handedOver = false;  ///< a snapshot was taken for a successor: only open requests are finished here
    std::vector<Action> actions;  ///< of this batch, in order

    /// Adds an action of any kind to the batch.
    template <typename OneAction>
    void emit(OneAction action) {
        actions.emplace_back(std::move(action));
    }
};

}  // namespace wingproxy
