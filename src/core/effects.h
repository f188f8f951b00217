/// \file
/// The effects of the reducer: what is to be done outside. Those that the policy orders and the reducer
/// passes on are the policy's own action types.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::core {

struct StartAttempt {
    static constexpr Micros kNever = INT64_MAX;

    RequestId id = 0;
    int attempt = 0;
    std::string node;
    Micros firstByteBy = 0;  ///< after this time no byte may be written
    Micros timeoutAt = 0;    ///< kept by the reducer
    Micros lastByteBy =
        kNever;  ///< after this time the last byte may not be written; kept by the reducer too
};

/// Closes the attempt's connection; the attempt reports nothing more.
struct StopAttempt {
    RequestId id = 0;
    int attempt = 0;
};

/// The final answer is this attempt's response.
struct DeliverResponse {
    RequestId id = 0;
    int attempt = 0;
};

/// The final answer is that nothing ran and the client may try again.
struct SendRejection {
    RequestId id = 0;
    Micros retryAfterUs = 0;
};

/// The final answer is that the request failed.
struct SendFailure {
    RequestId id = 0;
};

using Effect = std::variant<StartAttempt, StopAttempt, DeliverResponse, SendRejection, SendFailure,
                            SendPeerMessage, WatchEndpointList, StartHealthCheck, LogLine>;
using Effects = std::vector<Effect>;

}  // namespace wingproxy::core
