/// \file
/// Sends attempts to nodes, evaluates their outcomes, and cancels those whose answers are lost.
#pragma once

#include "policy/gossip.h"
#include "policy/lease_allocator.h"
#include "policy/request_table.h"
#include "policy/retry_policy.h"

namespace wingproxy {

/// Counts the attempts at each node, and updates the node's limits and gossip with their outcomes.
class AttemptTracker {
public:
    /// All parameters must outlive the object.
    /// \param retries charges retries to the retry budget
    AttemptTracker(Context& context, ClusterView& cluster, Gossip& gossip, RetryPolicy& retries)
        : context_(context), cluster_(cluster), gossip_(gossip), retries_(retries) {}

    /// Sends a request to a node. `RetryPolicy::maySend` must have allowed it in this batch.
    void send(PendingRequest& request, NodeIndex index) {
        Node& node = cluster_.node(index);
        const double units = request.units();
        if (!request.hasTokens()) LeaseAllocator::spend(request.volume(), units);
        request.onTokensSpent();
        if (cluster_.isSuspect(node)) node.outliers().onTrialSent(context_.now);
        node.onAttemptSent(!request.isBodyIncomplete(), context_.now);
        cluster_.onUnitsSent(node, units);
        retries_.onSent(request);
        request.onSent(index, context_.now);
        const Micros lastByteBy = request.mayHaveRun() ? request.repeatableUntil() : 0;
        context_.emit(ForwardRequest{request.id(), node.info().id, 0, lastByteBy});
    }
    /// Whether an outcome says anything about its node.
    /// \param heldSlot whether the body was complete and the node had not finished its work; otherwise an
    ///        answer or an error was counted before, or came for a part of the body
    [[nodiscard]] static bool countsForNode(const AttemptOutcome& event, bool heldSlot);
    /// An attempt ended, or its node has finished its work.
    /// \param units size of its request
    /// \param elapsed microseconds since it was sent
    void onOutcome(Node& node, double units, Micros elapsed, Outcome outcome);
    /// A request body is complete: from now on its attempts hold slots at their nodes.
    void onBodyCompleted(const PendingRequest& request) {
        for (const auto& [attempt, index] : request.nodeByAttempt()) {
            Node& node = cluster_.node(index);
            node.onAttemptSent(true, context_.now);
            // Counted again, as a node accepts a request when its last byte arrives.
            cluster_.onUnitsSent(node, request.units());
        }
    }
    /// Cancels attempts whose answers are lost, which frees their slots and leaves time for another attempt.
    /// Checks the health of nodes where it is uncertain whether the answer is lost. To be called each tick,
    /// if the deployment allows cancelling.
    void cancelLostAttempts(const RequestTable& requests);

private:
    /// State of the answer that an outstanding attempt waits for.
    enum class AnswerState {
        Pending,           ///< may still come
        NeedsHealthCheck,  ///< late, and no health check has been sent since the attempt
        Lost,
    };
    void onFailure(Node& node, Micros sentAt, Outcome outcome);
    void onAnswer(Node& node, double units, Micros elapsed);
    [[nodiscard]] AnswerState answerState(const PendingRequest& request, const Node& node) const;
    void checkHealth(NodeIndex index) {
        Node& node = cluster_.node(index);
        if (!context_.settings.mayCheckHealth || !node.isReady()) return;
        node.outliers().onHealthCheckSent(context_.now);
        context_.emit(StartHealthCheck{node.info().id});
    }

    Context& context_;
    ClusterView& cluster_;
    Gossip& gossip_;
    RetryPolicy& retries_;
};

}  // namespace wingproxy
