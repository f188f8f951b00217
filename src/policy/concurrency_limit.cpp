#include "policy/concurrency_limit.h"

#include <cmath>

#include "policy/context.h"

namespace wingproxy {

const double kLongLatencyFraction = 0.3;

namespace {

constexpr double kInitialLimit = 3;   // the design's "a few"
constexpr double kMaxLimit = 16;      // however quick a node looks
constexpr double kMinWhileQuick = 2;  // for each host, at a node whose latency is short
constexpr double kMinWhileSlow = 1;
constexpr double kQueuedFactor = 1.6;  // latency over the floor at which the node's queue is too long
constexpr double kDecrease = 0.85;     // on a long queue, at most once in a latency
constexpr double kIncrease = 0.5;      // in all, by as many answers as the limit allows attempts
constexpr double kFailureDecrease = 0.5;
constexpr double kSpareAttempts = 2;      // the limit only grows when it is as good as used
constexpr Micros kFloorSpan = 5'000'000;  // pauses of a node end well within
constexpr double kSmoothing = 0.2;        // weight of the newest latency, at the least
constexpr double kMinUnits = 0.5;
constexpr double kDrainRate = 1;  // a queue that was seen is worked off by its own length in as much time
constexpr double kUnknownLatencyPart = 0.25;  // of the objective, where no answer came yet

}  // namespace

ConcurrencyLimit ConcurrencyLimit::startingAt(Micros now) {
    ConcurrencyLimit fresh;
    fresh.state_.limit = kInitialLimit;
    fresh.state_.estimate.floor.spanStart = now;
    return fresh;
}

double ConcurrencyLimit::expectedLatency(Micros now, double objective) const {
    const LatencyEstimate& estimate = state_.estimate;
    if (estimate.latency <= 0) return objective * kUnknownLatencyPart;
    const double left = estimate.latency - kDrainRate * double(now - estimate.updatedAt);
    return std::max(std::min(estimate.latency, estimate.unqueued()), left);
}

double ConcurrencyLimit::attemptsAllowed(const Conditions& conditions) const {
    const bool isLong =
        expectedLatency(conditions.now, conditions.objective) > kLongLatencyFraction * conditions.objective;
    if (state_.estimate.latency <= 0 && conditions.beginners > 1)
        return std::max(1.0, state_.limit / conditions.beginners);
    return std::max(isLong ? kMinWhileSlow : kMinWhileQuick, state_.limit * conditions.ownShare);
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
    // The older what is known, the more the newest answer counts.
    const double age = double(now - answer.updatedBefore) / double(kRateMemory);
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
