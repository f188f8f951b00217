// Reading the configuration again: what is applied, and what a wrong file leaves as it was.
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
struct Reloading {
    Reloading() {
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
    std::string applyFailure;  ///< thrown by the next application, unless empty
    app::ConfigReload reloader{path(), atStart,
                               [this](const config::Config& fresh) {
                                   if (!applyFailure.empty()) throw std::runtime_error(applyFailure);
                                   applied.push_back(fresh);
                               },
                               logger};
};

}  // namespace

TEST_CASE("reload: the new file is applied, counted and logged") {
    Reloading reloading;
    reloading.replace(R"("discovery":"127.0.0.1:1")", R"("discovery":"127.0.0.1:2")");
    reloading.reload();
    REQUIRE(reloading.applied.size() == 1);
    CHECK(reloading.applied[0].discovery.port == 2);
    CHECK(reloading.reloader.counters().applied == 1);
    CHECK(reloading.reloader.counters().rejected == 0);
    CHECK(reloading.logged() == "info: reloaded: discovery at 127.0.0.1:2, 0 peers, 1024 descriptors\n");
}

TEST_CASE("reload: fields that only a restart changes are named, each time that they differ from the start") {
    Reloading reloading;
    reloading.replace(R"("n0")", R"("n9")");
    reloading.reload();
    reloading.reload();
    const std::string line =
        "info: reloaded: discovery at 127.0.0.1:1, 0 peers, 1024 descriptors; only a restart changes name\n";
    CHECK(reloading.logged() == line + line);
}

TEST_CASE("reload: a wrong file is not applied") {
    Reloading reloading;
    reloading.write(R"({"name":"n0"})");
    reloading.reload();
    CHECK(reloading.applied.empty());
    CHECK(reloading.reloader.counters().applied == 0);
    CHECK(reloading.reloader.counters().rejected == 1);
    CHECK(reloading.logged() == "error: reload: listen: missing; the old values stay\n");
}

TEST_CASE("reload: a file that is gone is a wrong one") {
    Reloading reloading;
    std::filesystem::remove(reloading.path());
    reloading.reload();
    CHECK(reloading.applied.empty());
    CHECK(reloading.reloader.counters().rejected == 1);
}

TEST_CASE("reload: a value that cannot be applied counts as a wrong file") {
    Reloading reloading;
    reloading.applyFailure = "peers: no such address";
    reloading.reload();
    CHECK(reloading.reloader.counters().applied == 0);
    CHECK(reloading.reloader.counters().rejected == 1);
    CHECK(reloading.logged() == "error: reload: peers: no such address; the old values stay\n");
}

TEST_CASE("reload: a right file after a wrong one is applied") {
    Reloading reloading;
    reloading.write("{}");
    reloading.reload();
    reloading.write(reloading.text);
    reloading.reload();
    CHECK(reloading.applied.size() == 1);
    CHECK(reloading.reloader.counters().applied == 1);
    CHECK(reloading.reloader.counters().rejected == 1);
}
