/// \file
/// The effects of the reducer: what is to be done outside, as value types without behaviour. Actions of the
/// policy that the reducer only passes on are the policy's own types (wingproxy/policy.h).
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::core {

/// Sends the request to a node. The caller writes no byte after the times that concern writing; the reducer
/// itself stops the attempt at `timeoutAt` and at `lastByteBy`.
struct StartAttempt {
    static constexpr Micros kNever = INT64_MAX;  ///< a point in time that does not come

    RequestId id = 0;
    AttemptIndex attempt{0};
    std::string node;
    Micros firstByteBy = 0;      ///< after this time the first byte must not be written
    Micros timeoutAt = 0;        ///< the attempt is stopped if it has not ended by then
    Micros lastByteBy = kNever;  ///< the attempt is stopped if its last byte is not written by then
};

/// Closes the attempt's connection; the attempt reports nothing more.
struct StopAttempt {
    RequestId id = 0;
    AttemptIndex attempt{0};
};

/// The final answer is this attempt's response.
struct DeliverResponse {
    RequestId id = 0;
    AttemptIndex attempt{0};
};

/// The final answer is that nothing ran and the client may try again.
struct SendRejection {
    RequestId id = 0;
    Micros retryAfterUs = 0;
    AnswerReason reason = AnswerReason::Unknown;
};

/// The final answer is that the request failed.
struct SendFailure {
    RequestId id = 0;
    AnswerReason reason = AnswerReason::Unknown;
};

/// Any effect of the reducer.
using Effect = std::variant<StartAttempt, StopAttempt, DeliverResponse, SendRejection, SendFailure,
                            SendPeerMessage, WatchEndpointList, StartHealthCheck, LogLine>;
/// What is to be done, in this order.
using Effects = std::vector<Effect>;

}  // namespace wingproxy::core
