/// \file
/// The state of the gateway that health checks report. A value type; it owns nothing.
#pragma once

namespace wingproxy::health {

/// What a load balancer needs to decide whether to route traffic to this gateway, and how much.
struct GatewayStatus {
    bool ready = false;     ///< the endpoint list has at least one node
    bool draining = false;  ///< a graceful shutdown has started: the gateway should get no new traffic
    /// Client connections in use divided by their limit: 1 is full; may exceed 1.
    double utilization = 0;
};

}  // namespace wingproxy::health
