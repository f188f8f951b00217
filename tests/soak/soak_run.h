/// \file
/// One seeded run of the soak: a fleet of real processes under load and faults, and the rules that it broke.
#pragma once

#include "soak/fake_servers.h"
#include "soak/soak_plan.h"
#include "support/fleet_support.h"

namespace wingproxy::soak {

/// The violations and counts of a run. Counts are of requests unless said otherwise.
struct SoakResult {
    std::vector<std::string> violations;  ///< each followed by its trace
    std::size_t requests = 0;
    std::size_t answered = 0;  ///< with a node's response
    std::size_t answeredInTime =
        0;  ///< of these, before their deadline, without those whose client meant to disconnect
    std::size_t reference = 0;     ///< that could have been answered in time, see `ReferenceQueue`
    std::size_t rejected = 0;      ///< with 429 or 503
    std::size_t failed = 0;        ///< with any other status
    std::size_t resent = 0;        ///< sent again, as the connection was closed before they were read
    std::size_t disconnected = 0;  ///< whose client disconnected without waiting for the answer
    std::size_t attempts = 0;      ///< attempts that arrived at nodes
    std::size_t faults = 0;        ///< lines of injected faults, see FaultSchedule::count
    std::size_t killedAfterTerm =
        0;  ///< processes still running at SIGKILL; they must have answered all requests
    double largestSlowStartExcess = 0;              ///< see Observations::largestSlowStartExcess
    std::chrono::milliseconds longestIteration{0};  ///< of the observing loop
};

/// Runs a plan for `duration`. Starts its processes on loopback and ends them.
SoakResult runSoak(const SoakPlan& plan, std::chrono::milliseconds duration);

}  // namespace wingproxy::soak
