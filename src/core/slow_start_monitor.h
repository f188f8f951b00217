/// \file
/// Records what this host sends to nodes that are warming up, so that an overload can be traced afterwards.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::core {

/// Slow start counters over all nodes, since the start of the process.
struct SlowStartCounters {
    std::uint64_t nodesStarted = 0;    ///< slow starts of listed nodes
    std::uint64_t nodesWarmingUp = 0;  ///< nodes that are in slow start now
    std::uint64_t attempts = 0;        ///< attempts at nodes in slow start
    std::uint64_t unitsSent = 0;       ///< units of work of those attempts
    std::uint64_t unitsCompleted = 0;  ///< units of the attempts that these nodes answered
    std::uint64_t largestWindow = 0;   ///< most units sent to one node within one window
    std::uint64_t nodesOverPart = 0;   ///< slow starts with a window above this host's part of the budget
};

/// Takes no decisions and shares no state with the code that takes them, so that its figures are an
/// independent check. A host's part of a node's budget is the budget divided by the number of hosts. Units
/// are units of work. Memory is bounded by the number of listed nodes and by the attempts within a window.
class SlowStartMonitor {
public:
    /// \param settings must outlive the object
    explicit SlowStartMonitor(const Settings& settings) : settings_(settings) {}

    /// Handles an endpoint list with the admin overrides applied.
    /// \return log lines for the nodes whose slow start began or ended
    std::vector<std::string> onEndpointList(const EndpointList& list, Micros now);
    /// Records that an attempt of `units` was started at a node.
    void onAttemptStarted(const std::string& node, double units, Micros now);
    /// Records that a node answered an attempt of `units`.
    void onAttemptCompleted(const std::string& node, double units);
    /// The counters as of `now`.
    [[nodiscard]] SlowStartCounters counters(Micros now) const;
    /// Number of nodes that are monitored.
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }

private:
    struct Sample {
        Micros at = 0;
        double units = 0;
    };
    struct WarmingNode {
        Micros startedAt = 0;
        Micros listedAt = 0;
        std::deque<Sample> window;  // what was sent, oldest first
        double unitsInWindow = 0;
        double largestWindow = 0;
        double unitsSent = 0;
        double unitsCompleted = 0;
        bool exceededHostPart = false;
    };
    [[nodiscard]] bool isWarmingUp(const NodeInfo& info, Micros now) const;
    [[nodiscard]] std::string describeStart(const NodeInfo& info, Micros now) const;
    [[nodiscard]] std::string describeEnd(const std::string& node, const WarmingNode& state) const;
    [[nodiscard]] double hostPart(const WarmingNode& node, Micros now) const;

    const Settings& settings_;
    std::map<std::string, WarmingNode, std::less<>> nodes_;
    SlowStartCounters counters_;
    double unitsSent_ = 0;
    double unitsCompleted_ = 0;
    double largestWindow_ = 0;
};

}  // namespace wingproxy::core
