#include "policy/load_shedder.h"

#include <algorithm>

namespace wingproxy {
namespace {

constexpr double kMinUnitsPerSecond = 1e-3;  // avoids division by zero

}  // namespace

LoadShedder::Capacity LoadShedder::capacityOf(const Cell& cell) const {
    Capacity capacity{kMinUnitsPerSecond, 0};
    for (const NodeIndex index : cell.nodes) {
        const Node& node = cluster_.node(index);
        if (!cluster_.acceptsRequests(node)) continue;
        // A suspect node gets only trial requests, one per trial interval.
        const double trialRate = node.concurrency().estimate().units * 1e6 / double(cluster_.trialInterval());
        capacity.unitsPerSecond += cluster_.isSuspect(node) ? trialRate : cluster_.unitsPerSecond(node);
        const double latency =
            cluster_.expectedLatency(node) + node.outliers().remainingEjection(context_.now);
        capacity.latency = capacity.latency > 0 ? std::min(capacity.latency, latency) : latency;
    }
    return capacity;
}

LoadShedder::Overload LoadShedder::overload(const Cell& cell, const RequestQueue& queue) const {
    const Capacity capacity = capacityOf(cell);
    Overload overload;
    Backlog backlog;
    for (const auto& [key, request] : queue.entries()) {
        backlog.add(*request);
        for (bool isKept = true; isKept;) {
            const Position victim = victimFor(backlog, capacity);
            if (victim == backlog.requests.end()) break;
            isKept = *victim != request;
            overload.requests.push_back(*victim);
            backlog.remove(victim);
        }
    }
    overload.backlog = Micros(backlog.units * 1e6 / capacity.unitsPerSecond);
    return overload;
}

LoadShedder::Position LoadShedder::victimFor(Backlog& backlog, const Capacity& capacity) const {
    const PendingRequest& request = *backlog.requests.back();
    const double timeLeft = double(request.due() - context_.now) - capacity.latency;
    const double unitsAhead = backlog.units - request.units();
    if (unitsAhead * 1e6 / capacity.unitsPerSecond > timeLeft ||
        capacity.latency > admission_.maxLatency(request))
        return leastValuable(backlog);
    if (request.needsTokens() &&
        leases_.timeToTokens(request.volume(), backlog.tokensNeeded[&request.volume()]) >
            std::max(0.0, timeLeft))
        return lowestPriorityOfVolume(backlog);
    return backlog.requests.end();
}

LoadShedder::Position LoadShedder::leastValuable(Backlog& backlog) const {
    const auto isLess = [&](const PendingRequest* left, const PendingRequest* right) {
        return admission_.value(*left) < admission_.value(*right);
    };
    const auto found = std::min_element(backlog.requests.rbegin(), backlog.requests.rend(), isLess);
    return std::prev(found.base());
}

LoadShedder::Position LoadShedder::lowestPriorityOfVolume(Backlog& backlog) {
    auto& requests = backlog.requests;
    Position lowest = std::prev(requests.end());
    const Volume* const volume = &(*lowest)->volume();
    for (auto it = requests.begin(); it != requests.end(); ++it)
        if (&(*it)->volume() == volume && !(*it)->hasTokens() &&
            (*it)->priorityWeight() < (*lowest)->priorityWeight())
            lowest = it;
    return lowest;
}

}  // namespace wingproxy
