/// \file
/// The reply to HAProxy's agent check, a line that sets the state and the weight of a server (HAProxy
/// configuration manual, "agent-check"). Pure rendering; no I/O.
#pragma once

#include <string>

#include "health/gateway_status.h"

namespace wingproxy::health {

/// Renders the line that the agent sends on each connection:
/// - "drain": a graceful shutdown has started
/// - "down": not ready
/// - "ready up 80%": ends an earlier drain, and sets the weight to the unused share of the capacity, at least
///   1%
std::string renderAgentLine(const GatewayStatus& status);

}  // namespace wingproxy::health
