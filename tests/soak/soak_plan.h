/// \file
/// The parameters of a run, which are drawn from its seed: the fleet, its nodes, the load and the kinds of
/// faults.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace wingproxy::soak {

/// Number of cells; each has one node when the run begins.
inline constexpr int kSoakCells = 3;

/// The kinds of faults of a run; each is drawn independently.
struct FaultKinds {
    bool nodes = false;      ///< nodes hang, fail, decline, crash and restart cold, drain and are replaced
    bool links = false;      ///< connections to nodes stall, are delayed and reset; datagrams are lost,
                             ///< duplicated and delayed
    bool discovery = false;  ///< the discovery service is down for a while
    bool signals =
        false;  ///< SIGTERM (also twice), SIGKILL, SIGHUP, SIGUSR1, and single and repeated pauses of 0.13 s
    bool clocks = false;   ///< wall clocks step
    bool storage = false;  ///< writes to files fail
    bool flood = false;    ///< idle connections take all descriptors of a front
};

/// The parameters of one run.
struct SoakPlan {
    std::uint64_t seed = 0;
    FaultKinds kinds;
    std::size_t fronts = 0;
    double slowStartUnits =
        0;            ///< the settings' slow-start budget of a node that has just started, per window
    double load = 1;  ///< units per second that clients request, relative to the speed of all warm nodes
    int retryAfterPercent = 0;    ///< percentage of clients that wait as long as Retry-After says
    bool dropsAbandoned = false;  ///< nodes drop queued requests whose connection was closed
    std::chrono::milliseconds longestDeadline{0};
    /// Seed from which each fault is moved by up to 8 ms; 0 leaves the faults at the times drawn.
    std::uint64_t play = 0;

    /// The real capacity of a node, as a multiple of what the settings promise. For half of the nodes it
    /// is 1.
    [[nodiscard]] double capacityFactor(std::size_t node) const;
};

/// Draws the plan of a seed.
SoakPlan planOf(std::uint64_t seed);
/// The plan as one line of text.
std::string describe(const SoakPlan& plan);

}  // namespace wingproxy::soak
