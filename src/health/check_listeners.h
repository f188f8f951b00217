/// \file
/// The listeners for health checks of load balancers: liveness and readiness over HTTP, and HAProxy's agent
/// check. Each session manager owns its listener and connections; the caller owns the session manager.
#pragma once

#include <functional>
#include <memory>

#include "health/gateway_status.h"
#include "net/session.h"

namespace wingproxy::health {

/// Returns the current status. Called for each check, on the thread of the `io_context`.
using StatusSource = std::function<GatewayStatus()>;

/// Binds the listener of the agent check: each connection gets one line and is closed. See agent_check.h.
/// \param source must be callable as long as the session manager exists
std::unique_ptr<net::SessionManager> makeAgentCheckListener(boost::asio::io_context& io,
                                                            const config::Endpoint& address,
                                                            StatusSource source);

/// Binds the listener of the HTTP health checks: each connection gets one response and is closed.
/// See http_check.h.
/// \param source must be callable as long as the session manager exists
std::unique_ptr<net::SessionManager> makeHttpCheckListener(boost::asio::io_context& io,
                                                           const config::Endpoint& address,
                                                           StatusSource source);

}  // namespace wingproxy::health
