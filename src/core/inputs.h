/// \file
/// The inputs of the reducer: what happened outside, as value types without behaviour. Inputs that concern
/// the policy alone are its own event types (wingproxy/policy.h).
#pragma once

#include <compare>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::core {

/// An attempt ended at its node, or on the way there.
struct AttemptFinished {
    RequestId id = 0;
    AttemptIndex attempt{0};
    Outcome outcome = Outcome::Ok;
    double loadPercent = 0;          ///< how busy the node reports to be
    double loadElsewhere = 0;        ///< units a second that other hosts send to the node, as it reports
    std::vector<double> loadReport;  ///< the fields of Settings::reportColumns; empty: none came
    bool requestSpent = false;       ///< the request's bytes are gone, so that no other attempt can send them
};

/// The last byte of the request was sent to the attempt's node.
struct AttemptRequestSent {
    RequestId id = 0;
    AttemptIndex attempt{0};
};

/// The head of the node's response arrived while its body is still coming: the node has done its work.
struct ResponseHeadReceived {
    RequestId id = 0;
    AttemptIndex attempt{0};
};

/// The first bytes of the node's response went to the client.
struct ResponseForwardingStarted {
    RequestId id = 0;
    AttemptIndex attempt{0};
    bool unbounded = false;  ///< no deadline applies any more: the node has done its work, only bytes follow
};

/// The client closed its connection before it had its final answer.
struct ClientDisconnected {
    RequestId id = 0;
};

/// An operator's order about one node. It takes precedence over every endpoint list until a newer order.
struct AdminOverride {
    bool drained = true;  ///< under an administrative drain; false: that drain was ended
    Micros at = 0;        ///< when it was given; of two orders the later one counts
    /// Field by field, for equality; which of two orders counts is decided by `at`.
    auto operator<=>(const AdminOverride&) const = default;
};
/// The newest order for each node id.
using AdminOverrides = std::map<std::string, AdminOverride, std::less<>>;
/// An operator gave an order, here or at another process of this front.
struct AdminOverrideChanged {
    std::string node;
    AdminOverride order;
};

/// The time that `FrontState::nextWake` named has come.
struct TimerExpired {};

/// All inputs that were ready in this turn of the event loop have been put in: the policy decides now.
struct BatchEnded {};

/// Any input of the reducer.
using Input = std::variant<RequestReceived, RequestBodyCompleted, AttemptFinished, AttemptRequestSent,
                           ResponseHeadReceived, ResponseForwardingStarted, ClientDisconnected,
                           ShutdownStarted, CapacityNeeded, EndpointListReceived, AdminOverrideChanged,
                           PeerMessageReceived, HealthCheckCompleted, TimerExpired, BatchEnded>;

}  // namespace wingproxy::core
