/// \file
/// The state of the gateway that health checks report. A value type; it owns nothing.
#pragma once

namespace wingproxy::health {

/// What a load balancer needs to know to route traffic to this gateway.
struct GatewayStatus {
    bool ready = false;     ///< the endpoint list names at least one node, and requests are admitted
    bool draining = false;  ///< a graceful shutdown has started: no new traffic should come
    /// Client connections in use, as a part of their capacity: 1 is full, above 1 overfull.
    double utilization = 0;
};

}  // namespace wingproxy::health
