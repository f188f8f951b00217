#include "policy/concurrency_limit.h"

#include <cmath>

#include "policy/context.h"

namespace wingproxy {

const double kLongLatencyFraction = 0.3;

namespace {

// Limits are in attempts of all hosts together, minimums in attempts of one host.
constexpr double kInitialLimit = 3;       // until answers change it
constexpr double kMaxLimit = 16;          // however fast the node looks
constexpr double kMinAttemptsIfFast = 2;  // at a node whose latency is short
constexpr double kMinAttemptsIfSlow = 1;
constexpr double kQueuedFactor = 1.6;  // ratio of latency to floor above which the node has a queue
constexpr double kDecrease = 0.85;     // factor after a slow answer, applied at most once per latency
constexpr double kIncrease = 0.5;      // in attempts, spread over as many fast answers as the limit is high
constexpr double kFailureDecrease = 0.5;
constexpr double kSpareAttempts = 2;  // the limit grows only if fewer allowed attempts than this are unused
constexpr Micros kFloorSpan = 5'000'000;  // of the minimum; longer than a node's pauses
constexpr double kSmoothing = 0.2;  // weight of the newest size; lower bound of that of the newest latency
constexpr double kMinUnits = 0.5;   // lower bound of the mean request size in unitsPerSecond
constexpr double kDrainRate = 1;    // microseconds of queueing latency that drain per microsecond
constexpr double kUnknownLatencyFraction = 0.25;  // of the objective, before the first answer

}  // namespace

ConcurrencyLimit ConcurrencyLimit::startingAt(Micros now) {
    ConcurrencyLimit fresh;
    fresh.state_.limit = kInitialLimit;
    fresh.state_.estimate.floor.spanStart = now;
    return fresh;
}

double ConcurrencyLimit::expectedLatency(Micros now, double objective) const {
    const LatencyEstimate& estimate = state_.estimate;
    if (estimate.latency <= 0) return objective * kUnknownLatencyFraction;
    const double undrained = estimate.latency - kDrainRate * double(now - estimate.updatedAt);
    return std::max(std::min(estimate.latency, estimate.unqueued()), undrained);
}

double ConcurrencyLimit::attemptsAllowed(const Conditions& conditions) const {
    const bool isLong =
        expectedLatency(conditions.now, conditions.objective) > kLongLatencyFraction * conditions.objective;
    if (state_.estimate.latency <= 0 && conditions.startingHosts > 1)
        return std::max(1.0, state_.limit / conditions.startingHosts);
    return std::max(isLong ? kMinAttemptsIfSlow : kMinAttemptsIfFast, state_.limit * conditions.ownShare);
}

double ConcurrencyLimit::unitsPerSecond(const Conditions& conditions) const {
    return attemptsAllowed(conditions) * std::max(kMinUnits, state_.estimate.units) * 1e6 /
           expectedLatency(conditions.now, conditions.objective);
}

double ConcurrencyLimit::queueingThreshold() const {
    return kQueuedFactor * state_.estimate.floor.value() * state_.estimate.units;
}

bool ConcurrencyLimit::isSlow(double objective) const {
    const LatencyEstimate& estimate = state_.estimate;
    return estimate.perUnit > kQueuedFactor * estimate.floor.value() ||
           estimate.latency > kLongLatencyFraction * objective;
}

void ConcurrencyLimit::record(const Answer& answer, Micros now) {
    LatencyEstimate& estimate = state_.estimate;
    // The older the estimate, the more weight the new answer has.
    const double age = double(now - answer.updatedBefore) / double(kRateTimeConstant);
    const double weight = estimate.latency > 0 ? std::max(kSmoothing, 1 - std::exp2(-age)) : 1;
    estimate.updatedAt = now;
    estimate.record(answer.latency, answer.units, weight, kSmoothing);
    estimate.floor.record(estimate.perUnit, now, kFloorSpan);
}

void ConcurrencyLimit::onAnswer(const Answer& answer, const Conditions& conditions) {
    record(answer, conditions.now);
    if (isSlow(conditions.objective)) {
        if (double(conditions.now - state_.loweredAt) < state_.estimate.latency) return;
        state_.limit = std::max(1.0, state_.limit * kDecrease);
        state_.loweredAt = conditions.now;
    } else if (answer.outstanding + kSpareAttempts > attemptsAllowed(conditions)) {
        state_.limit = std::min(kMaxLimit, state_.limit + kIncrease / state_.limit);
    }
}

void ConcurrencyLimit::onFailure() { state_.limit = std::max(1.0, state_.limit * kFailureDecrease); }

}  // namespace wingproxy
