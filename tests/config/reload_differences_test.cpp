// Which differences between two configurations need a restart.
#include "config/reload_differences.h"

#include "config_test_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

TEST_CASE("reload: equal configurations have no differences") {
    const auto config = testConfig();
    CHECK(config::fieldsNeedingRestart(config, config) == "");
}

TEST_CASE("reload: fields that a running program can change need no restart") {
    const auto running = testConfig();
    auto reloaded = running;
    reloaded.settings.seed += 1;
    reloaded.discovery.port += 1;
    reloaded.peers.push_back({"127.0.0.1", 9});
    reloaded.maxDescriptors += 1;
    CHECK(config::fieldsNeedingRestart(running, reloaded) == "");
}

TEST_CASE("reload: fields that need a restart have their names in the file") {
    const auto running = testConfig();
    auto reloaded = running;
    reloaded.name = "other";
    reloaded.adminListen.port += 1;
    reloaded.memoryMb += 1;
    reloaded.connIdleUs += 1;
    CHECK(config::fieldsNeedingRestart(running, reloaded) == "name, mgmt, limits.memory_mb, settings");
}
