// The soak: a fleet of real processes under load, with faults of all kinds drawn from a seed, and every rule
// checked from what nodes, clients and discovery saw. CTest plays some seeds, each as a test of its own.
// Variables choose the seeds of a longer run by hand:
//
//     WINGPROXY_SOAK_FIRST=1 WINGPROXY_SOAK_SEEDS=50 build-tests/tests/wingproxy_soak
//
// WINGPROXY_SOAK_PLAY=N moves each fault of the seed by some milliseconds, drawn from N. WINGPROXY_SOAK_LOGS
// names a folder that keeps the logs of all processes.
#include <cstdlib>

#include "soak/soak_run.h"

using namespace wingproxy;

namespace {

constexpr std::uint64_t kFirstSeed = 1;
constexpr std::uint64_t kSeeds = 1;
constexpr std::chrono::milliseconds kDuration{6'000};

std::uint64_t variable(const char* name, std::uint64_t otherwise) {
    const char* const value = std::getenv(name);
    return value == nullptr ? otherwise : std::stoull(value);
}

}  // namespace

TEST_CASE("soak: no rule breaks under faults") {
    const std::uint64_t first = variable("WINGPROXY_SOAK_FIRST", kFirstSeed);
    const std::uint64_t count = variable("WINGPROXY_SOAK_SEEDS", kSeeds);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        soak::SoakPlan plan = soak::planOf(seed);
        plan.play = variable("WINGPROXY_SOAK_PLAY", 0);
        const soak::SoakResult result = soak::runSoak(plan, kDuration);
        MESSAGE(fmt::format(
            "{}: {} faults, {} requests, {} answered, {} in time of {}, {} rejected, {} failed, {} crossed, "
            "{} left, {} attempts, {} killed after SIGTERM, fullest window {:.1f}, longest turn {} ms",
            soak::describe(plan), result.faults, result.requests, result.answered, result.answeredInTime,
            result.reference, result.rejected, result.failed, result.crossed, result.left, result.attempts,
            result.killedAfterTerm, result.fullestWindow, result.longestTurn.count()));
        for (const std::string& violation : result.violations)
            MESSAGE(violation);
        CHECK_MESSAGE(result.violations.empty(),
                      fmt::format("again: WINGPROXY_SOAK_FIRST={} WINGPROXY_SOAK_PLAY={}", seed, plan.play));
        CHECK(result.answered > 0);
    }
}
