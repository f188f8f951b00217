#include "policy/attempt_tracker.h"

#include <algorithm>
#include <set>

namespace wingproxy {
namespace {

// An answer counts as lost when the node has answered a later request and the attempt is older than both
// kLostObjectiveFraction of the shortest latency objective, which leaves time for another attempt, and
// kLostLatencies of the node's usual latency.
constexpr double kLostObjectiveFraction = 0.5;
constexpr double kLostLatencies = 4;
// If the node has answered nothing later, its health is checked when the attempt is older than that by this
// factor. The check queues at the node as a request does.
constexpr double kHealthCheckFactor = 1.5;
constexpr double kRejectionObjectives = 2;  // wait reported for a node that rejects, in latency objectives
constexpr double kMinReportedTicks = 0.01;  // so that a measured wait is never reported as none

}  // namespace

bool AttemptTracker::countsForNode(const AttemptOutcome& event, bool heldSlot) {
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
    // A quick error says nothing about a node's latency: counted as an answer, it would attract all new
    // objects to the node.
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
    // The report may come back at once as an aggregate, which also sets `updatedAt`.
    const LatencyEstimate& estimate = node.concurrency().estimate();
    const Micros updatedBefore = estimate.updatedAt;
    const double wait = double(elapsed) - estimate.floor.value() * units;
    gossip_.reportCell(cell, std::max(wait, kMinReportedTicks * double(kTickInterval)));
    node.concurrency().onAnswer({double(elapsed), units, node.outstanding(), updatedBefore},
                                cluster_.conditionsOf(node));
}

AttemptTracker::AnswerState AttemptTracker::answerState(const PendingRequest& request,
                                                        const Node& node) const {
    const double age = double(context_.now - request.sentAt());
    const double usualLatency = node.concurrency().estimate().usualLatency(request.units());
    const double lostAfter =
        std::max(kLostObjectiveFraction * context_.latencyObjective, kLostLatencies * usualLatency);
    if (node.outliers().hasAnsweredNewerThan(request.sentAt(), usualLatency))
        return age > lostAfter ? AnswerState::Lost : AnswerState::Pending;
    const bool needsCheck =
        age > kHealthCheckFactor * lostAfter && !node.outliers().wasCheckedSince(request.sentAt());
    return needsCheck ? AnswerState::NeedsHealthCheck : AnswerState::Pending;
}

void AttemptTracker::cancelLostAttempts(const RequestTable& requests) {
    std::map<std::uint64_t, CancelAttempt> lost;  // by order of arrival
    std::set<NodeIndex> nodesToCheck;
    for (const auto& [id, request] : requests.all()) {
        if (request.outstanding() != 1 || request.isStreaming() || request.isBodyIncomplete() ||
            request.isNodeDone())
            continue;
        const auto& [attempt, index] = *request.nodeByAttempt().begin();
        const AnswerState state = answerState(request, cluster_.node(index));
        if (state == AnswerState::NeedsHealthCheck) nodesToCheck.insert(index);
        if (state == AnswerState::Lost && (request.isFinished() || retries_.mayRetryIfLost(request)))
            lost.emplace(request.sequence(), CancelAttempt{id, attempt});
    }
    for (const auto& [sequence, cancel] : lost)
        context_.emit(cancel);
    for (const NodeIndex index : nodesToCheck)
        checkHealth(index);
}

}  // namespace wingproxy
