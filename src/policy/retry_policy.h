/// \file
/// Decides whether a request may be sent to a node, retried, or rejected.
#pragma once

#include "policy/cluster_view.h"
#include "policy/event_window.h"
#include "policy/key_order.h"
#include "policy/lease_allocator.h"
#include "policy/pending_request.h"

namespace wingproxy {

/// Applies the rules on idempotency, draining nodes, slow start, limits, key order and the retry budget. Owns
/// the retry budget and the key order.
class RetryPolicy {
public:
    /// \param cluster tells which nodes accept requests
    /// \param leases tells whether a volume has tokens; all three must outlive the object
    RetryPolicy(const Context& context, ClusterView& cluster, LeaseAllocator& leases)
        : context_(context), cluster_(cluster), leases_(leases) {}

    /// Whether the request may be sent to the node now. Must be checked before every send.
    [[nodiscard]] bool maySend(const PendingRequest& request, NodeIndex node);
    /// Whether another attempt may be made, now or later, after one has ended.
    [[nodiscard]] bool mayRetry(const PendingRequest& request) const;
    /// Whether another attempt would be allowed if the outstanding one is lost.
    [[nodiscard]] bool mayRetryIfLost(const PendingRequest& request) const;
    /// Whether the request may be rejected. The client may send a rejected request again, so either nothing
    /// ran or running it twice is safe. Must be checked before every rejection.
    [[nodiscard]] static bool mayReject(const PendingRequest& request);

    // -- events
    /// A request arrived: adds to the retry budget, and appends the request to the order of its key.
    void onReceived(const PendingRequest& request) {
        if (context_.settings.retryWindowUs > 0) budget_.requests.record(context_.now);
        if (isOrdered(request)) keys_.add(request.info().key, request.id());
    }
    /// A request is about to be sent; its own attempt count does not include this one yet. Every attempt
    /// after the first is charged to the retry budget.
    void onSent(const PendingRequest& request) {
        if (request.attempts() > 0 && context_.settings.retryWindowUs > 0)
            budget_.retries.record(context_.now);
    }
    /// An attempt ended; the request's own counts already include that.
    void onAttemptEnded(const PendingRequest& request, Outcome outcome) {
        if (!isOrdered(request)) return;
        const std::string& key = request.info().key;
        if (outcome == Outcome::Timeout || outcome == Outcome::Reset || outcome == Outcome::Cancelled)
            keys_.pause(key, context_.now + context_.settings.keyCooldownUs,
                        request.isFinished() ? 0 : request.id());
        if (request.isFinished()) keys_.onAbandonedAttemptEnded(key);
    }
    /// A request has its final answer: the next one with its key may be sent once its attempts have ended.
    void onFinished(const PendingRequest& request) {
        if (isOrdered(request))
            keys_.remove(request.info().key, request.id(), request.outstanding(), context_.now);
    }
    /// Removes keys without requests, attempts and pause; must be called periodically.
    void forgetIdleKeys() { keys_.forgetIdle(context_.now); }

    /// Number of keys whose order is kept, for `Policy::tableEntries`.
    [[nodiscard]] std::size_t orderedKeys() const { return keys_.size(); }
    /// The retry budget, for the snapshot.
    struct State {
        EventWindow requests;
        EventWindow retries;
    };
    /// For the snapshot. The key order is not part of it, as open requests stay with this process.
    [[nodiscard]] const State& state() const { return budget_; }
    /// Restores the budget of a predecessor process.
    void restore(State state) { budget_ = std::move(state); }

private:
    [[nodiscard]] static bool isOrdered(const PendingRequest& request) {
        return request.classInfo() && request.classInfo()->fifoByKey && !request.info().key.empty();
    }
    [[nodiscard]] bool isRepeatable(const PendingRequest& request) const;
    [[nodiscard]] bool knowsKey(const PendingRequest& request, const NodeInfo& node) const;
    [[nodiscard]] bool isInRetryBudget();

    const Context& context_;
    ClusterView& cluster_;
    LeaseAllocator& leases_;
    KeyOrder keys_;
    State budget_;
};

}  // namespace wingproxy
