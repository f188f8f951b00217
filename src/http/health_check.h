/// \file
/// Health checks of nodes: one request for the node's load report.
#pragma once

#include <string>

#include "config/config.h"
#include "net/engine.h"
#include "net/node_pool.h"

namespace wingproxy::http {

/// Sends GET /metrics/load and gives the outcome to the engine as HealthCheckCompleted, exactly once.
///
/// \param engine, pool have to outlive the check
/// \param node the id on the endpoint list
/// \param address where it listens
void startHealthCheck(net::Engine& engine, net::NodePool& pool, const std::string& node,
                      const config::Endpoint& address);

}  // namespace wingproxy::http
