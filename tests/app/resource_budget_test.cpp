// The division of descriptors and memory between clients and nodes.
#include "app/resource_budget.h"

#include <doctest/doctest.h>
#include <sys/resource.h>

#include "net/ring_buffer.h"

using namespace wingproxy;
using app::divideResources;

namespace {

constexpr int kReserved = 48;  // 24 of the process itself, and as many admin clients

app::ResourceBudget divide(int connections, int memoryMb = 192, bool rsync = false) {
    return divideResources({connections + kReserved, memoryMb, rsync});
}

}  // namespace

TEST_CASE("resource budget: three fifths of the connections are for clients, two fifths for nodes") {
    const auto budget = divide(1000);
    CHECK(budget.httpClients == 600);
    CHECK(budget.httpNodes == 400);
    CHECK(budget.rsyncClients == 0);
    CHECK(budget.rsyncNodes == 0);
}

TEST_CASE("resource budget: the rsync front takes a quarter of the clients and of the nodes") {
    const auto budget = divide(1000, 192, true);
    CHECK(budget.httpClients == 450);
    CHECK(budget.rsyncClients == 150);
    CHECK(budget.httpNodes == 300);
    CHECK(budget.rsyncNodes == 100);
}

TEST_CASE("resource budget: the sum of all connections never exceeds the descriptors left for them") {
    for (int connections = 10; connections < 300; ++connections) {
        for (const bool rsync : {false, true}) {
            const auto budget = divide(connections, 192, rsync);
            CHECK(budget.httpClients + budget.httpNodes + budget.rsyncClients + budget.rsyncNodes <=
                  static_cast<std::size_t>(connections));
        }
    }
}

TEST_CASE("resource budget: with too few descriptors there are still ten connections") {
    for (const int descriptors : {0, kReserved, kReserved + 9}) {
        const auto budget = divideResources({descriptors, 192, false});
        CHECK(budget.httpClients == 6);
        CHECK(budget.httpNodes == 4);
    }
}

TEST_CASE("resource budget: a quarter of the memory is for two rings of each connection") {
    const std::size_t quarter = std::size_t(64) * 1024 * 1024 / 4;
    CHECK(divide(1000, 64).ringBytes == quarter / 2000);
}

TEST_CASE("resource budget: ring buffers stay within their bounds") {
    CHECK(divide(1000, 1).ringBytes == net::kMinRingBytes);
    CHECK(divide(10, 4096).ringBytes == net::kMaxRingBytes);
}

TEST_CASE("resource budget: the system's descriptor limit bounds the configured number") {
    rlimit limit{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
    REQUIRE(limit.rlim_cur != RLIM_INFINITY);
    const int systemLimit = static_cast<int>(limit.rlim_cur);
    CHECK(app::availableDescriptors(systemLimit - 1) == systemLimit - 1);
    CHECK(app::availableDescriptors(systemLimit + 1) == systemLimit);
}

// Guards against a process that is killed for its memory: with few MiB and many descriptors, connections
// alone took more than their part.
TEST_CASE("resource budget: program, tables, connections and messages together fit into the memory") {
    constexpr std::size_t kMiB = std::size_t{1024} * 1024;
    constexpr std::size_t kConnectionBytes = 2048;
    for (const int memoryMb : {16, 24, 32, 64, 192}) {
        for (const int descriptors : {128, 256, 512, 1024}) {
            CAPTURE(memoryMb);
            CAPTURE(descriptors);
            const auto budget = divideResources({descriptors, memoryMb, false});
            const auto memory = std::size_t(memoryMb) * kMiB;
            const auto connections = budget.httpClients + budget.httpNodes;
            CHECK(6 * kMiB + memory / 10 + connections * (budget.ringBytes + kConnectionBytes) +
                      budget.bodyBytes + budget.headBytes <=
                  memory);
            CHECK(budget.bodyBytes >= 2 * kMiB);
            CHECK(budget.headBytes >= kMiB / 2);
        }
    }
}
