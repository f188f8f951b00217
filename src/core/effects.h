/// \file
/// The effects of the reducer: what its caller must do, as plain value types. Actions of the policy that the
/// reducer passes on unchanged keep the policy's types (wingproxy/policy.h).
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::core {

/// Sends the request to a node. The caller enforces the two deadlines for writing; the reducer stops the
/// attempt at `timeoutAt` and, if its last byte has not reached the node, at `lastByteBy`.
struct StartAttempt {
    static constexpr Micros kNever = INT64_MAX;  ///< no deadline

    RequestId id = 0;
    AttemptIndex attempt{0};
    std::string node;
    Micros firstByteBy = 0;      ///< the first byte must not be written later
    Micros timeoutAt = 0;        ///< the attempt is stopped then if it has not ended
    Micros lastByteBy = kNever;  ///< the last byte must not reach the node later
};

/// Closes the attempt's connection. No further report of it is expected.
struct StopAttempt {
    RequestId id = 0;
    AttemptIndex attempt{0};
};

/// Stops the attempt if the node has not acknowledged its whole request. The system holds the rest and would
/// go on delivering it. The caller reports the attempt as finished with `outcome` if it stopped it; otherwise
/// nothing changes.
struct StopUndeliveredAttempt {
    RequestId id = 0;
    AttemptIndex attempt{0};
    Outcome outcome = Outcome::Reset;
};

/// Delivers this attempt's response to the client as the final answer.
struct DeliverResponse {
    RequestId id = 0;
    AttemptIndex attempt{0};
};

/// Answers that nothing ran and that the client may try again.
struct SendRejection {
    RequestId id = 0;
    Micros retryAfterUs = 0;  ///< how long the client should wait; 0: no advice
    AnswerReason reason = AnswerReason::Unknown;
};

/// Answers that the request failed; it may have run.
struct SendFailure {
    RequestId id = 0;
    AnswerReason reason = AnswerReason::Unknown;
};

/// Any effect of the reducer.
using Effect = std::variant<StartAttempt, StopAttempt, StopUndeliveredAttempt, DeliverResponse, SendRejection,
                            SendFailure, SendPeerMessage, WatchEndpointList, StartHealthCheck, LogLine>;
/// Effects in the order in which they must be carried out.
using Effects = std::vector<Effect>;

}  // namespace wingproxy::core
