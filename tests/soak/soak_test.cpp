// The soak runs a fleet of real processes under load, injects faults that are drawn from a seed, and checks
// every rule against what nodes, clients and discovery observed. CTest runs some seeds, each as a test of its
// own. Environment variables select the seeds of a longer manual run:
//
//     WINGPROXY_SOAK_FIRST=1 WINGPROXY_SOAK_SEEDS=50 build-tests/tests/wingproxy_soak
//
// WINGPROXY_SOAK_PLAY=N moves each fault of the seed by up to 8 ms, drawn from N. WINGPROXY_SOAK_LOGS
// names a folder to which the logs of all processes are copied.
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

TEST_CASE("soak: no rule is broken under faults") {
    const std::uint64_t first = variable("WINGPROXY_SOAK_FIRST", kFirstSeed);
    const std::uint64_t count = variable("WINGPROXY_SOAK_SEEDS", kSeeds);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        soak::SoakPlan plan = soak::planOf(seed);
        plan.play = variable("WINGPROXY_SOAK_PLAY", 0);
        const soak::SoakResult result = soak::runSoak(plan, kDuration);
        MESSAGE(fmt::format(
            "{}: {} faults, {} requests, {} answered, {} in time of {}, {} rejected, {} failed, {} resent, "
            "{} disconnected, {} attempts, {} killed after SIGTERM, largest slow-start excess {:.1f}, "
            "longest loop iteration {} ms",
            soak::describe(plan), result.faults, result.requests, result.answered, result.answeredInTime,
            result.reference, result.rejected, result.failed, result.resent, result.disconnected,
            result.attempts, result.killedAfterTerm, result.largestSlowStartExcess,
            result.longestIteration.count()));
        for (const std::string& violation : result.violations)
            MESSAGE(violation);
        CHECK_MESSAGE(
            result.violations.empty(),
            fmt::format("to repeat: WINGPROXY_SOAK_FIRST={} WINGPROXY_SOAK_PLAY={}", seed, plan.play));
        CHECK(result.answered > 0);
    }
}
