/// \file
/// What a seed of the soak stands for: the fleet, its nodes, the load and the kinds of faults.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace wingproxy::soak {

/// Cells of the nodes; each begins with one node.
inline constexpr int kSoakCells = 3;

/// The kinds of faults of a run; each is drawn by itself.
struct FaultKinds {
    bool nodes = false;      ///< nodes hang, fail, decline, die and come back cold, drain and are replaced
    bool links = false;      ///< connections to nodes are silent, late and reset; datagrams are lost
    bool discovery = false;  ///< it is down for a while
    bool signals = false;  ///< SIGTERM, also twice, SIGKILL, SIGHUP, SIGUSR1, stops of 0.13 s, in series too
    bool clocks = false;   ///< wall clocks step
    bool storage = false;  ///< files cannot be written
    bool crowd = false;    ///< idle clients take all descriptors
};

/// One run.
struct SoakPlan {
    std::uint64_t seed = 0;
    FaultKinds kinds;
    std::size_t fronts = 0;
    double slowStartUnits = 0;  ///< what the settings promise of any node that has just started, in a window
    double load = 1;            ///< units that clients ask for, as a part of what all warm nodes can do
    int obedientPercent = 0;    ///< of the clients: they wait for as long as Retry-After says
    bool dropsAbandoned = false;  ///< nodes drop waiting work whose connection was closed
    std::chrono::milliseconds longestDeadline{0};
    /// Moves each fault by some milliseconds; 0 plays the faults as they were drawn.
    std::uint64_t play = 0;

    /// The real capacity of a node, as a multiple of what the settings promise: half of the nodes can do just
    /// that.
    [[nodiscard]] double capacityFactor(std::size_t node) const;
};

/// The plan that a seed stands for.
SoakPlan planOf(std::uint64_t seed);
/// The plan in a few words.
std::string describe(const SoakPlan& plan);

}  // namespace wingproxy::soak
