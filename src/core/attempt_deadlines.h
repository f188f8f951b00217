/// \file
/// By when an attempt must have written its first and its last byte, and by when it must have a response.
/// A pure function of what is known when the attempt starts.
#pragma once

#include <optional>

#include "wingproxy/policy.h"

namespace wingproxy::core {

/// What the deployment limits besides the policy's settings.
struct AttemptLimits {
    Micros connectTimeoutUs = 250'000;  ///< a connection that is not established by then has failed
};

/// Points in time of one attempt; `StartAttempt::kNever` where one has no limit.
struct AttemptDeadlines {
    Micros firstByteBy = 0;
    Micros timeoutAt = 0;
    Micros lastByteBy = 0;
};

/// What the deadlines of one attempt depend on besides the configuration.
struct AttemptConditions {
    Micros requestDeadline = 0;
    bool bodyIncomplete = false;  ///< the request's body is still coming: its deadline is not fixed yet
    /// When it was read that the node drains; nothing where it does not.
    std::optional<Micros> drainingSince;
};

/// \param order the policy's order, with its own limits
/// \param drainGrace how long after its drain was announced a node accepts requests, in microseconds; 0: no
///        such rule
AttemptDeadlines attemptDeadlines(const ForwardRequest& order, const AttemptConditions& conditions,
                                  Micros drainGrace, const AttemptLimits& limits, Micros now);

}  // namespace wingproxy::core
