#include "app/metrics_snapshot.h"

namespace wingproxy::app {
namespace {

NodePoolMetrics nodePoolMetrics(const net::NodePool& pool) {
    return {pool.openConnections(), pool.opened(), pool.reused()};
}

TableMetrics tableMetrics(const net::Engine& engine) {
    return {engine.tableEntries(), engine.nodeCount(), engine.avoidedNodes(), engine.adminDrainedNodes()};
}

}  // namespace

std::vector<MetricGroup> collectMetrics(const MetricsSources& sources) {
    const net::Engine& engine = sources.engine;
    std::vector<MetricGroup> groups{
        describeRequests(engine.counters(), engine.openRequests()),
        describeAnswerReasons(engine.counters()),
        describeAttempts(engine.counters()),
        describeSlowStart(engine.slowStartCounters()),
        describeHttp(sources.http.counters(), connectionMetrics(sources.http.sessionManager())),
    };
    if (auto* rsync = sources.rsync)
        groups.push_back(describeRsync(rsync->counters(), connectionMetrics(rsync->sessionManager())));
    groups.push_back(describeNodePool(nodePoolMetrics(sources.httpNodes)));
    groups.push_back(describeDiscovery(sources.discovery.counters()));
    groups.push_back(describeTables(tableMetrics(engine)));
    if (auto* admin = sources.admin)
        groups.push_back(describeAdmin(admin->counters(), connectionMetrics(admin->sessionManager())));
    if (sources.hotRestart) groups.push_back(describeHotRestart(sources.hotRestart->counters()));
    groups.push_back(describeFleet(engine.recovery(), engine.now()));
    groups.push_back(describeReloads(sources.reload.counters()));
    groups.push_back(describePeers(sources.peers.counters()));
    return groups;
}

}  // namespace wingproxy::app
