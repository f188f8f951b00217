#include "policy/slow_start.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "policy/peer_message.h"
#include "wingproxy/slow_start_budget.h"

namespace wingproxy {
namespace {

// A process may be held up for so long between its decision and its write.
constexpr Micros kMaxHoldUp = 150'000;
// Units that may be sent for each unit that was completed: above 1, so that hosts find out what a node can do
// beyond what the settings promise. Their sum is a part of the node's budget, at most this one.
constexpr double kGrowth = 1.5;
constexpr double kMaxCompletedPart = 0.75;
// Of what a node bears: the rest covers requests of more work than their units say.
constexpr double kUsedPart = 0.8;
// How far the sum over hosts may lie above its mean, in standard deviations.
constexpr double kDeviations = 3;
constexpr double kSpreadRequests = 1.5;  // size of the requests that make up the sum, in mean requests
constexpr int kSearchSteps = 12;

// Units that this host may send for each unit that the node completed.
double unitsPerCompleted(const Settings& settings) {
    return std::min(kGrowth, kMaxCompletedPart * settings.slowStartOverloadFactor);
}

// Variance of what one host sends within a window, as it rounds its allowance to whole requests at random.
double roundingVariance(const Settings& settings, double allowance) {
    const double size = kSpreadRequests * settings.meanUnits;
    const double rounded = std::min(allowance, size / 2);
    return rounded * (size - rounded);
}

// Units that all hosts together may send within a window, beside what follows from completed units: the most
// with which the sum is hardly ever more than a node bears.
double fixedUnits(const Settings& settings, double budget, double hosts) {
    const double completedPart =
        unitsPerCompleted(settings) / std::max(settings.slowStartOverloadFactor, 1.0);
    const double borne = kUsedPart * (budget + slowStartTolerance(settings, budget));
    const double bound = borne - completedPart * budget;
    double least = 0;
    double most = std::max(bound, 0.0);
    for (int step = 0; step < kSearchSteps; ++step) {
        const double middle = (least + most) / 2;
        const double deviation = std::sqrt(hosts * roundingVariance(settings, middle / hosts));
        (middle + kDeviations * deviation <= bound ? least : most) = middle;
    }
    return least;
}

}  // namespace

Micros slowStartHostWindow(const Settings& settings) {
    const Micros arrivalSpread = settings.connectTimeoutUs + kMaxHoldUp;
    return settings.slowStartWindowUs + arrivalSpread;
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
    allowance.units = conditions.peers->demandPart * (fixed + unitsPerCompleted(settings) * completedByAll);
    return allowance;
}

// Whether the last request of a window fits in part is drawn anew in each window, with the probability of
// that part: on average a host sends its allowance, however small it is beside a request.
bool SlowStartLimiter::admits(const SlowStartAllowance& allowance, double units, Micros now) const {
    if (now < allowance.usableSince || allowance.units <= 0) return false;
    const auto windowNumber = std::uint64_t(double(now) / double(allowance.windowUs) + state_.phase);
    const double rounding = peer::fractionOf(peer::hashOf(std::to_string(state_.phase)) + windowNumber);
    const double sent = state_.window.sums(allowance.windowUs, now).sent;
    return sent + units <= allowance.units + rounding * units;
}

}  // namespace wingproxy
