#include "core/attempt_deadlines.h"

#include <algorithm>

#include "core/effects.h"

namespace wingproxy::core {
namespace {

/// Part of the drain grace within which an attempt must write its first byte. The other half is for a drain
/// that was announced to this host but has not been read yet.
constexpr double kUnreadDrainGracePart = 0.5;
/// Part of the drain grace, from when the drain was read, within which a node known to drain gets requests.
constexpr double kKnownDrainGracePart = 0.8;
/// While a request's body is still on its way, its attempts run for so long at the most. The front itself
/// ends a body that comes too slowly; this is the backstop.
constexpr Micros kMaxBodyDuration = 3'600'000'000;

Micros timeoutOf(const ForwardRequest& order, const AttemptConditions& conditions, Micros now) {
    const Micros longest = conditions.bodyIncomplete ? now + kMaxBodyDuration : conditions.requestDeadline;
    if (order.timeoutUs == 0) return longest;
    return std::min(longest, now + std::max<Micros>(0, order.timeoutUs));
}

Micros firstByteBudget(const std::optional<Micros>& drainingSince, Micros drainGrace,
                       const AttemptLimits& limits, Micros now) {
    Micros budget = limits.connectTimeoutUs;
    if (drainGrace > 0) budget = std::min(budget, Micros(kUnreadDrainGracePart * double(drainGrace)));
    if (drainingSince) {
        const Micros lastStart = *drainingSince + Micros(kKnownDrainGracePart * double(drainGrace));
        budget = std::min(budget, lastStart - now);
    }
    return budget;
}

}  // namespace

AttemptDeadlines attemptDeadlines(const ForwardRequest& order, const AttemptConditions& conditions,
                                  Micros drainGrace, const AttemptLimits& limits, Micros now) {
    AttemptDeadlines deadlines;
    deadlines.lastByteBy = order.lastByteByUs > 0 ? order.lastByteByUs : StartAttempt::kNever;
    deadlines.timeoutAt = timeoutOf(order, conditions, now);
    const Micros budget = firstByteBudget(conditions.drainingSince, drainGrace, limits, now);
    deadlines.firstByteBy = std::min(now + budget, deadlines.lastByteBy);
    return deadlines;
}

}  // namespace wingproxy::core
