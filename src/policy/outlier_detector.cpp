#include "policy/outlier_detector.h"

#include "wingproxy/slow_start_budget.h"

namespace wingproxy {
namespace {

// Silence with work outstanding: beyond an ordinary pause, or so many latencies where a node is slow by
// nature.
constexpr Micros kMinSilence = 400'000;
constexpr double kSilenceLatencies = 4;
// A suspect gets one request this often, to show its recovery.
constexpr Micros kMinTrialInterval = 300'000;
constexpr Micros kMaxTrialInterval = 1'200'000;
constexpr int kMaxFailures = 4;          // the ejection doubles with each up to this one
constexpr double kErrorSmoothing = 0.2;  // weight of the newest answer
// A node of whose answers all are errors looks so many objectives slower to a new object, until its last sign
// of life is so old.
constexpr double kErrorObjectives = 4;
constexpr Micros kErrorMemory = 5'000'000;

}  // namespace

bool OutlierDetector::isSuspect(int outstanding, double latency, Micros now) const {
    const double patience = std::max(double(kMinSilence), kSilenceLatencies * latency);
    return now < state_.ejectedUntil || (outstanding > 0 && double(now - state_.progressAt) > patience);
}

Micros OutlierDetector::trialInterval(const Settings& settings) {
    const double rate = promisedUnitsPerSecond(settings);
    if (rate <= 0) return kMinTrialInterval;
    const double unitsOfAllHosts = std::max(settings.hostCount, 1) * settings.meanUnits;
    const auto workedOffIn = Micros(unitsOfAllHosts / rate * 1e6);
    return std::clamp(workedOffIn, kMinTrialInterval, kMaxTrialInterval);
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
    // Where the node answered what was sent later, the answer was lost and the node works.
    if (outcome == Outcome::Cancelled || sentAt < state_.newestAnswered) return false;
    state_.failures = std::min(state_.failures + 1, kMaxFailures);
    // A lone reset may be one damaged answer; those of a dead node follow each other.
    if (outcome == Outcome::Reset && state_.failures == 1) return false;
    state_.ejectedUntil = now + (kMinTrialInterval << state_.failures) / 2;
    return true;
}

}  // namespace wingproxy
