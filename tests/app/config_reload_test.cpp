// Reload of the configuration: a valid file is applied, an invalid one changes nothing.
#include "app/config_reload.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <vector>

#include "support/captured_log.h"
#include "support/temporary_folder.h"
#include "support/test_config.h"

using namespace wingproxy;

namespace {

/// A configuration file in a folder of its own, and the log of the reloads.
struct ReloadFixture {
    ReloadFixture() {
        write(text);
        atStart = config::parseConfig(text);
    }
    [[nodiscard]] std::string path() const { return folder.file("config.json"); }
    void write(const std::string& content) const { std::ofstream(path()) << content; }
    void replace(const std::string& from, const std::string& to) {
        text = test::replaced(text, from, to);
        write(text);
    }
    void reload() { reloader.reload(); }
    [[nodiscard]] std::string logged() const { return log.text(); }

    test::TemporaryFolder folder;
    std::string text = test::testConfigText();
    config::Config atStart;
    test::CapturedLog log;
    log::Logger logger{log::Level::Info, log.stream()};
    std::vector<config::Config> applied;
    std::string applyFailure;  ///< message of the exception that applying throws; empty: none
    app::ConfigReload reloader{path(), atStart,
                               [this](const config::Config& newConfig) {
                                   if (!applyFailure.empty()) throw std::runtime_error(applyFailure);
                                   applied.push_back(newConfig);
                               },
                               logger};
};

}  // namespace

TEST_CASE("reload: the new file is applied, counted and logged") {
    ReloadFixture fixture;
    fixture.replace(R"("discovery":"127.0.0.1:1")", R"("discovery":"127.0.0.1:2")");
    fixture.reload();
    REQUIRE(fixture.applied.size() == 1);
    CHECK(fixture.applied[0].discovery.port == 2);
    CHECK(fixture.reloader.counters().applied == 1);
    CHECK(fixture.reloader.counters().rejected == 0);
    CHECK(fixture.logged() == "info: reloaded: discovery at 127.0.0.1:2, 0 peers, 1024 descriptors\n");
}

TEST_CASE("reload: fields that need a restart are logged each time that they differ from those at startup") {
    ReloadFixture fixture;
    fixture.replace(R"("n0")", R"("n9")");
    fixture.reload();
    fixture.reload();
    const std::string line =
        "info: reloaded: discovery at 127.0.0.1:1, 0 peers, 1024 descriptors; only a restart changes name\n";
    CHECK(fixture.logged() == line + line);
}

TEST_CASE("reload: an invalid file is not applied") {
    ReloadFixture fixture;
    fixture.write(R"({"name":"n0"})");
    fixture.reload();
    CHECK(fixture.applied.empty());
    CHECK(fixture.reloader.counters().applied == 0);
    CHECK(fixture.reloader.counters().rejected == 1);
    CHECK(fixture.logged() == "error: reload: listen: missing; the old values stay\n");
}

TEST_CASE("reload: a missing file is rejected") {
    ReloadFixture fixture;
    std::filesystem::remove(fixture.path());
    fixture.reload();
    CHECK(fixture.applied.empty());
    CHECK(fixture.reloader.counters().rejected == 1);
}

TEST_CASE("reload: a file whose values cannot be applied is rejected") {
    ReloadFixture fixture;
    fixture.applyFailure = "peers: no such address";
    fixture.reload();
    CHECK(fixture.reloader.counters().applied == 0);
    CHECK(fixture.reloader.counters().rejected == 1);
    CHECK(fixture.logged() == "error: reload: peers: no such address; the old values stay\n");
}

TEST_CASE("reload: a valid file after an invalid one is applied") {
    ReloadFixture fixture;
    fixture.write("{}");
    fixture.reload();
    fixture.write(fixture.text);
    fixture.reload();
    CHECK(fixture.applied.size() == 1);
    CHECK(fixture.reloader.counters().applied == 1);
    CHECK(fixture.reloader.counters().rejected == 1);
}
