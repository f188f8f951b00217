/// \file
/// The inputs of the reducer: what happened outside. Those that concern the policy alone are its own event
/// types.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::core {

/// An attempt ended at its node or on the way there.
struct AttemptFinished {
    RequestId id = 0;
    int attempt = 0;
    Outcome outcome = Outcome::Ok;
    double loadPercent = 0;
    double loadElsewhere = 0;
    std::vector<double> loadReport;
    bool requestSpent = false;  ///< the bytes of the request are gone: no other attempt can have them
};

/// The last byte of the request is with the attempt's node.
struct AttemptRequestSent {
    RequestId id = 0;
    int attempt = 0;
};

/// The node's response began and is not whole: the node has done its work.
struct ResponseHeadReceived {
    RequestId id = 0;
    int attempt = 0;
};

/// The node's response began to reach the client.
struct ResponseForwardingStarted {
    RequestId id = 0;
    int attempt = 0;
    bool unbounded = false;  ///< no deadline from here on: the node has done its work, only bytes follow
};

struct ClientDisconnected {
    RequestId id = 0;
};

/// An operator's order about one node; stands above every endpoint list until a newer order.
struct AdminOverride {
    bool drained = true;
    Micros at = 0;
    auto operator<=>(const AdminOverride&) const = default;
};
/// The newest order for each node id.
using AdminOverrides = std::map<std::string, AdminOverride, std::less<>>;
struct AdminOverrideChanged {
    std::string node;
    AdminOverride order;
};

/// The time that `State::nextWake` named has come.
struct TimerExpired {};

/// All that was ready in this turn of the event loop has been put in: the policy decides now.
struct BatchEnded {};

using Input = std::variant<RequestReceived, RequestBodyCompleted, AttemptFinished, AttemptRequestSent,
                           ResponseHeadReceived, ResponseForwardingStarted, ClientDisconnected,
                           ShutdownStarted, CapacityNeeded, EndpointListReceived, AdminOverrideChanged,
                           PeerMessageReceived, HealthCheckCompleted, TimerExpired, BatchEnded>;

}  // namespace wingproxy::core
