/// \file
/// Health checks of nodes: each requests the node's load report.
#pragma once

#include <string>

#include "config/config.h"
#include "net/engine.h"
#include "net/node_pool.h"

namespace wingproxy::http {

/// Sends GET /metrics/load and reports the outcome to the engine as HealthCheckCompleted, exactly once.
///
/// \param engine, pool have to outlive the check
/// \param node the node's id in the endpoint list
/// \param address where the node listens
void startHealthCheck(net::Engine& engine, net::NodePool& pool, const std::string& node,
                      const config::Endpoint& address);

}  // namespace wingproxy::http
