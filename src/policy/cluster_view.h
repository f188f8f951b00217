/// \file
/// The nodes and cells that discovery lists, the polling of that list, and the latency, concurrency and slow
/// start that currently apply to each node.
#pragma once

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "policy/context.h"
#include "policy/node_table.h"
#include "policy/peer_message.h"

namespace wingproxy {

/// Owns the table of nodes and cells, and updates it from the endpoint lists.
class ClusterView {
public:
    /// Both must outlive the object. The first call to discovery is delayed by a random part of
    /// `watchSpread()`.
    ClusterView(Context& context, UsageTable& usage);

    // -- endpoint list
    /// Applies an endpoint list. A delta changes only the nodes that it names; any other list replaces the
    /// previous one.
    /// \return the listed nodes whose process is new; what was learnt about an earlier process is discarded
    std::vector<NodeInfo> apply(const EndpointList& list);
    /// The call to discovery failed: schedules another one after a backoff.
    void onListUnavailable();
    /// Calls discovery if a call is due; to be called each tick.
    void renewWatch();
    /// Forgets nodes that were not listed for `period`, or for the slow start window if that is longer. Nodes
    /// with outstanding attempts are kept.
    /// \param pinned nodes to keep because an open request may have to be repeated there, or within the scope
    ///        of its idempotency key around them
    void forgetUnlisted(Micros period, const std::set<NodeIndex>& pinned) {
        table_.forgetUnlisted(std::max(period, context_.settings.slowStartWindowUs), pinned, context_.now);
    }

    // -- tables
    /// The node with this index, which must not have been forgotten.
    [[nodiscard]] Node& node(NodeIndex index) { return table_.node(index); }
    /// As above, read-only.
    [[nodiscard]] const Node& node(NodeIndex index) const { return table_.node(index); }
    /// The node with this id, listed or remembered; null if there is none.
    [[nodiscard]] Node* findNode(const std::string& id) { return table_.find(id); }
    /// Number of nodes that are listed or remembered.
    [[nodiscard]] std::size_t nodeCount() const { return table_.nodeCount(); }
    /// The cell with this number; marks it as in use.
    const Cell& cell(CellIndex number) { return table_.cell(number); }
    /// All cells by number; some may not be in use yet.
    [[nodiscard]] const std::vector<Cell>& cells() const { return table_.cells(); }
    /// One more than the highest cell number.
    [[nodiscard]] int cellCount() const { return int(table_.cells().size()); }
    /// Number of this host's attempts that hold a slot at a node of the cell.
    [[nodiscard]] int outstandingIn(const Cell& cell) const { return table_.outstandingIn(cell); }
    /// All nodes and cells, for the snapshot.
    [[nodiscard]] NodeTable::State state() const { return table_.state(); }
    /// Restores a predecessor's state; the usage table must have been restored before. Discovery is called at
    /// the next tick.
    void restore(NodeTable::State state) {
        table_.restore(std::move(state));
        nextWatchAt_ = 0;
        watchBackoff_ = 0;
    }

    // -- state of a node
    /// Whether it may get new requests. A draining node still gets them for a part of its grace period if its
    /// cell has no ready node.
    [[nodiscard]] bool acceptsRequests(const Node& node) const;
    /// Whether its process started less than `Settings::slowStartDurationUs` ago.
    [[nodiscard]] bool isWarmingUp(const Node& node) const {
        return node.startedAt() > 0 &&
               context_.now - node.startedAt() < context_.settings.slowStartDurationUs;
    }
    /// Whether slow start allows one more request of `units`; always true for a node that is warm. Once a
    /// successor process has taken over, this one sends nothing to a node that is warming up.
    [[nodiscard]] bool slowStartAdmits(const Node& node, double units) const;
    /// Whether it is ejected or silent, so that it gets only trial requests.
    [[nodiscard]] bool isSuspect(const Node& node) const {
        return node.outliers().isSuspect(node.outstanding(), node.concurrency().estimate().latency,
                                         context_.now);
    }
    /// Microseconds between two trial requests to a suspect node.
    [[nodiscard]] Micros trialInterval() const { return OutlierDetector::trialInterval(context_.settings); }
    /// Estimated latency of a request of mean size, in microseconds.
    [[nodiscard]] double expectedLatency(const Node& node) const {
        return node.concurrency().expectedLatency(context_.now, context_.latencyObjective);
    }
    /// Number of this host's attempts that may be outstanding there.
    [[nodiscard]] double attemptsAllowed(const Node& node) const {
        return node.concurrency().attemptsAllowed(conditionsOf(node));
    }
    /// Units a second that this host may expect from it.
    [[nodiscard]] double unitsPerSecond(const Node& node) const {
        return node.concurrency().unitsPerSecond(conditionsOf(node));
    }
    /// The inputs with which its concurrency limit is evaluated now.
    [[nodiscard]] ConcurrencyLimit::Conditions conditionsOf(const Node& node) const {
        const bool hasCell = node.info().cell.isBelow(cellCount());
        const KeyUsage* usage = hasCell ? cells()[node.info().cell.position()].usage : nullptr;
        return {context_.now, context_.latencyObjective, usage ? usage_.ownShare(*usage) : 1,
                startingHosts()};
    }
    /// Number of hosts that may be starting now, this one included: all of them until `kRateTimeConstant`
    /// after the start of this one, since the hosts of a fleet often start together; 1 later, when the demand
    /// of the others is known as far as they report it.
    [[nodiscard]] int startingHosts() const {
        const bool isStarted = context_.now - context_.startedAt >= kRateTimeConstant;
        return isStarted ? 1 : std::max(context_.settings.hostCount, 1);
    }
    /// Number of listed nodes that are not ready, or are suspect and were inactive for `kRateTimeConstant`
    /// (`OutlierDetector::wasActiveWithin`).
    [[nodiscard]] std::size_t avoidedNodes() const {
        const auto isAvoided = [&](const Node& node) {
            const bool isActive = node.outliers().wasActiveWithin(kRateTimeConstant, context_.now);
            return node.isListed() && (!node.isReady() || (isSuspect(node) && !isActive));
        };
        return std::size_t(std::count_if(table_.nodes().begin(), table_.nodes().end(), isAvoided));
    }

    // -- events
    /// `units` were sent to a node, or the body of a request of that size is complete there. Also counted
    /// while the node is warm, as its process may already have been replaced.
    void onUnitsSent(Node& node, double units) {
        const Settings& settings = context_.settings;
        if (settings.slowStartWindowUs <= 0) return;
        node.slowStart().onSent(units, slowStartHostWindow(settings), context_.now);
    }
    /// A peer reported how long requests wait in a cell, in microseconds.
    void onWaitReported(CellIndex cell, double waitUs) {
        for (const NodeIndex index : cells().at(cell.position()).nodes)
            node(index).concurrency().onWaitReported(waitUs, context_.now);
    }

private:
    /// Applies one entry of a list.
    /// \param drainIsNew whether a drain in this entry counts as just announced; it may be older after a
    ///        failed call to discovery
    /// \return whether the node's process is new
    bool applyNode(const NodeInfo& info, bool drainIsNew);
    [[nodiscard]] NodeStart startOf(const NodeInfo& info) const;
    [[nodiscard]] SlowStartConditions slowStartConditions(const Node& node) const;
    [[nodiscard]] Micros watchSpread() const;
    // A pseudo-random part of `span`, determined by the seed and the current time.
    [[nodiscard]] Micros jitter(Micros span) const {
        return Micros(double(span) *
                      peer::hashToFraction(context_.settings.seed + std::uint64_t(context_.now)));
    }

    Context& context_;
    UsageTable& usage_;
    NodeTable table_;
    Micros nextWatchAt_ = 0;
    Micros watchBackoff_ = 0;   // 0: the last call to discovery succeeded
    Micros listedAt_ = kNever;  // last list that discovery itself sent, not a cached one
};

}  // namespace wingproxy
