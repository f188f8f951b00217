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
    /// \param cluster says which nodes accept requests
    /// \param leases says whether a volume has tokens; all three must outlive the object
    RetryPolicy(const Context& context, ClusterView& cluster, LeaseAllocator& leases)
        : context_(context), cluster_(cluster), leases_(leases) {}

    /// The one guard before every send.
    [[nodiscard]] bool maySend(const PendingRequest& request, NodeIndex node);
    /// Whether another attempt may be made now or later, after one has ended.
    [[nodiscard]] bool mayRetry(const PendingRequest& request) const;
    /// Whether another attempt would be allowed, should the outstanding one be lost.
    [[nodiscard]] bool mayRetryIfLost(const PendingRequest& request) const;
    /// The one guard before every rejection, which says to the client that nothing ran.
    [[nodiscard]] static bool mayReject(const PendingRequest& request);

    // -- what happened
    /// A request arrived: it adds to the retry budget, and to the order of its key.
    void onReceived(const PendingRequest& request) {
        if (context_.settings.retryWindowUs > 0) budget_.requests.record(context_.now);
        if (isOrdered(request)) keys_.add(request.info().key, request.id());
    }
    /// A request is about to be sent; its own count of attempts does not have this one yet. Any but the first
    /// is charged to the retry budget.
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
    /// A request has its final answer: the next one of its key may follow once its attempts have ended.
    void onFinished(const PendingRequest& request) {
        if (isOrdered(request))
            keys_.remove(request.info().key, request.id(), request.outstanding(), context_.now);
    }
    /// Forgets keys that no request and no pause needs; to be called now and then.
    void forgetIdleKeys() { keys_.forgetIdle(context_.now); }

    /// Number of keys whose order is kept, for `Policy::tableEntries`.
    [[nodiscard]] std::size_t orderedKeys() const { return keys_.size(); }
    /// The retry budget, for the snapshot.
    struct State {
        EventWindow requests;
        EventWindow retries;
    };
    /// For the snapshot; the order of keys belongs to the open requests, which stay with this process.
    [[nodiscard]] const State& state() const { return budget_; }
    /// Takes over the budget of a predecessor process.
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
