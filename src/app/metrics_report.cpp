#include "app/metrics_report.h"

#include <fmt/format.h>

#include <iterator>

namespace wingproxy::app {
namespace {

std::uint64_t countOf(const core::Counters& counters, Outcome outcome) {
    return counters.outcomes[static_cast<std::size_t>(outcome)];
}

std::string_view nameOf(fleet::RestartRecovery::RecoveryCause cause) {
    using Cause = fleet::RestartRecovery::RecoveryCause;
    switch (cause) {
        case Cause::NotRecovered:
            return "nothing";
        case Cause::ShutdownNotice:
            return "shutdown_notice";
        case Cause::AllPeersReplied:
            return "all_peers";
        case Cause::LeaseExpired:
            return "lease_expired";
    }
    return "nothing";
}

}  // namespace

ConnectionMetrics connectionMetrics(const net::SessionManager& sessions) {
    return {sessions.accepted(), sessions.activeConnections(), sessions.evictions(),
            sessions.detectedDisconnects()};
}

MetricGroup describeRequests(const core::Counters& counters, std::uint64_t openRequests) {
    const core::ResponseCounts answers = counters.total();
    return {"requests",
            {{"taken", counters.received},
             {"delivered", answers.delivered},
             {"rejected", answers.rejected},
             {"failed", answers.failed},
             {"disconnected", counters.disconnected},
             {"deadline_exceeded", counters.deadlineExceeded},
             {"open", openRequests},
             {"cancelled_before_sent", counters.cancelledBeforeSent},
             {"last_byte_timeouts", counters.lastByteTimeouts},
             {"stopped_undelivered", counters.stoppedUndelivered}}};
}

MetricGroup describeAnswerReasons(const core::Counters& counters) {
    MetricGroup group{"answers_without_node", {}};
    for (std::size_t i = 0; i < counters.answerReasons.size(); ++i)
        group.metrics.push_back({describe(static_cast<AnswerReason>(i)), counters.answerReasons[i]});
    return group;
}

MetricGroup describeSlowStart(const core::SlowStartCounters& counters) {
    return {"slow_start",
            {{"started", counters.nodesStarted},
             {"warming_up", counters.nodesWarmingUp},
             {"attempts", counters.attempts},
             {"units_sent", counters.unitsSent},
             {"units_completed", counters.unitsCompleted},
             {"largest_window", counters.largestWindow},
             {"over_part", counters.nodesOverPart}}};
}

MetricGroup describeAttempts(const core::Counters& counters) {
    return {"attempts",
            {{"sent", counters.attempts},
             {"written", counters.requestsSent},
             {"ok", countOf(counters, Outcome::Ok)},
             {"error", countOf(counters, Outcome::Error)},
             {"rejected", countOf(counters, Outcome::Rejected)},
             {"timeout", countOf(counters, Outcome::Timeout)},
             {"connect_failed", countOf(counters, Outcome::ConnectFailed)},
             {"reset", countOf(counters, Outcome::Reset)},
             {"cancelled", countOf(counters, Outcome::Cancelled)},
             {"not_started", countOf(counters, Outcome::NotStarted)},
             {"late", counters.lateResults},
             {"batches", counters.batches}}};
}

MetricGroup describeHttp(const http::Front::Counters& counters, const ConnectionMetrics& connections) {
    return {"http",
            {{"connections", connections.accepted},
             {"open", connections.open},
             {"requests", counters.requests},
             {"ok", counters.ok},
             {"rejected", counters.rejected},
             {"failed", counters.failed},
             {"malformed", counters.malformed},
             {"too_large", counters.tooLarge},
             {"unsupported", counters.unsupported},
             {"closed_idle", connections.evictions},
             {"silent", counters.silent},
             {"slow", counters.slow},
             {"unread", counters.unread},
             {"repeated", counters.repeated},
             {"no_memory", counters.noMemory},
             {"capacity_rejections", counters.crowded},
             {"left_to_successor", counters.leftToSuccessor},
             {"disconnected", counters.disconnected},
             {"pipelined", counters.pipelined},
             {"hang_ups", connections.detectedDisconnects}}};
}

MetricGroup describeRsync(const rsync::Front::Counters& counters, const ConnectionMetrics& connections) {
    return {"rsync",
            {{"connections", connections.accepted},
             {"open", connections.open},
             {"transfers", counters.transfers},
             {"completed", counters.completed},
             {"rejected", counters.rejected},
             {"failed", counters.failed},
             {"disconnected", counters.disconnected},
             {"malformed", counters.malformed},
             {"listings", counters.listings}}};
}

MetricGroup describeNodePool(const NodePoolMetrics& pool) {
    return {"nodes", {{"connections", pool.open}, {"opened", pool.opened}, {"reused", pool.reused}}};
}

MetricGroup describeDiscovery(const net::DiscoveryClient::Counters& counters) {
    return {"discovery",
            {{"calls", counters.calls},
             {"answers", counters.answers},
             {"failed", counters.failed},
             {"malformed", counters.malformed},
             {"slow", counters.slow}}};
}

MetricGroup describeTables(const TableMetrics& tables) {
    return {"tables",
            {{"entries", tables.entries},
             {"nodes", tables.nodes},
             {"avoided", tables.avoided},
             {"admin_drained", tables.adminDrained}}};
}

MetricGroup describeAdmin(const admin::AdminServer::Counters& counters,
                          const ConnectionMetrics& connections) {
    return {"admin",
            {{"connections", connections.accepted},
             {"open", connections.open},
             {"executed", counters.executed},
             {"rejected", counters.rejected},
             {"malformed", counters.malformed},
             {"timed_out", counters.timedOut}}};
}

MetricGroup describeHotRestart(const hot_restart::HotRestart::Counters& counters) {
    return {"hot_restart",
            {{"restored", counters.restored},
             {"transferred", counters.transferred},
             {"rejected", counters.rejected},
             {"overrides_read", counters.overridesRead},
             {"write_failures", counters.writeFailures}}};
}

MetricGroup describeFleet(const fleet::RestartRecovery& recovery, Micros now) {
    const auto& counters = recovery.counters();
    const auto cause = recovery.isRecovered(now) ? recovery.recoveryCause()
                                                 : fleet::RestartRecovery::RecoveryCause::NotRecovered;
    return {"fleet",
            {{"recovered_by", nameOf(cause)},
             {"may_lend", recovery.mayLend(now)},
             {"new_incarnations", counters.newIncarnations},
             {"shutdown_notices", counters.storedNotices},
             {"stale", counters.stale},
             {"malformed", counters.malformed}}};
}

MetricGroup describeReloads(const ConfigReload::Counters& counters) {
    return {"reloads", {{"done", counters.applied}, {"bad", counters.rejected}}};
}

MetricGroup describePeers(const net::PeerTransport::Counters& counters) {
    return {"peers",
            {{"sent", counters.sent},
             {"received", counters.received},
             {"unsent", counters.unsent},
             {"unknown", counters.unknown},
             {"oversize", counters.oversize}}};
}

std::string formatLine(const MetricGroup& group) {
    std::string line = fmt::format("counters {}:", group.name);
    for (const Metric& metric : group.metrics) {
        const auto append = [&](const auto& value) {
            fmt::format_to(std::back_inserter(line), " {}={}", metric.name, value);
        };
        std::visit(append, metric.value);
    }
    return line;
}

}  // namespace wingproxy::app
