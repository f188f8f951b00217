#include "policy/retry_policy.h"

#include "policy/key_scope.h"

namespace wingproxy {

bool RetryPolicy::maySend(const PendingRequest& request, NodeIndex index) {
    Node& node = cluster_.node(index);
    if (request.isFinished() || request.outstanding() > 0 || context_.now >= request.info().deadlineUs)
        return false;
    if (request.attempts() >= context_.settings.maxAttempts) return false;
    if (!isRepeatable(request) || (request.mayHaveRun() && !knowsKey(request, node.info()))) return false;
    if (!cluster_.acceptsRequests(node)) return false;
    if (request.info().cell.isSet() && request.info().cell != node.info().cell) return false;
    if (!cluster_.slowStartAdmits(node, request.units())) return false;
    if (request.needsTokens() && !leases_.hasTokens(request.volume(), request.units())) return false;
    if (isOrdered(request) && !keys_.isNext(request.info().key, request.id(), context_.now)) return false;
    return request.attempts() == 0 || isInRetryBudget();
}

bool RetryPolicy::isRepeatable(const PendingRequest& request) const {
    if (!request.mayHaveRun() || request.retrySafety() == RetrySafety::Idempotent) return true;
    return request.retrySafety() == RetrySafety::IdempotentWithKey &&
           context_.now < request.repeatableUntil();
}

// Whether the node recognises an idempotency key that the pinned node has seen.
bool RetryPolicy::knowsKey(const PendingRequest& request, const NodeInfo& node) const {
    if (request.retrySafety() != RetrySafety::IdempotentWithKey || request.pinnedNode().isNone()) return true;
    return isInScope(request.classInfo()->keyScope, cluster_.node(request.pinnedNode()).info(), node);
}

// A request that is exactly one window old no longer counts, but a retry of that age still does: at the
// boundary the stricter count applies.
bool RetryPolicy::isInRetryBudget() {
    const Settings& settings = context_.settings;
    if (settings.retryWindowUs <= 0) return true;
    const Micros windowStart = context_.now - settings.retryWindowUs;
    budget_.requests.dropBefore(windowStart + 1);
    budget_.retries.dropBefore(windowStart);
    return budget_.retries.count() + 1 <=
           settings.retryAllowance + settings.retryRatio * budget_.requests.count();
}

bool RetryPolicy::mayRetry(const PendingRequest& request) const {
    if (request.isStreaming() || request.attempts() >= context_.settings.maxAttempts) return false;
    return isRepeatable(request) && request.info().deadlineUs - context_.now >= 2 * kTickInterval;
}

bool RetryPolicy::mayRetryIfLost(const PendingRequest& request) const {
    return request.attempts() < context_.settings.maxAttempts &&
           request.retrySafety() != RetrySafety::NotIdempotent;
}

bool RetryPolicy::mayReject(const PendingRequest& request) {
    if (!request.classInfo()) return request.attempts() == 0;
    if (request.retrySafety() == RetrySafety::Idempotent || request.neverRan()) return true;
    return request.retrySafety() == RetrySafety::IdempotentWithKey &&
           request.classInfo()->keyScope == KeyScope::Global;
}

}  // namespace wingproxy
