/// \file
/// State that the components of the reducer share: the time of the input, the policy, timers, counters and
/// effects.
#pragma once

#include "core/attempt_deadlines.h"
#include "core/counters.h"
#include "core/effects.h"
#include "core/slow_start_monitor.h"
#include "core/timer_queue.h"
#include "wingproxy/policy.h"

namespace wingproxy::core {

/// Owned by `FrontState`; its other components hold references to it.
struct ReducerContext {
    /// \param startedAt microseconds since the Unix epoch
    ReducerContext(const Settings& settings, const AttemptLimits& limits, Micros startedAt);

    /// Passes an event to the policy, which returns its actions at the end of the batch.
    void notifyPolicy(const Event& event);
    /// Appends an effect of the input that is being handled.
    void emit(Effect effect);

    Settings settings;
    AttemptLimits limits;
    Micros now;  ///< of the input that is being handled; never falls
    Policy policy;
    bool policyPending = true;  ///< the policy may have actions to return; at the start, its first ones
    TimerQueue timers;
    Counters counters;
    SlowStartMonitor slowStart{settings};
    Effects effects;  ///< of the input that is being handled
};

}  // namespace wingproxy::core
