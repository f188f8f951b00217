#include "soak/soak_plan.h"

#include <fmt/format.h>

#include <array>
#include <cmath>
#include <random>

namespace wingproxy::soak {
namespace {

constexpr std::size_t kMinFronts = 2;
constexpr std::size_t kFrontCounts = 4;
constexpr std::array kSlowStartUnits{8.0, 20.0, 80.0};
constexpr double kMinLoad = 0.5;
constexpr double kMaxLoad = 20;
constexpr std::array kRetryAfterPercents{0, 50, 90};
constexpr std::array kLongestDeadlines{std::chrono::milliseconds{900}, std::chrono::milliseconds{1'500}};
constexpr double kMaxCapacityFactor = 4;

// Added to the seed, so that each group of draws has a generator of its own and another draw in one group
// doesn't change the others.
constexpr std::uint64_t kKindsSeedOffset = 1'000'003;
constexpr std::uint64_t kLoadSeedOffset = 2'000'003;
constexpr std::uint64_t kCapacitySeedOffset = 3'000'017;

FaultKinds faultsOf(std::uint64_t seed) {
    std::mt19937_64 random(seed + kKindsSeedOffset);
    const auto draw = [&] { return random() % 2 == 0; };
    FaultKinds kinds{draw(), draw(), draw(), draw(), draw(), draw(), seed % 5 == 4};
    kinds.nodes = kinds.nodes || seed % 2 == 0;
    kinds.signals = kinds.signals || seed % 2 == 1;
    return kinds;
}

std::string describe(const FaultKinds& kinds) {
    std::string text;
    const auto add = [&](bool isOn, const char* name) {
        if (!isOn) return;
        if (!text.empty()) text += ',';
        text += name;
    };
    add(kinds.nodes, "nodes");
    add(kinds.links, "links");
    add(kinds.discovery, "discovery");
    add(kinds.signals, "signals");
    add(kinds.clocks, "clocks");
    add(kinds.storage, "storage");
    add(kinds.flood, "flood");
    return text;
}

}  // namespace

double SoakPlan::capacityFactor(std::size_t node) const {
    std::mt19937_64 random(seed + kCapacitySeedOffset * (node + 1));
    if (random() % 2 == 0) return 1;
    return std::uniform_real_distribution(1.0, kMaxCapacityFactor)(random);
}

SoakPlan planOf(std::uint64_t seed) {
    SoakPlan plan;
    plan.seed = seed;
    plan.kinds = faultsOf(seed);
    std::mt19937_64 fleet(seed);
    plan.fronts = kMinFronts + fleet() % kFrontCounts;
    plan.slowStartUnits = kSlowStartUnits[fleet() % kSlowStartUnits.size()];
    std::mt19937_64 load(seed + kLoadSeedOffset);
    plan.load = kMinLoad * std::pow(kMaxLoad / kMinLoad, std::uniform_real_distribution(0.0, 1.0)(load));
    plan.retryAfterPercent = kRetryAfterPercents[load() % kRetryAfterPercents.size()];
    plan.dropsAbandoned = load() % 2 == 0;
    plan.longestDeadline = kLongestDeadlines[load() % kLongestDeadlines.size()];
    return plan;
}

std::string describe(const SoakPlan& plan) {
    return fmt::format(
        "seed {} play {} ({}; {} fronts, {} units, load {:.1f}, {}% honour Retry-After, nodes {} abandoned "
        "requests, "
        "deadlines to {} ms)",
        plan.seed, plan.play, describe(plan.kinds), plan.fronts, plan.slowStartUnits, plan.load,
        plan.retryAfterPercent, plan.dropsAbandoned ? "drop" : "serve", plan.longestDeadline.count());
}

}  // namespace wingproxy::soak
