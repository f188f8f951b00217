/// \file
/// Sends attempts to nodes, learns from how they end, and finds those whose answers are lost.
#pragma once

#include "policy/gossip.h"
#include "policy/lease_allocator.h"
#include "policy/request_table.h"
#include "policy/retry_policy.h"

namespace wingproxy {

/// Keeps the counts of attempts at nodes, and passes what they show to the node's limits and to gossip.
class AttemptTracker {
public:
    /// \param retries charges retries to the retry budget; all four must outlive the object
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
    /// Whether an outcome says anything of its node.
    /// \param heldSlot whether its body was complete and its node had not answered: else an answer or an
    /// error
    ///        was counted before, or came for a part of the body
    [[nodiscard]] static bool isNodeEvidence(const AttemptOutcome& event, bool heldSlot);
    /// An attempt ended, or its node has done its work.
    /// \param units of its request
    /// \param elapsed since it was sent, in microseconds
    void onOutcome(Node& node, double units, Micros elapsed, Outcome outcome);
    /// A request body is complete: from now on its attempts hold slots at their nodes.
    void onBodyCompleted(const PendingRequest& request) {
        for (const auto& [attempt, index] : request.nodeByAttempt()) {
            Node& node = cluster_.node(index);
            node.onAttemptSent(true, context_.now);
            cluster_.onUnitsSent(node, request.units());  // a node takes a request in with its last byte
        }
    }
    /// Cancels attempts whose answers are lost, so that their slots are free and the time that is left goes
    /// to another attempt. Checks the health of nodes where that is not sure. To be called each tick, if the
    /// deployment allows cancelling.
    void cancelLost(const RequestTable& requests);

private:
    /// What is believed of an attempt without an answer.
    enum class Verdict { Waiting, Unsure, Lost };
    void onFailure(Node& node, Micros sentAt, Outcome outcome);
    void onAnswer(Node& node, double units, Micros elapsed);
    [[nodiscard]] Verdict judge(const PendingRequest& request, const Node& node) const;
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
