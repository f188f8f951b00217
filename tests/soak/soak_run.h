/// \file
/// One seeded run of the soak: a fleet of real processes under load and faults, and what it broke.
#pragma once

#include "soak/soak_plan.h"
#include "soak/stand_ins.h"
#include "support/fleet_support.h"

namespace wingproxy::soak {

/// What a run found.
struct SoakResult {
    std::vector<std::string> violations;  ///< each with its trace behind it
    std::size_t requests = 0;
    std::size_t answered = 0;  ///< with a node's response
    std::size_t answeredInTime =
        0;                      ///< of these, before their time was up, if their client was to wait for it
    std::size_t reference = 0;  ///< could have been answered in time: see `ReferenceQueue`
    std::size_t rejected = 0;   ///< with 429 or 503
    std::size_t failed = 0;     ///< with any other status
    std::size_t crossed = 0;    ///< sent again, as the connection was closed unread
    std::size_t left = 0;       ///< whose client went away
    std::size_t attempts = 0;
    std::size_t faults = 0;                    ///< that were injected
    std::size_t killedAfterTerm = 0;           ///< had not ended when SIGKILL came: nothing may be owed then
    double fullestWindow = 0;                  ///< see Observations::fullestWindow
    std::chrono::milliseconds longestTurn{0};  ///< of the loop that observes
};

/// Plays one plan for so long. Uses some processes on loopback and ends them.
SoakResult runSoak(const SoakPlan& plan, std::chrono::milliseconds duration);

}  // namespace wingproxy::soak
