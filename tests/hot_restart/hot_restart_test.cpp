// Which process serves, and which state it leaves to the next: two `HotRestart` objects in one process, with
// the same folder.
#include "hot_restart/hot_restart.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>

#include "hot_restart/atomic_file.h"
#include "hot_restart/checked_file.h"
#include "net/clock.h"
#include "support/captured_log.h"
#include "support/temporary_folder.h"

using namespace wingproxy;
using namespace wingproxy::hot_restart;
using Role = HotRestart::Role;

namespace {

/// Stands for one process of the gateway.
struct Instance {
    Instance(boost::asio::io_context& io, const test::TemporaryFolder& folder, log::Logger& logger)
        : hotRestart(std::make_unique<HotRestart>(io, folder.path(), "n0", logger)) {}
    void start() {
        hotRestart->start([this](std::optional<Snapshot> snapshot) {
            ++takeOvers;
            received = std::move(snapshot);
        });
    }
    /// Releases the locks, as the kernel does when a process dies.
    void die() { hotRestart.reset(); }

    std::unique_ptr<HotRestart> hotRestart;
    int takeOvers = 0;
    std::optional<Snapshot> received;
};

struct TwoInstances {
    void waitUntil(const std::function<bool()>& condition) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(15);
        while (!condition() && std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds(50));
        REQUIRE(condition());
    }
    void startBoth() {
        first.start();
        second.start();
    }
    void waitUntilTakenOver() {
        waitUntil([this] { return second.takeOvers > 0; });
    }
    [[nodiscard]] static Snapshot snapshot() {
        Snapshot taken;
        taken.gatewayName = "n0";
        taken.takenAt = net::Clock().now();
        taken.openRequestIds = {"0000000000000001"};
        return taken;
    }

    test::TemporaryFolder folder;
    boost::asio::io_context io;
    test::CapturedLog log;
    log::Logger logger{log::Level::Warn, log.stream()};
    Instance first{io, folder, logger};
    Instance second{io, folder, logger};
};

const core::AdminOverrides kDrained{{"s-0", {true, 1}}};
const core::AdminOverrides kAttached{{"s-0", {false, 2}}};

}  // namespace

TEST_CASE("hot restart: the first process serves, and its handler is not called") {
    TwoInstances both;
    both.first.start();
    CHECK(both.first.hotRestart->role() == Role::First);
    CHECK(both.first.takeOvers == 0);
}

TEST_CASE("hot restart: a second process waits as the successor") {
    TwoInstances both;
    both.startBoth();
    CHECK(both.second.hotRestart->role() == Role::Successor);
    CHECK(both.second.takeOvers == 0);
    CHECK(both.first.hotRestart->successorWaits());
}

TEST_CASE("hot restart: a process that runs alone does not share the limits") {
    TwoInstances both;
    both.first.start();
    CHECK(!both.first.hotRestart->anotherProcessRuns());
    CHECK(!both.first.hotRestart->successorWaits());
}

TEST_CASE("hot restart: while a successor waits, both processes share the limits") {
    TwoInstances both;
    both.startBoth();
    CHECK(both.first.hotRestart->anotherProcessRuns());
    CHECK(both.second.hotRestart->anotherProcessRuns());
}

TEST_CASE("hot restart: a transfer gives the snapshot to the successor, once") {
    TwoInstances both;
    both.startBoth();
    both.first.hotRestart->transfer(TwoInstances::snapshot());
    CHECK(both.first.hotRestart->role() == Role::Transferred);
    CHECK(both.first.hotRestart->counters().transferred == 1);
    both.waitUntilTakenOver();
    CHECK(both.second.hotRestart->role() == Role::Serving);
    REQUIRE(both.second.received);
    CHECK(both.second.received->openRequestIds == std::vector<std::string>{"0000000000000001"});
    CHECK(both.second.hotRestart->counters().restored == 1);
    CHECK(!std::filesystem::exists(both.folder.file("wingproxy.snapshot")));
}

TEST_CASE("hot restart: the limits are shared until the old process has ended") {
    TwoInstances both;
    both.startBoth();
    both.first.hotRestart->transfer(TwoInstances::snapshot());
    both.waitUntilTakenOver();
    CHECK(both.first.hotRestart->anotherProcessRuns());
    CHECK(both.second.hotRestart->anotherProcessRuns());
    CHECK(!both.second.hotRestart->successorWaits());
    both.first.die();
    CHECK(!both.second.hotRestart->anotherProcessRuns());
}

TEST_CASE("hot restart: the successor of a process that died serves without a snapshot") {
    TwoInstances both;
    both.startBoth();
    both.first.die();
    both.waitUntilTakenOver();
    CHECK(both.second.hotRestart->role() == Role::Serving);
    CHECK(!both.second.received);
    CHECK(both.second.hotRestart->counters().restored == 0);
    CHECK(both.second.hotRestart->counters().rejected == 0);
}

TEST_CASE("hot restart: a snapshot that does not decode is rejected and removed") {
    TwoInstances both;
    both.startBoth();
    REQUIRE(writeFileAtomically(both.folder.file("wingproxy.snapshot"), "WPS1 incomplete"));
    both.first.die();
    both.waitUntilTakenOver();
    CHECK(!both.second.received);
    CHECK(both.second.hotRestart->counters().rejected == 1);
    CHECK(!std::filesystem::exists(both.folder.file("wingproxy.snapshot")));
}

TEST_CASE("hot restart: the log names the other gateway whose snapshot is rejected") {
    TwoInstances both;
    both.startBoth();
    Snapshot foreign = TwoInstances::snapshot();
    foreign.gatewayName = "n1";
    both.first.hotRestart->transfer(foreign);
    both.waitUntilTakenOver();
    CHECK(!both.second.received);
    CHECK(both.second.hotRestart->counters().rejected == 1);
    CHECK(both.log.text() ==
          "warn: hot restart: snapshot rejected, of another gateway, n1; starting as after a crash\n");
}

TEST_CASE("hot restart: the log has the archive's error if a snapshot's payload is not readable") {
    TwoInstances both;
    both.startBoth();
    REQUIRE(writeFileAtomically(both.folder.file("wingproxy.snapshot"), encodeCheckedFile("WPS1", "short")));
    both.first.die();
    both.waitUntilTakenOver();
    CHECK(both.second.hotRestart->counters().rejected == 1);
    CHECK(both.log.text().starts_with(
        "warn: hot restart: snapshot rejected, payload not readable, Failed to read "));
}

TEST_CASE("hot restart: of two successors the second waits for the first") {
    TwoInstances both;
    Instance third(both.io, both.folder, both.logger);
    both.startBoth();
    third.start();
    both.first.hotRestart->transfer(TwoInstances::snapshot());
    both.waitUntilTakenOver();
    CHECK(third.takeOvers == 0);
    both.first.die();
    both.second.hotRestart->transfer(TwoInstances::snapshot());
    both.waitUntil([&] { return third.takeOvers > 0; });
    CHECK(third.received);
}

TEST_CASE("hot restart: a stopped successor does not take over") {
    TwoInstances both;
    both.startBoth();
    both.second.hotRestart->stop();
    both.first.die();
    both.io.run_for(std::chrono::milliseconds(30));
    CHECK(both.second.takeOvers == 0);
    CHECK(both.second.hotRestart->role() == Role::Successor);
}

TEST_CASE(
    "hot restart: a snapshot that cannot be written is counted, and the service is transferred nonetheless") {
    TwoInstances both;
    both.startBoth();
    std::filesystem::create_directory(both.folder.file("wingproxy.snapshot.new"));
    both.first.hotRestart->transfer(TwoInstances::snapshot());
    CHECK(both.first.hotRestart->counters().transferred == 0);
    CHECK(both.first.hotRestart->counters().writeFailures == 1);
    both.waitUntilTakenOver();
    CHECK(!both.second.received);
}

TEST_CASE("overrides exchange: an override that one process received reaches the other") {
    TwoInstances both;
    CHECK(both.first.hotRestart->exchangeOverrides(kDrained) == kDrained);
    CHECK(both.second.hotRestart->exchangeOverrides({}) == kDrained);
    CHECK(both.second.hotRestart->counters().overridesRead == 1);
}

TEST_CASE("overrides exchange: the newest override of a node holds in both processes") {
    TwoInstances both;
    both.first.hotRestart->exchangeOverrides(kDrained);
    CHECK(both.second.hotRestart->exchangeOverrides(kAttached) == kAttached);
    CHECK(both.first.hotRestart->exchangeOverrides(kDrained) == kAttached);
}

TEST_CASE("overrides exchange: a file with nothing new is not decoded again") {
    TwoInstances both;
    both.first.hotRestart->exchangeOverrides(kDrained);
    both.second.hotRestart->exchangeOverrides({});
    CHECK(both.second.hotRestart->exchangeOverrides(kDrained) == kDrained);
    CHECK(both.first.hotRestart->exchangeOverrides(kDrained) == kDrained);
    CHECK(both.second.hotRestart->counters().overridesRead == 1);
    CHECK(both.first.hotRestart->counters().overridesRead == 0);
}

TEST_CASE("overrides exchange: without any override no file is written") {
    TwoInstances both;
    CHECK(both.first.hotRestart->exchangeOverrides({}).empty());
    CHECK(!std::filesystem::exists(both.folder.file("wingproxy.words")));
}

TEST_CASE("overrides exchange: a file that does not decode is rejected and replaced") {
    TwoInstances both;
    REQUIRE(writeFileAtomically(both.folder.file("wingproxy.words"), "damaged"));
    CHECK(both.first.hotRestart->exchangeOverrides(kDrained) == kDrained);
    CHECK(both.first.hotRestart->counters().rejected == 1);
    CHECK(both.second.hotRestart->exchangeOverrides({}) == kDrained);
}

TEST_CASE("overrides exchange: a file that cannot be written is counted") {
    TwoInstances both;
    std::filesystem::create_directory(both.folder.file("wingproxy.words.new"));
    CHECK(both.first.hotRestart->exchangeOverrides(kDrained) == kDrained);
    CHECK(both.first.hotRestart->counters().writeFailures == 1);
}

TEST_CASE("overrides exchange: the log has the archive's error if the file's payload is not readable") {
    TwoInstances both;
    REQUIRE(writeFileAtomically(both.folder.file("wingproxy.words"), encodeCheckedFile("WPW1", "short")));
    CHECK(both.first.hotRestart->exchangeOverrides(kDrained) == kDrained);
    CHECK(both.first.hotRestart->counters().rejected == 1);
    CHECK(both.log.text().starts_with(
        "warn: hot restart: overrides file rejected, payload not readable, Failed to read "));
}
