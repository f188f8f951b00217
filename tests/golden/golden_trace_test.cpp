// The whole program behind the simulator's wire: simulated clusters give it the same input from the same
// seed, and every byte of its replies must be what the version gave that wrote golden_trace.txt.
//
// How the file is written anew stands in golden_file.h.
#include <gtest/gtest.h>

#include "golden/wire_simulation.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

constexpr std::uint64_t kBatchesPerLine = 100;

std::vector<SimulationSettings> scenarios() {
    SimulationSettings four;
    four.name = "four_hosts";
    four.seed = 20261201;
    four.duration = 64'000'000;
    SimulationSettings ten;
    ten.name = "ten_hosts_list_on_request";
    ten.seed = 7;
    ten.hosts = 10;
    ten.duration = 24'000'000;
    ten.pollsEndpointList = true;
    ten.mayCheckHealth = false;
    ten.hasRetryBudget = false;
    SimulationSettings one;
    one.name = "one_host_without_cancel";
    one.seed = 11;
    one.hosts = 1;
    one.duration = 30'000'000;
    one.mayCancel = false;
    one.arrivalGap = 6'000;
    // Nodes so slow that a queue of any length is too long: the shares of the volumes are contended.
    SimulationSettings slow;
    slow.name = "two_hosts_slow_nodes";
    slow.seed = 5;
    slow.hosts = 2;
    slow.duration = 30'000'000;
    slow.serviceTime = 40'000;
    slow.arrivalGap = 8'000;
    slow.quietVolumes = 120;
    // Nodes with room for many requests at once, and no time to answer in.
    SimulationSettings wide;
    wide.name = "one_host_without_aims";
    wide.seed = 3;
    wide.hosts = 1;
    wide.duration = 16'000'000;
    wide.classesHaveAims = false;
    wide.lanes = 60;
    wide.serviceTime = 50'000;
    wide.serviceJitterPercent = 3;
    wide.arrivalGap = 2'000;
    wide.newObjectPercent = 100;
    // Only new objects and little load: a cell whose nodes failed is avoided until that is forgotten.
    SimulationSettings calm;
    calm.name = "one_host_new_objects";
    calm.seed = 17;
    calm.hosts = 1;
    calm.duration = 12'000'000;
    calm.arrivalGap = 8'000;
    calm.newObjectPercent = 100;
    // So many volumes at once that what is told of them needs several messages.
    SimulationSettings many;
    many.name = "two_hosts_many_volumes";
    many.seed = 23;
    many.hosts = 2;
    many.duration = 5'000'000;
    many.arrivalGap = 800;
    many.quietVolumes = 400;
    return {four, ten, one, slow, wide, calm, many};
}

/// One line for every hundred batches, then what occurred how often.
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

TEST(GoldenTrace, RepliesAreThoseOfTheVersionThatWroteTheFile) {
    std::vector<std::string> lines;
    for (const auto& settings : scenarios())
        for (const auto& line : trace(settings))
            lines.push_back(line);
    EXPECT_EQ(differenceFromGoldenFile("golden_trace.txt", lines), "");
}

}  // namespace
