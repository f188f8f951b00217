/// \file
/// Golden test of all hosts behind the simulator's protocol: a simulated cluster sends the input of a fixed
/// seed, and the replies must equal, byte for byte, those of the version that wrote golden_trace.txt.
///
/// golden_file.h says how to rewrite the file.
#include <gtest/gtest.h>

#include "golden/wire_simulation.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

constexpr std::uint64_t kBatchesPerLine = 100;

constexpr Micros kMs = 1'000;
constexpr Micros kSecond = 1'000'000;

/// Clusters in which different resources are scarce or absent. Settings not given have their defaults.
const std::vector<SimulationSettings> kScenarios{
    {.name = "four_hosts", .seed = 20261201, .duration = 64 * kSecond},
    {.name = "ten_hosts_list_on_request",
     .seed = 7,
     .hosts = 10,
     .duration = 24 * kSecond,
     .mayCheckHealth = false,
     .hasRetryBudget = false,
     .pollsEndpointList = true},
    {.name = "one_host_without_cancel",
     .seed = 11,
     .hosts = 1,
     .duration = 30 * kSecond,
     .mayCancel = false,
     .arrivalGap = 6 * kMs},
    // Nodes so slow that a queue of any length is too long, so that volumes compete for their shares.
    {.name = "two_hosts_slow_nodes",
     .seed = 5,
     .hosts = 2,
     .duration = 30 * kSecond,
     .arrivalGap = 8 * kMs,
     .serviceTime = 40 * kMs,
     .quietVolumes = 120},
    // Nodes that serve many requests at once, and classes without a latency objective.
    {.name = "one_host_without_aims",
     .seed = 3,
     .hosts = 1,
     .duration = 16 * kSecond,
     .arrivalGap = 2 * kMs,
     .serviceTime = 50 * kMs,
     .serviceJitterPercent = 3,
     .workers = 60,
     .newObjectPercent = 100,
     .classesHaveObjectives = false},
    // Only new objects and low load: a cell whose nodes failed is avoided until the failures expire.
    {.name = "one_host_new_objects",
     .seed = 17,
     .hosts = 1,
     .duration = 12 * kSecond,
     .arrivalGap = 8 * kMs,
     .newObjectPercent = 100},
    // So many volumes that gossip about them needs several datagrams.
    {.name = "two_hosts_many_volumes",
     .seed = 23,
     .hosts = 2,
     .duration = 5 * kSecond,
     .arrivalGap = 800,
     .quietVolumes = 400},
};

/// One line per hundred batches, then the counts of all kinds of input lines and actions.
std::vector<std::string> trace(const SimulationSettings& settings) {
    std::vector<std::string> lines;
    std::uint64_t batches = 0;
    std::uint64_t actions = 0;
    RunningHash hash;
    WireSimulation simulation(settings);
    const auto summary = [&] {
        return settings.name + " batches=" + std::to_string(batches) + " actions=" + std::to_string(actions) +
               " hash=" + hash.hex();
    };
    simulation.run([&](const std::string& reply) {
        ++batches;
        actions += static_cast<std::uint64_t>(std::count(reply.begin(), reply.end(), '\n')) - 1;
        hash.add(reply);
        if (batches % kBatchesPerLine == 0) lines.push_back(summary());
    });
    lines.push_back(summary());
    for (const auto& [name, count] : simulation.inputKinds())
        lines.push_back(settings.name + " input " + name + " " + std::to_string(count));
    for (const auto& [name, count] : simulation.actionKinds())
        lines.push_back(settings.name + " action " + name + " " + std::to_string(count));
    return lines;
}

TEST(GoldenTrace, RepliesMatchTheGoldenFile) {
    std::vector<std::string> lines;
    for (const auto& settings : kScenarios)
        for (const auto& line : trace(settings))
            lines.push_back(line);
    EXPECT_EQ(differenceFromGoldenFile("golden_trace.txt", lines), "");
}

}  // namespace
