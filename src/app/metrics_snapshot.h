/// \file
/// Collects the current counters of all parts of the running gateway.
#pragma once

#include <vector>

#include "admin/admin_server.h"
#include "app/config_reload.h"
#include "app/metrics_report.h"
#include "hot_restart/hot_restart.h"
#include "http/front.h"
#include "net/discovery_client.h"
#include "net/engine.h"
#include "net/node_pool.h"
#include "net/peer_transport.h"
#include "rsync/front.h"

namespace wingproxy::app {

/// The parts that have counters. Owns nothing; the parts outlive each use.
struct MetricsSources {
    const net::Engine& engine;
    http::Front& http;
    rsync::Front* rsync;  ///< null: not configured
    const net::NodePool& httpNodes;
    const net::DiscoveryClient& discovery;
    admin::AdminServer* admin;                  ///< null: not configured
    const hot_restart::HotRestart* hotRestart;  ///< null: not enabled
    const ConfigReload& reload;
    const net::PeerTransport& peers;
};

/// The metrics of all parts that exist, in the order of the log lines.
[[nodiscard]] std::vector<MetricGroup> collectMetrics(const MetricsSources& sources);

}  // namespace wingproxy::app
