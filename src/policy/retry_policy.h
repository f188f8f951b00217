/// \file
/// The guards: whether a request may be sent to a node, retried, or rejected.
#pragma once

#include "policy/cluster_view.h"
#include "policy/event_window.h"
#include "policy/key_order.h"
#include "policy/lease_allocator.h"
#include "policy/pending_request.h"

namespace wingproxy {

/// Holds the rules on idempotency, draining nodes, slow start, limits, order of keys and the retry budget.
/// Owns the budget and the order of keys.
class RetryPolicy {
public:
    RetryPolicy(const Context& context, ClusterView& cluster, LeaseAllocator& leases)
        : context_(context), cluster_(cluster), leases_(leases) {}

    /// The one guard before every send.
    [[nodiscard]] bool maySend(const PendingRequest& request, NodeIndex node);
    /// Whether another attempt may be made now or later, after one has ended.
    [[nodiscard]] bool mayRetry(const PendingRequest& request) const;
    /// Whether another attempt would be allowed, should the outstanding one be lost.
    [[nodiscard]] bool mayRepeatLost(const PendingRequest& request) const;
    /// The one guard before every rejection, which says to the client that nothing ran.
    [[nodiscard]] static bool mayReject(const PendingRequest& request);

    // -- what happened
    void onReceived(const PendingRequest& request) {
        if (context_.settings.retryWindowUs > 0) budget_.requests.record(context_.now);
        if (isOrdered(request)) keys_.add(request.info().key, request.id());
    }
    void onSent(const PendingRequest& request) {
        if (request.attempts() > 0 && context_.settings.retryWindowUs > 0)
            budget_.retries.record(context_.now);
    }
    /// An attempt ended; the request's own counts are up to date.
    void onAttemptEnded(const PendingRequest& request, Outcome outcome) {
        if (!isOrdered(request)) return;
        const std::string& key = request.info().key;
        if (outcome == Outcome::Timeout || outcome == Outcome::Reset || outcome == Outcome::Cancelled)
            keys_.pause(key, context_.now + context_.settings.keyCooldownUs,
                        request.isFinished() ? 0 : request.id());
        if (request.isFinished()) keys_.onAbandonedAttemptEnded(key);
    }
    void onFinished(const PendingRequest& request) {
        if (isOrdered(request))
            keys_.remove(request.info().key, request.id(), request.outstanding(), context_.now);
    }
    void forgetIdleKeys() { keys_.forgetIdle(context_.now); }

    [[nodiscard]] std::size_t orderedKeys() const { return keys_.size(); }
    /// The retry budget, for the snapshot.
    struct State {
        EventWindow requests;
        EventWindow retries;
    };
    [[nodiscard]] const State& state() const { return budget_; }
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
