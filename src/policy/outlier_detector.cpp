#include "policy/outlier_detector.h"

#include "wingproxy/slow_start_budget.h"

namespace wingproxy {
namespace {

// A node with work outstanding is suspect when it has been silent for longer than kMinSilence, which exceeds
// an ordinary pause, and longer than kSilenceLatencies of its usual latency, for nodes that are always slow.
constexpr Micros kMinSilence = 400'000;
constexpr double kSilenceLatencies = 4;
// Bounds of the interval at which one host sends a suspect node a trial request. The lower one is also the
// ejection time after a first failure.
constexpr Micros kMinTrialInterval = 300'000;
constexpr Micros kMaxTrialInterval = 1'200'000;
constexpr int kMaxFailures = 4;          // in a row; the ejection time doubles with each, up to this one
constexpr double kErrorSmoothing = 0.2;  // weight of the newest answer
// Added to the expected wait for a new object, in latency objectives, if all of the node's answers are
// errors.
constexpr double kErrorObjectives = 4;
constexpr Micros kErrorMemory = 5'000'000;  // errors are ignored when `progressAt` is older

}  // namespace

bool OutlierDetector::isSuspect(int outstanding, double latency, Micros now) const {
    const double maxSilence = std::max(double(kMinSilence), kSilenceLatencies * latency);
    return now < state_.ejectedUntil || (outstanding > 0 && double(now - state_.progressAt) > maxSilence);
}

Micros OutlierDetector::trialInterval(const Settings& settings) {
    const double rate = promisedUnitsPerSecond(settings);
    if (rate <= 0) return kMinTrialInterval;
    // One trial request from each host, and the longest time in which any node after slow start completes
    // them.
    const double unitsPerRound = std::max(settings.hostCount, 1) * settings.meanUnits;
    const auto roundDuration = Micros(unitsPerRound / rate * 1e6);
    return std::clamp(roundDuration, kMinTrialInterval, kMaxTrialInterval);
}

double OutlierDetector::errorPenalty(double latencyObjective, Micros now) const {
    if (now - state_.progressAt >= kErrorMemory) return 0;
    return kErrorObjectives * state_.errorShare * latencyObjective;
}

void OutlierDetector::onAnswer(bool error, Micros sentAt, Micros now) {
    state_.newestAnswered = std::max(state_.newestAnswered, sentAt);
    state_.failures = 0;
    state_.ejectedUntil = kNever;
    state_.errorShare += kErrorSmoothing * ((error ? 1 : 0) - state_.errorShare);
    state_.progressAt = now;
}

bool OutlierDetector::onFailure(Outcome outcome, Micros sentAt, Micros now) {
    // If the node answered a request that was sent later, it works and only this answer was lost.
    if (outcome == Outcome::Cancelled || sentAt < state_.newestAnswered) return false;
    state_.failures = std::min(state_.failures + 1, kMaxFailures);
    // A single reset may be one damaged answer; a dead node causes several in a row.
    if (outcome == Outcome::Reset && state_.failures == 1) return false;
    state_.ejectedUntil = now + (kMinTrialInterval << state_.failures) / 2;
    return true;
}

}  // namespace wingproxy
