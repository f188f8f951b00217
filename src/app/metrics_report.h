/// \file
/// The counters' log lines, written on SIGUSR1 and at the end. Each line is described once, as names with
/// their values, so that no name can stand beside another counter's value. What the names mean is in
/// docs/operations.md.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admin/admin_server.h"
#include "app/config_reload.h"
#include "core/reducer.h"
#include "fleet/restart_recovery.h"
#include "hot_restart/hot_restart.h"
#include "http/front.h"
#include "net/discovery.h"
#include "net/node_pool.h"
#include "net/peers.h"
#include "rsync/front.h"

namespace wingproxy::app {

/// One value of a line; texts are literals.
using MetricValue = std::variant<std::uint64_t, bool, std::string_view>;

struct Metric {
    std::string_view name;
    MetricValue value;
};

/// One log line: the counters of one part of the program, in their order.
struct MetricGroup {
    std::string_view name;
    std::vector<Metric> metrics;
};

/// Connections of one listener, of which a line has the first two.
struct ConnectionMetrics {
    std::uint64_t accepted = 0;
    std::uint64_t open = 0;
    std::uint64_t closedIdle = 0;
    std::uint64_t hungUp = 0;  ///< clients whose leaving was noticed while their bytes were not read
};
[[nodiscard]] ConnectionMetrics connectionMetrics(const net::SessionManager& sessions);

/// Sizes of the reducer's tables; none of them grows over the day.
struct TableMetrics {
    std::uint64_t entries = 0;
    std::uint64_t nodes = 0;         ///< on the endpoint list
    std::uint64_t avoided = 0;       ///< of those, the ones that get nothing new
    std::uint64_t adminDrained = 0;  ///< by an operator's order
};

/// Connections to nodes.
struct NodePoolMetrics {
    std::uint64_t open = 0;
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
};

[[nodiscard]] MetricGroup describeRequests(const core::Counters& counters, std::uint64_t openRequests);
[[nodiscard]] MetricGroup describeAttempts(const core::Counters& counters);
[[nodiscard]] MetricGroup describeHttp(const http::Front::Counters& counters,
                                       const ConnectionMetrics& connections);
[[nodiscard]] MetricGroup describeRsync(const rsync::Front::Counters& counters,
                                        const ConnectionMetrics& connections);
[[nodiscard]] MetricGroup describeNodePool(const NodePoolMetrics& pool);
[[nodiscard]] MetricGroup describeDiscovery(const net::Discovery::Counters& counters);
[[nodiscard]] MetricGroup describeTables(const TableMetrics& tables);
[[nodiscard]] MetricGroup describeAdmin(const admin::AdminServer::Counters& counters,
                                        const ConnectionMetrics& connections);
[[nodiscard]] MetricGroup describeHotRestart(const hot_restart::HotRestart::Counters& counters);
/// \param now Unix microseconds
[[nodiscard]] MetricGroup describeFleet(const fleet::RestartRecovery& recovery, Micros now);
[[nodiscard]] MetricGroup describeReloads(const ConfigReload::Counters& counters);
[[nodiscard]] MetricGroup describePeers(const net::Peers::Counters& counters);

/// "counters GROUP: NAME=VALUE NAME=VALUE ..."
[[nodiscard]] std::string formatLine(const MetricGroup& group);

}  // namespace wingproxy::app
