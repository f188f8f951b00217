/// \file
/// Formats the counters as log lines, which are written on SIGUSR1 and after the shutdown. Each line is
/// defined in one place, as names with their values, so that no name can be paired with another counter's
/// value. docs/operations.md explains the names.
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

/// The value of a metric; a text must be a string literal.
using MetricValue = std::variant<std::uint64_t, bool, std::string_view>;

/// A value and its name in the log line; the name must be a string literal.
struct Metric {
    std::string_view name;
    MetricValue value;
};

/// One log line: the metrics of one part of the program, in the order of the line.
struct MetricGroup {
    std::string_view name;
    std::vector<Metric> metrics;
};

/// Connections of one listener. The lines "rsync" and "admin" have the first two, the line "http" has all.
struct ConnectionMetrics {
    std::uint64_t accepted = 0;
    std::uint64_t open = 0;
    std::uint64_t evictions = 0;  ///< connections closed in favour of a new client
    /// Disconnects that were noticed while nothing was read from the client.
    std::uint64_t detectedDisconnects = 0;
};
/// The current values of a listener's counters.
[[nodiscard]] ConnectionMetrics connectionMetrics(const net::SessionManager& sessions);

/// Sizes of the reducer's tables. None of them may grow over the day.
struct TableMetrics {
    std::uint64_t entries = 0;
    std::uint64_t nodes = 0;         ///< on the endpoint list
    std::uint64_t avoided = 0;       ///< nodes on the list that get no new requests
    std::uint64_t adminDrained = 0;  ///< nodes that an operator has drained
};

/// Connections to nodes.
struct NodePoolMetrics {
    std::uint64_t open = 0;
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
};

/// The line "requests": requests received and answered, summed over all classes.
/// \param openRequests requests without their final answer
[[nodiscard]] MetricGroup describeRequests(const core::Counters& counters, std::uint64_t openRequests);
/// The line "answers_without_node": requests rejected or failed without a node's response, by reason.
[[nodiscard]] MetricGroup describeAnswerReasons(const core::Counters& counters);
/// The line "slow_start": what this host sent to nodes that are warming up.
[[nodiscard]] MetricGroup describeSlowStart(const core::SlowStartCounters& counters);
/// The line "attempts": attempts started, by outcome.
[[nodiscard]] MetricGroup describeAttempts(const core::Counters& counters);
/// The line "http": clients of the HTTP front, its responses, and the requests and connections that it
/// rejected or closed.
[[nodiscard]] MetricGroup describeHttp(const http::Front::Counters& counters,
                                       const ConnectionMetrics& connections);
/// The line "rsync": clients of the rsync front and how their transfers ended.
[[nodiscard]] MetricGroup describeRsync(const rsync::Front::Counters& counters,
                                        const ConnectionMetrics& connections);
/// The line "nodes": connections of the HTTP front to nodes.
[[nodiscard]] MetricGroup describeNodePool(const NodePoolMetrics& pool);
/// The line "discovery": requests for the endpoint list, by result.
[[nodiscard]] MetricGroup describeDiscovery(const net::DiscoveryClient::Counters& counters);
/// The line "tables": sizes of the reducer's tables.
[[nodiscard]] MetricGroup describeTables(const TableMetrics& tables);
/// The line "admin": operators' requests, by result.
[[nodiscard]] MetricGroup describeAdmin(const admin::AdminServer::Counters& counters,
                                        const ConnectionMetrics& connections);
/// The line "hot_restart": snapshots and overrides files.
[[nodiscard]] MetricGroup describeHotRestart(const hot_restart::HotRestart::Counters& counters);
/// The line "fleet": how this host recovered after its start, and which restarts of peers it observed.
/// \param now Unix microseconds
[[nodiscard]] MetricGroup describeFleet(const fleet::RestartRecovery& recovery, Micros now);
/// The line "reloads": reads of the configuration on SIGHUP, by result.
[[nodiscard]] MetricGroup describeReloads(const ConfigReload::Counters& counters);
/// The line "peers": datagrams between the hosts.
[[nodiscard]] MetricGroup describePeers(const net::PeerTransport::Counters& counters);

/// "counters GROUP: NAME=VALUE NAME=VALUE ..."
[[nodiscard]] std::string formatLine(const MetricGroup& group);

}  // namespace wingproxy::app
