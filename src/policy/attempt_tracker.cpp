#include "policy/attempt_tracker.h"

#include <algorithm>
#include <set>

namespace wingproxy {
namespace {

// An answer is lost when the node has answered what was sent later, and this part of the shortest objective
// is over, so that another attempt is in time, and this multiple of what it takes there.
constexpr double kLostObjectivePart = 0.5;
constexpr double kLostLatencies = 4;
// So much older, where the node got nothing later, its health is checked: a check waits there as a request
// does.
constexpr double kHealthCheckFactor = 1.5;
constexpr double kRejectionObjectives = 2;  // reported as the wait at a node that rejects
constexpr double kMinReportedTicks = 0.01;  // a wait that was measured is never reported as none

}  // namespace

bool AttemptTracker::isNodeEvidence(const AttemptOutcome& event, bool heldSlot) {
    if (event.outcome == Outcome::NotStarted) return false;
    if (heldSlot) return !event.requestSpent || event.outcome != Outcome::Rejected;
    return event.outcome != Outcome::Ok && event.outcome != Outcome::Error;
}

void AttemptTracker::onOutcome(Node& node, double units, Micros elapsed, Outcome outcome) {
    const Micros sentAt = context_.now - elapsed;
    if (outcome != Outcome::Ok && outcome != Outcome::Error) {
        onFailure(node, sentAt, outcome);
        return;
    }
    node.outliers().onAnswer(outcome == Outcome::Error, sentAt, context_.now);
    // A quick error says nothing of a node's latency: as an answer it would draw all new objects to the node.
    if (outcome == Outcome::Ok) onAnswer(node, units, elapsed);
}

void AttemptTracker::onFailure(Node& node, Micros sentAt, Outcome outcome) {
    if (!node.outliers().onFailure(outcome, sentAt, context_.now)) return;
    node.concurrency().onFailure();
    // Silence is not reported as a wait, as the answer may have been lost.
    if (outcome == Outcome::Rejected || outcome == Outcome::ConnectFailed)
        gossip_.reportCell(cluster_.cell(node.info().cell), kRejectionObjectives * context_.latencyObjective);
}

void AttemptTracker::onAnswer(Node& node, double units, Micros elapsed) {
    const Cell& cell = cluster_.cell(node.info().cell);
    if (cluster_.isWarmingUp(node)) {
        node.slowStart().onCompleted(units, context_.now);
        cell.usage->onSlowStartCompleted(units);
    }
    // The report may come back at once as an aggregate, which counts as an update too.
    const LatencyEstimate& estimate = node.concurrency().estimate();
    const Micros updatedBefore = estimate.updatedAt;
    const double wait = double(elapsed) - estimate.floor.value() * units;
    gossip_.reportCell(cell, std::max(wait, kMinReportedTicks * double(kTickInterval)));
    node.concurrency().onAnswer({double(elapsed), units, node.outstanding(), updatedBefore},
                                cluster_.conditionsOf(node));
}

AttemptTracker::Verdict AttemptTracker::judge(const PendingRequest& request, const Node& node) const {
    const double age = double(context_.now - request.sentAt());
    const double usual = node.concurrency().estimate().usualLatency(request.units());
    const double patience = std::max(kLostObjectivePart * context_.latencyObjective, kLostLatencies * usual);
    if (node.outliers().answeredLaterThan(request.sentAt(), usual))
        return age > patience ? Verdict::Lost : Verdict::Waiting;
    const bool checks =
        age > kHealthCheckFactor * patience && !node.outliers().wasCheckedSince(request.sentAt());
    return checks ? Verdict::Unsure : Verdict::Waiting;
}

void AttemptTracker::cancelLost(const RequestTable& requests) {
    std::map<std::uint64_t, CancelAttempt> lost;  // by order of arrival
    std::set<NodeIndex> unsure;
    for (const auto& [id, request] : requests.all()) {
        if (request.outstanding() != 1 || request.isStreaming() || request.isBodyIncomplete() ||
            request.isNodeDone())
            continue;
        const auto& [attempt, index] = *request.nodeByAttempt().begin();
        const Verdict verdict = judge(request, cluster_.node(index));
        if (verdict == Verdict::Unsure) unsure.insert(index);
        if (verdict == Verdict::Lost && (request.isFinished() || retries_.mayRepeatLost(request)))
            lost.emplace(request.sequence(), CancelAttempt{id, attempt});
    }
    for (const auto& [sequence, cancel] : lost)
        context_.emit(cancel);
    for (const NodeIndex index : unsure)
        checkHealth(index);
}

}  // namespace wingproxy
