#include "policy/dispatcher.h"

#include <algorithm>

namespace wingproxy {
namespace {

// Waits in microseconds, longer than any real one.
constexpr double kNoNodeWait = 1e15;      // of a cell without a ready node
constexpr double kLastResortWait = 1e12;  // added for a node that is suspect, or that slow start excludes
constexpr double kSuspectWaitFactor = 100;
// Coprime to usual cell counts, so that the search for each new object's cell starts at another one.
constexpr std::uint64_t kCellStride = 7;

}  // namespace

CellIndex Dispatcher::cellForNewObject(double units) {
    const std::size_t cells = std::size_t(cluster_.cellCount());
    if (cells == 0) return CellIndex(0);
    const std::size_t host = context_.settings.hostIndex.position();
    LeastWait<CellIndex> best{CellIndex::ofPosition((nextSequence_ + host) % cells), kNoNodeWait};
    for (std::size_t k = 0; k < cells; ++k) {  // starts elsewhere each time: equal cells share
        const auto number = CellIndex::ofPosition((k + nextSequence_ * kCellStride + host) % cells);
        const double unitsAhead = queues_.of(number).units();
        for (const NodeIndex index : cluster_.cells()[number.position()].nodes) {
            Node& node = cluster_.node(index);
            if (node.isReady()) best.offer(number, waitForNewObject(node, unitsAhead, units));
        }
    }
    return best.choice;
}

double Dispatcher::waitForNewObject(Node& node, double unitsAhead, double units) const {
    const double allowed = cluster_.attemptsAllowed(node);
    const double excess = std::max(0.0, node.outstanding() + 1 - allowed) / allowed;
    double wait =
        cluster_.expectedLatency(node) * (1 + excess) + unitsAhead * 1e6 / cluster_.unitsPerSecond(node);
    // A request that fails there after it may have run can only be retried in the same cell.
    wait += node.outliers().errorPenalty(context_.latencyObjective, context_.now);
    // A node in slow start is left to the requests that only its cell can serve. One objective is added so
    // that hosts without an answer from it do not all choose it because it looks idle.
    if (cluster_.isWarmingUp(node))
        wait = wait / context_.settings.slowStartCapacity + context_.latencyObjective;
    if (cluster_.isSuspect(node) || !cluster_.slowStartAdmits(node, unitsAhead + units))
        wait += kLastResortWait;
    return wait;
}

bool Dispatcher::maySendNow(const PendingRequest& request, NodeIndex index) const {
    const Node& node = cluster_.node(index);
    if (!cluster_.acceptsRequests(node)) return false;
    if (cluster_.isSuspect(node)) {
        if (!node.outliers().admitsTrial(cluster_.trialInterval(), context_.now)) return false;
    } else if (node.outstanding() > 0 && node.outstanding() + 1 > cluster_.attemptsAllowed(node)) {
        return false;
    }
    return cluster_.expectedLatency(node) <= admission_.maxLatency(request) &&
           retries_.maySend(request, index);
}

NodeIndex Dispatcher::chooseNode(const PendingRequest& request, const Cell& cell) const {
    LeastWait<NodeIndex> best;
    for (const NodeIndex index : cell.nodes) {
        if (!maySendNow(request, index)) continue;
        const Node& node = cluster_.node(index);
        const double factor = cluster_.isSuspect(node) ? kSuspectWaitFactor : 1;
        const double latency = cluster_.expectedLatency(node);
        best.offer(index, latency * (node.outstanding() + 1) / cluster_.attemptsAllowed(node) * factor);
    }
    return best.choice;
}

AnswerReason Dispatcher::holdReason(const PendingRequest& request) const {
    const std::vector<NodeIndex>& nodes = cluster_.cells()[request.cell().position()].nodes;
    const auto isAny = [&](const auto& property) {
        return std::any_of(nodes.begin(), nodes.end(), [&](NodeIndex index) {
            Node& node = cluster_.node(index);
            return cluster_.acceptsRequests(node) && property(node);
        });
    };
    const auto admits = [&](Node& node) { return cluster_.slowStartAdmits(node, request.units()); };
    const auto hasSlot = [&](const Node& node) {
        return !cluster_.isSuspect(node) &&
               (node.outstanding() == 0 || node.outstanding() + 1 <= cluster_.attemptsAllowed(node));
    };
    if (!isAny([](const Node&) { return true; })) return AnswerReason::NoNode;
    if (request.needsTokens() && request.volume().limit().tokens() < request.units())
        return AnswerReason::NoTokens;
    if (!isAny(admits)) return AnswerReason::SlowStart;
    if (!isAny([&](Node& node) { return admits(node) && hasSlot(node); })) return AnswerReason::NodeBusy;
    return AnswerReason::TooSlow;
}

bool Dispatcher::sendNext(CellIndex number) {
    const Cell& cell = cluster_.cell(number);
    for (const auto& [key, request] : queues_.of(number).entries()) {
        const NodeIndex node = chooseNode(*request, cell);
        if (node.isNone()) continue;
        PendingRequest& chosen = *request;  // `request` refers to the queue's entry, which dequeue erases
        dequeue(chosen);
        attempts_.send(chosen, node);
        return true;
    }
    return false;
}

}  // namespace wingproxy
