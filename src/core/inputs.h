/// \file
/// The inputs of the reducer: what happened outside it, as plain value types. Inputs that the policy
/// gets unchanged are its own event types (wingproxy/policy.h).
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::core {

/// The time by which a request whose body is still being forwarded must have its final answer has become
/// known or has changed. Its attempts are stopped then.
struct BodyDeadlineChanged {
    static constexpr Micros kNone = INT64_MAX;  ///< the client is still sending: there is no deadline yet

    RequestId id = 0;
    Micros deadlineUs = kNone;
};

/// An attempt ended, at its node or before it reached the node.
struct AttemptFinished {
    RequestId id = 0;
    AttemptIndex attempt{0};
    Outcome outcome = Outcome::Ok;
    double loadPercent = 0;          ///< the node's load, as it reports it
    double loadElsewhere = 0;        ///< units per second that other hosts send to the node, as it reports
    std::vector<double> loadReport;  ///< one value per `Settings::reportColumns`; empty: no report
    bool requestSpent = false;       ///< the request's bytes are gone: no other attempt can send them
    bool undelivered = false;        ///< it was stopped by `StopUndeliveredAttempt`
};

/// The last byte of the request was given to the system for sending. The node may not have it yet.
struct AttemptRequestSent {
    RequestId id = 0;
    AttemptIndex attempt{0};
};

/// The head of the node's response arrived and its body is still arriving: the node has done its work.
struct ResponseHeadReceived {
    RequestId id = 0;
    AttemptIndex attempt{0};
};

/// The first bytes of the node's response were sent to the client.
struct ResponseForwardingStarted {
    RequestId id = 0;
    AttemptIndex attempt{0};
    /// No deadline applies any more: the node has done its work, and only bytes follow.
    bool unbounded = false;
};

/// The client closed its connection before it got its final answer.
struct ClientDisconnected {
    RequestId id = 0;
};

/// An operator's override of the state of one node. It takes precedence over every endpoint list until a
/// newer override.
struct AdminOverride {
    bool drained = true;  ///< the node is under an administrative drain; false: that drain was ended
    Micros at = 0;        ///< when the operator gave it; of two overrides the later one applies
    /// Compares all fields. Meant for equality: which of two overrides applies depends on `at` alone.
    auto operator<=>(const AdminOverride&) const = default;
};
/// The newest override by node id.
using AdminOverrides = std::map<std::string, AdminOverride, std::less<>>;
/// An operator set an override, at this process or at another one of the same front.
struct AdminOverrideChanged {
    std::string node;
    AdminOverride newOverride;
};

/// The time returned by `FrontState::nextWake` was reached.
struct TimerExpired {};

/// All inputs that were ready in this iteration of the event loop were handled: the policy decides now.
struct BatchEnded {};

/// Any input of the reducer.
using Input =
    std::variant<RequestReceived, RequestBodyCompleted, BodyDeadlineChanged, AttemptFinished,
                 AttemptRequestSent, ResponseHeadReceived, ResponseForwardingStarted, ClientDisconnected,
                 ShutdownStarted, CapacityNeeded, EndpointListReceived, AdminOverrideChanged,
                 PeerMessageReceived, HealthCheckCompleted, TimerExpired, BatchEnded>;

}  // namespace wingproxy::core
