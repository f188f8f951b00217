/// \file
/// The nodes and cells that discovery lists, the watch of that list, and what may be expected of each node
/// now.
#pragma once

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "policy/context.h"
#include "policy/node_table.h"
#include "policy/peer_message.h"

namespace wingproxy {

/// Owns the table of nodes and cells, and keeps it as the endpoint list says.
class ClusterView {
public:
    /// Both must outlive the object. The first call to discovery is due after a part of the spread over
    /// hosts.
    ClusterView(Context& context, UsageTable& usage);

    // -- endpoint list
    /// Takes an endpoint list over. Lists but for deltas replace the one before.
    /// \return the nodes on it whose process is new: nothing that was learnt of an earlier one holds
    std::vector<NodeInfo> apply(const EndpointList& list);
    /// The call to discovery failed: it is repeated after a backoff.
    void onListUnavailable();
    /// Calls discovery where that is due; to be called each tick.
    void renewWatch();
    /// Forgets nodes that were not listed for `period`, but for those in use.
    /// \param pinned nodes near which an open request may have to be repeated
    void forgetUnlisted(Micros period, const std::set<NodeIndex>& pinned) {
        table_.forgetUnlisted(std::max(period, context_.settings.slowStartWindowUs), pinned, context_.now);
    }

    // -- tables
    /// The node of this index, which must not be forgotten yet.
    [[nodiscard]] Node& node(NodeIndex index) { return table_.node(index); }
    /// As above, to read.
    [[nodiscard]] const Node& node(NodeIndex index) const { return table_.node(index); }
    /// The node of this id, listed or remembered; null if there is none.
    [[nodiscard]] Node* findNode(const std::string& id) { return table_.find(id); }
    /// Nodes that are listed or remembered.
    [[nodiscard]] std::size_t nodeCount() const { return table_.namedNodes(); }
    /// The cell of this number, in use from now on.
    const Cell& cell(CellIndex number) { return table_.cell(number); }
    /// All cells by number; some may not be in use yet.
    [[nodiscard]] const std::vector<Cell>& cells() const { return table_.cells(); }
    /// One more than the highest number of a cell.
    [[nodiscard]] int cellCount() const { return int(table_.cells().size()); }
    /// Attempts of this host that hold a slot at a node of the cell.
    [[nodiscard]] int outstandingIn(const Cell& cell) const { return table_.outstandingIn(cell); }
    /// For the snapshot.
    [[nodiscard]] NodeTable::State state() const { return table_.state(); }
    /// Takes a state over; the usage table must have been restored before. Discovery is called at once.
    void restore(NodeTable::State state) {
        table_.restore(std::move(state));
        nextWatchAt_ = 0;
        watchBackoff_ = 0;
    }

    // -- what may be expected of a node
    /// Whether it may get new requests. A draining node serves on for a part of its grace where its cell has
    /// no other.
    [[nodiscard]] bool acceptsRequests(const Node& node) const;
    /// Whether its process started less than `Settings::slowStartDurationUs` ago.
    [[nodiscard]] bool isWarmingUp(const Node& node) const {
        return node.startedAt() > 0 &&
               context_.now - node.startedAt() < context_.settings.slowStartDurationUs;
    }
    /// Whether slow start allows one more request of `units`; always true for a node that is warm.
    [[nodiscard]] bool slowStartAdmits(const Node& node, double units) const;
    /// Whether it was ejected or is silent, so that it gets trial requests only.
    [[nodiscard]] bool isSuspect(const Node& node) const {
        return node.outliers().isSuspect(node.outstanding(), node.concurrency().estimate().latency,
                                         context_.now);
    }
    /// Time between two trial requests to a suspect.
    [[nodiscard]] Micros trialInterval() const { return OutlierDetector::trialInterval(context_.settings); }
    /// Microseconds that an answer of mean size takes, as far as is known.
    [[nodiscard]] double expectedLatency(const Node& node) const {
        return node.concurrency().expectedLatency(context_.now, context_.latencyObjective);
    }
    /// Attempts of this host that may be outstanding there.
    [[nodiscard]] double attemptsAllowed(const Node& node) const {
        return node.concurrency().attemptsAllowed(conditionsOf(node));
    }
    /// Units a second that this host may expect from it.
    [[nodiscard]] double unitsPerSecond(const Node& node) const {
        return node.concurrency().unitsPerSecond(conditionsOf(node));
    }
    /// What its concurrency limit is read against now.
    [[nodiscard]] ConcurrencyLimit::Conditions conditionsOf(const Node& node) const {
        const bool hasCell = node.info().cell.isBelow(cellCount());
        const KeyUsage* usage = hasCell ? cells()[node.info().cell.position()].usage : nullptr;
        return {context_.now, context_.latencyObjective, usage ? usage_.ownShare(*usage) : 1, beginners()};
    }
    /// Hosts that may all have begun just now. All hosts of a fleet often start together; some time later the
    /// demand of the others is known, as far as they tell it.
    [[nodiscard]] int beginners() const {
        const bool hasBegun = context_.now - context_.startedAt >= kRateMemory;
        return hasBegun ? 1 : std::max(context_.settings.hostCount, 1);
    }
    /// Listed nodes that get no requests, or only trial ones.
    [[nodiscard]] std::size_t avoidedNodes() const {
        const auto isAvoided = [&](const Node& node) {
            const bool inUse = node.outliers().wasUsedWithin(kRateMemory, context_.now);
            return node.isListed() && (!node.isReady() || (isSuspect(node) && !inUse));
        };
        return std::size_t(std::count_if(table_.nodes().begin(), table_.nodes().end(), isAvoided));
    }

    // -- what happened
    /// A node is sent `units`, or the body of such a request is complete there. Counted while it is warm too:
    /// its process may have been replaced already.
    void onUnitsSent(Node& node, double units) {
        const Settings& settings = context_.settings;
        if (settings.slowStartWindowUs <= 0) return;
        node.slowStart().onSent(units, slowStartHostWindow(settings), context_.now);
    }
    /// A peer reported how long requests wait in a cell.
    void onWaitReported(CellIndex cell, double waitUs) {
        for (const NodeIndex index : cells().at(cell.position()).nodes)
            node(index).concurrency().onWaitReported(waitUs, context_.now);
    }

private:
    /// Takes over one entry of a list. \return whether the node's process is new
    bool applyNode(const NodeInfo& info, bool drainIsNew);
    [[nodiscard]] NodeStart startOf(const NodeInfo& info) const;
    [[nodiscard]] SlowStartConditions slowStartConditions(const Node& node) const;
    [[nodiscard]] Micros watchSpread() const;
    // A part of the span that is the same for the same seed and time.
    [[nodiscard]] Micros jitter(Micros span) const {
        return Micros(double(span) * peer::fractionOf(context_.settings.seed + std::uint64_t(context_.now)));
    }

    Context& context_;
    UsageTable& usage_;
    NodeTable table_;
    Micros nextWatchAt_ = 0;
    Micros watchBackoff_ = 0;   // 0: the last call to discovery succeeded
    Micros listedAt_ = kNever;  // when the last endpoint list came that discovery gave to this process
};

}  // namespace wingproxy
