#include "policy/slow_start.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "policy/peer_message.h"
#include "wingproxy/slow_start_budget.h"

namespace wingproxy {
namespace {

// Longest delay of a process between the decision to send a request and the write.
constexpr Micros kMaxSendDelay = 150'000;
// Units that may be sent for each completed unit: above 1, so that hosts discover what a node can do beyond
// what the settings promise.
constexpr double kGrowth = 1.5;
// Upper bound of the sum of these units over all hosts, as a fraction of the node's budget.
constexpr double kMaxCompletedFraction = 0.75;
// Fraction of what a node tolerates that is used; the rest covers requests of more work than their units say.
constexpr double kUsedFraction = 0.8;
// Margin above the mean of the sum over all hosts, in standard deviations.
constexpr double kDeviations = 3;
// Request size for which the rounding variance is computed, in mean requests.
constexpr double kRoundedRequestSize = 1.5;
constexpr int kSearchSteps = 12;  // of the bisection in fixedUnits

// Units that this host may send for each unit that the node completed.
double unitsPerCompleted(const Settings& settings) {
    return std::min(kGrowth, kMaxCompletedFraction * settings.slowStartOverloadFactor);
}

// Variance of what one host sends within a window, which comes from the random rounding of its allowance to
// whole requests.
double roundingVariance(const Settings& settings, double allowance) {
    const double size = kRoundedRequestSize * settings.meanUnits;
    const double rounded = std::min(allowance, size / 2);
    return rounded * (size - rounded);
}

// Units that all hosts together may send within a window, apart from those granted for completed units: the
// largest number with which the sum plus kDeviations standard deviations stays within what a node tolerates.
double fixedUnits(const Settings& settings, double budget, double hosts) {
    const double completedFraction =
        unitsPerCompleted(settings) / std::max(settings.slowStartOverloadFactor, 1.0);
    const double tolerated = kUsedFraction * (budget + slowStartTolerance(settings, budget));
    const double bound = tolerated - completedFraction * budget;
    double low = 0;
    double high = std::max(bound, 0.0);
    for (int step = 0; step < kSearchSteps; ++step) {
        const double middle = (low + high) / 2;
        const double deviation = std::sqrt(hosts * roundingVariance(settings, middle / hosts));
        (middle + kDeviations * deviation <= bound ? low : high) = middle;
    }
    return low;
}

}  // namespace

Micros slowStartHostWindow(const Settings& settings) {
    const Micros maxArrivalDelay = settings.connectTimeoutUs + kMaxSendDelay;
    return settings.slowStartWindowUs + maxArrivalDelay;
}

void SlowStartLimiter::restart(Micros startedAt, double phase) {
    std::erase_if(state_.window.samples, [&](const SlowStartWindow::Sample& sample) {
        return sample.at < startedAt || sample.units < 0;
    });
    state_.phase = phase;
}

SlowStartAllowance SlowStartLimiter::allowance(const Settings& settings,
                                               const SlowStartConditions& conditions, Micros now) const {
    const double hosts = std::max(settings.hostCount, 1);
    const double fixed = fixedUnits(settings, slowStartBudget(settings, conditions.age), hosts);
    SlowStartAllowance allowance{0, slowStartHostWindow(settings), conditions.usableSince};
    if (!conditions.peers || fixed / hosts >= settings.meanUnits) {
        const double completed = state_.window.sums(settings.slowStartWindowUs, now).completed;
        allowance.units = fixed / hosts + unitsPerCompleted(settings) * completed;
        return allowance;
    }
    const double completedByAll =
        conditions.peers->completedRate * double(settings.slowStartWindowUs) / 1e6 / conditions.startingNodes;
    allowance.units = conditions.peers->demandShare * (fixed + unitsPerCompleted(settings) * completedByAll);
    return allowance;
}

// If only a part of the last request fits into the allowance, that part is the probability with which it is
// admitted; the random number is different in each window. On average, a host thus sends its allowance, even
// one smaller than a request.
bool SlowStartLimiter::admits(const SlowStartAllowance& allowance, double units, Micros now) const {
    if (now < allowance.usableSince || allowance.units <= 0) return false;
    const auto windowNumber = std::uint64_t(double(now) / double(allowance.windowUs) + state_.phase);
    const double rounding = peer::hashToFraction(peer::hashOf(std::to_string(state_.phase)) + windowNumber);
    const double sent = state_.window.sums(allowance.windowUs, now).sent;
    return sent + units <= allowance.units + rounding * units;
}

}  // namespace wingproxy
