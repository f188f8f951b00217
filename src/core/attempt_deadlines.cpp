#include "core/attempt_deadlines.h"

#include <algorithm>

#include "core/effects.h"

namespace wingproxy::core {
namespace {

/// Fraction of the drain grace within which an attempt must write its first byte. The other half covers a
/// drain that has been announced but that this host has not read yet.
constexpr double kUnreadDrainGraceFraction = 0.5;
/// Fraction of the drain grace, counted from when the drain was read, within which a node that is known to be
/// draining still gets requests.
constexpr double kKnownDrainGraceFraction = 0.8;
/// Longest time that an attempt runs while the request's body is still arriving. Only a backstop: the front
/// itself ends a request whose body arrives, or is taken by the node, too slowly.
constexpr Micros kMaxBodyDuration = 3'600'000'000;

Micros timeoutOf(const ForwardRequest& action, const AttemptConditions& conditions, Micros now) {
    if (action.timeoutUs == 0) return conditions.requestDeadline;
    return std::min(conditions.requestDeadline, now + std::max<Micros>(0, action.timeoutUs));
}

Micros firstByteBudget(const std::optional<Micros>& drainingSince, Micros drainGrace,
                       const AttemptLimits& limits, Micros now) {
    Micros budget = limits.connectTimeoutUs;
    if (drainGrace > 0) budget = std::min(budget, Micros(kUnreadDrainGraceFraction * double(drainGrace)));
    if (drainingSince) {
        const Micros lastStart = *drainingSince + Micros(kKnownDrainGraceFraction * double(drainGrace));
        budget = std::min(budget, lastStart - now);
    }
    return budget;
}

}  // namespace

Micros bodyTimeout(Micros bodyDeadline, Micros now) { return std::min(bodyDeadline, now + kMaxBodyDuration); }

AttemptDeadlines attemptDeadlines(const ForwardRequest& action, const AttemptConditions& conditions,
                                  Micros drainGrace, const AttemptLimits& limits, Micros now) {
    AttemptDeadlines deadlines;
    deadlines.lastByteBy = action.lastByteByUs > 0 ? action.lastByteByUs : StartAttempt::kNever;
    deadlines.timeoutAt = timeoutOf(action, conditions, now);
    const Micros budget = firstByteBudget(conditions.drainingSince, drainGrace, limits, now);
    deadlines.firstByteBy = std::min(now + budget, deadlines.lastByteBy);
    return deadlines;
}

}  // namespace wingproxy::core
