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
#include "net/discovery_client.h"
#include "net/node_pool.h"
#include "net/peer_transport.h"
#include "rsync/front.h"

namespace wingproxy::app {

/// One value of a line; texts are literals.
using MetricValue = std::variant<std::uint64_t, bool, std::string_view>;

/// A value under the name that it has in its line; the name is a literal.
struct Metric {
    std::string_view name;
    MetricValue value;
};

/// One log line: the counters of one part of the program, in their order.
struct MetricGroup {
    std::string_view name;
    std::vector<Metric> metrics;
};

/// Connections of one listener. The lines of rsync and of the admin server have the first two, that of HTTP
/// has all.
struct ConnectionMetrics {
    std::uint64_t accepted = 0;
    std::uint64_t open = 0;
    std::uint64_t closedIdle = 0;
    std::uint64_t hungUp = 0;  ///< clients whose leaving was noticed while their bytes were not read
};
/// The counters of this listener as they are now.
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

/// The line "requests": received and answered ones, all classes together.
/// \param openRequests without their final answer
[[nodiscard]] MetricGroup describeRequests(const core::Counters& counters, std::uint64_t openRequests);
/// The line "answers_without_node": requests rejected or failed without a node's response, by reason.
[[nodiscard]] MetricGroup describeAnswerReasons(const core::Counters& counters);
/// The line "slow_start": what this host sent to nodes that are warming up.
[[nodiscard]] MetricGroup describeSlowStart(const core::SlowStartCounters& counters);
/// The line "attempts": those started, by outcome.
[[nodiscard]] MetricGroup describeAttempts(const core::Counters& counters);
/// The line "http": clients of the HTTP front, its answers, and what it refused or closed by itself.
[[nodiscard]] MetricGroup describeHttp(const http::Front::Counters& counters,
                                       const ConnectionMetrics& connections);
/// The line "rsync": clients of the rsync front and how their transfers ended.
[[nodiscard]] MetricGroup describeRsync(const rsync::Front::Counters& counters,
                                        const ConnectionMetrics& connections);
/// The line "nodes": connections of the HTTP front to nodes.
[[nodiscard]] MetricGroup describeNodePool(const NodePoolMetrics& pool);
/// The line "discovery": requests for the endpoint list, by result.
[[nodiscard]] MetricGroup describeDiscovery(const net::DiscoveryClient::Counters& counters);
/// The line "tables": sizes, which must not grow over the day.
[[nodiscard]] MetricGroup describeTables(const TableMetrics& tables);
/// The line "admin": operators' requests, by result.
[[nodiscard]] MetricGroup describeAdmin(const admin::AdminServer::Counters& counters,
                                        const ConnectionMetrics& connections);
/// The line "hot_restart": snapshots and overrides files.
[[nodiscard]] MetricGroup describeHotRestart(const hot_restart::HotRestart::Counters& counters);
/// The line "fleet": how this host recovered after its start, and what it saw of its peers' restarts.
/// \param now Unix microseconds
[[nodiscard]] MetricGroup describeFleet(const fleet::RestartRecovery& recovery, Micros now);
/// The line "reloads": reads of the configuration on SIGHUP, by result.
[[nodiscard]] MetricGroup describeReloads(const ConfigReload::Counters& counters);
/// The line "peers": datagrams between the hosts.
[[nodiscard]] MetricGroup describePeers(const net::PeerTransport::Counters& counters);

/// "counters GROUP: NAME=VALUE NAME=VALUE ..."
[[nodiscard]] std::string formatLine(const MetricGroup& group);

}  // namespace wingproxy::app
