#include "core/slow_start_monitor.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "wingproxy/slow_start_budget.h"

namespace wingproxy::core {
namespace {

constexpr double kMicrosPerSecond = 1e6;

std::uint64_t wholeUnits(double units) { return static_cast<std::uint64_t>(std::llround(units)); }

}  // namespace

std::vector<std::string> SlowStartMonitor::onEndpointList(const EndpointList& list, Micros now) {
    std::vector<std::string> lines;
    if (settings_.slowStartWindowUs <= 0) return lines;
    std::erase_if(nodes_, [&](const auto& entry) {
        if (now - entry.second.startedAt < settings_.slowStartDurationUs) return false;
        lines.push_back(describeEnd(entry.first, entry.second));
        return true;
    });
    for (const NodeInfo& info : list.nodes) {
        if (!isWarmingUp(info, now)) continue;
        const auto known = nodes_.find(info.id);
        if (known != nodes_.end() && known->second.startedAt == info.startedUs) continue;
        WarmingNode fresh;
        fresh.startedAt = info.startedUs;
        fresh.listedAt = now;
        nodes_.insert_or_assign(info.id, std::move(fresh));
        ++counters_.nodesStarted;
        lines.push_back(describeStart(info, now));
    }
    return lines;
}

bool SlowStartMonitor::isWarmingUp(const NodeInfo& info, Micros now) const {
    return info.startedUs > 0 && info.state != NodeState::Removed &&
           now - info.startedUs < settings_.slowStartDurationUs;
}

double SlowStartMonitor::hostPart(const WarmingNode& node, Micros now) const {
    return slowStartBudget(settings_, now - node.startedAt) / std::max(settings_.hostCount, 1);
}

void SlowStartMonitor::onAttemptStarted(const std::string& node, double units, Micros now) {
    const auto found = nodes_.find(node);
    if (found == nodes_.end() || now - found->second.startedAt >= settings_.slowStartDurationUs) return;
    WarmingNode& state = found->second;
    while (!state.window.empty() && now - state.window.front().at > settings_.slowStartWindowUs) {
        state.unitsInWindow -= state.window.front().units;
        state.window.pop_front();
    }
    state.window.push_back({now, units});
    state.unitsInWindow += units;
    state.unitsSent += units;
    state.largestWindow = std::max(state.largestWindow, state.unitsInWindow);
    if (state.unitsInWindow > hostPart(state, now) && !state.exceededHostPart) {
        state.exceededHostPart = true;
        ++counters_.nodesOverPart;
    }
    ++counters_.attempts;
    unitsSent_ += units;
    largestWindow_ = std::max(largestWindow_, state.unitsInWindow);
}

void SlowStartMonitor::onAttemptCompleted(const std::string& node, double units) {
    const auto found = nodes_.find(node);
    if (found == nodes_.end()) return;
    found->second.unitsCompleted += units;
    unitsCompleted_ += units;
}

SlowStartCounters SlowStartMonitor::counters(Micros now) const {
    SlowStartCounters counters = counters_;
    counters.unitsSent = wholeUnits(unitsSent_);
    counters.unitsCompleted = wholeUnits(unitsCompleted_);
    counters.largestWindow = wholeUnits(largestWindow_);
    counters.nodesWarmingUp =
        std::uint64_t(std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
            return now - entry.second.startedAt < settings_.slowStartDurationUs;
        }));
    return counters;
}

std::string SlowStartMonitor::describeStart(const NodeInfo& info, Micros now) const {
    const double budget = slowStartBudget(settings_, now - info.startedUs);
    return fmt::format(
        "slow start of {} in cell {}: started {:.3f} s ago, budget {:.1f} units in {:.3f} s for {} hosts",
        info.id, info.cell.value(), double(now - info.startedUs) / kMicrosPerSecond, budget,
        double(settings_.slowStartWindowUs) / kMicrosPerSecond, settings_.hostCount);
}

std::string SlowStartMonitor::describeEnd(const std::string& node, const WarmingNode& state) const {
    return fmt::format(
        "slow start of {} over: sent {:.1f} units, completed {:.1f}, at most {:.1f} in one window{}", node,
        state.unitsSent, state.unitsCompleted, state.largestWindow,
        state.exceededHostPart ? ", more than this host's part" : "");
}

}  // namespace wingproxy::core
