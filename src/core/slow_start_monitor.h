/// \file
/// Observes what this host sends to nodes that are warming up, so that an overload can be traced afterwards.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::core {

/// Counts of slow start over all nodes, since the start of the process.
struct SlowStartCounters {
    std::uint64_t nodesStarted = 0;    ///< nodes that were listed in slow start
    std::uint64_t nodesWarmingUp = 0;  ///< of those, the ones that are in slow start now
    std::uint64_t attempts = 0;        ///< attempts at them
    std::uint64_t unitsSent = 0;       ///< units of work of those attempts
    std::uint64_t unitsCompleted = 0;  ///< units of the attempts that they answered
    std::uint64_t largestWindow = 0;   ///< most units that one node was sent within one window
    std::uint64_t nodesOverPart = 0;   ///< nodes that were sent more than this host's even part of the budget
};

/// Decides nothing, and shares no state with the decisions, so that it can contradict them. Units are units
/// of work. Bounded by the number of listed nodes and what is sent within a window.
class SlowStartMonitor {
public:
    /// \param settings must outlive the object
    explicit SlowStartMonitor(const Settings& settings) : settings_(settings) {}

    /// The endpoint list as the policy sees it.
    /// \return lines for the log: a node was listed in slow start, or its slow start is over
    std::vector<std::string> onEndpointList(const EndpointList& list, Micros now);
    /// An attempt of so many units was started at a node.
    void onAttemptStarted(const std::string& node, double units, Micros now);
    /// A node answered an attempt of so many units.
    void onAttemptCompleted(const std::string& node, double units);
    /// The counts as of `now`.
    [[nodiscard]] SlowStartCounters counters(Micros now) const;
    /// Nodes that are observed.
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }

private:
    struct Sample {
        Micros at = 0;
        double units = 0;
    };
    struct WarmingNode {
        Micros startedAt = 0;
        Micros listedAt = 0;
        std::deque<Sample> window;  // sent, the oldest first
        double unitsInWindow = 0;
        double largestWindow = 0;
        double unitsSent = 0;
        double unitsCompleted = 0;
        bool exceededPart = false;
    };
    [[nodiscard]] bool isWarmingUp(const NodeInfo& info, Micros now) const;
    [[nodiscard]] std::string describeStart(const NodeInfo& info, Micros now) const;
    [[nodiscard]] std::string describeEnd(const std::string& node, const WarmingNode& state) const;
    [[nodiscard]] double partOf(const WarmingNode& node, Micros now) const;

    const Settings& settings_;
    std::map<std::string, WarmingNode, std::less<>> nodes_;
    SlowStartCounters counters_;
    double unitsSent_ = 0;
    double unitsCompleted_ = 0;
    double largestWindow_ = 0;
};

}  // namespace wingproxy::core
