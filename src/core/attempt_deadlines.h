/// \file
/// Computes the deadlines of an attempt: for writing the first and the last byte of its request, and for its
/// response. A pure function of what is known when the attempt starts.
#pragma once

#include <optional>

#include "wingproxy/policy.h"

namespace wingproxy::core {

/// Limits that apply to every attempt. The engine copies them from `Settings`.
struct AttemptLimits {
    Micros connectTimeoutUs = 250'000;  ///< time to establish a connection; after it the attempt has failed
};

/// The deadlines of one attempt, as points in time.
struct AttemptDeadlines {
    Micros firstByteBy = 0;  ///< the first byte of the request must be written by then
    Micros timeoutAt = 0;    ///< the attempt must have ended by then
    Micros lastByteBy = 0;   ///< the last byte must reach the node by then; `StartAttempt::kNever`: no limit
};

/// State of the request and the node that determines an attempt's deadlines, besides the configuration.
struct AttemptConditions {
    Micros requestDeadline = 0;  ///< `bodyTimeout()` while the body is still being forwarded
    /// When this host first read that the node is draining; empty if it is not.
    std::optional<Micros> drainingSince;
};

/// When the attempts of a request are stopped whose body is still being forwarded.
/// \param bodyDeadline `InFlightRequest::bodyDeadlineUs`
Micros bodyTimeout(Micros bodyDeadline, Micros now);

/// Computes the deadlines of an attempt that starts at `now`.
/// \param action the policy's action, which may set tighter limits
/// \param drainGrace how long a node accepts requests after its drain was announced, in microseconds; 0: no
///        such rule
AttemptDeadlines attemptDeadlines(const ForwardRequest& action, const AttemptConditions& conditions,
                                  Micros drainGrace, const AttemptLimits& limits, Micros now);

}  // namespace wingproxy::core
