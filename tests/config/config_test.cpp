// The configuration file and the environment: the values that are read, and the field that an error names.
#include "config/config.h"

#include "config_test_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

TEST_CASE("config: a valid file is accepted") {
    CHECK(errorOf([] { config::parseConfig(testConfigText()); }) == "");
}

TEST_CASE("config: an error is one line that begins with the invalid field") {
    const InvalidChange cases[] = {
        {"\"listen\":\"127.0.0.1:0\"", "\"listen\":\"nowhere\"", "listen"},
        {"\"discovery\":\"127.0.0.1:1\",", "", "discovery: missing"},
        {"\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"xyz\"", "seed"},
        {"\"sockets\":1024", "\"sockets\":3", "limits.sockets"},
        {"\"sockets\":1024", "\"sockets\":\"many\"", "limits.sockets"},
        {"\"effect\":\"idempotent\"", "\"effect\":\"maybe\"", "settings.classes.0.effect"},
        {"\"limit\":33.0", "\"limit\":true", "settings.serviceLevels.0.limit"},
        {"\"shards\":4", "\"shards\":-4", "settings.extra.shards"},
        {"\"me\":0", "\"me\":7", "settings.me"},
        {"\"instances\":[]", "\"instances\":[{\"instanceId\":\"a\",\"hostPort\":\"1.2.3:4\"}]",
         "known.instances.0.hostPort"},
        {"\"generation\":1", "\"generation\":\"x\"", "known.generation"},
        {"{\"name\"", "{name", "config"},
    };
    checkErrors(testConfigText(), cases, [](const std::string& json) { config::parseConfig(json); });
}

TEST_CASE("config: the policy's settings are read") {
    const auto config = testConfig();
    CHECK(config.settings.seed == 0x8c1f30d27a5be964ull);
    CHECK(config.settings.classes[1].retrySafety == RetrySafety::IdempotentWithKey);
    CHECK(config.settings.classes[1].keyScope == KeyScope::Cell);
    CHECK(config.settings.classes[1].writes);
    CHECK(config.settings.plans[0].limitSlack == 6);
    CHECK(config.settings.pollsEndpointList);
}

TEST_CASE("config: the endpoint list of an earlier run has the kind Cached, even if it was full") {
    REQUIRE(testConfigText().find("\"reset\":true") != std::string::npos);
    CHECK(testConfig().cachedEndpoints.list.kind == EndpointListKind::Cached);
}

TEST_CASE("config: a missing optional field keeps its default") {
    const auto text =
        replaced(testConfigText(), R"("limits":{"cores":1.0,"memory_mb":192,"sockets":1024},)", "");
    const auto config = config::parseConfig(text);
    CHECK(config.maxDescriptors == config::Config().maxDescriptors);
    CHECK(config.memoryMb == config::Config().memoryMb);
    CHECK(config.adminListen.port == 0);
}

TEST_CASE("config: PROXY_MGMT is used only if the file has no admin address") {
    config::Config config;
    config::applyEnvironment(config, "127.0.0.1:9", nullptr);
    CHECK(config.adminListen == config::Endpoint{"127.0.0.1", 9});
    config::applyEnvironment(config, "127.0.0.1:10", nullptr);
    CHECK(config.adminListen.port == 9);
}

TEST_CASE("config: PROXY_FD must be a descriptor above the standard streams") {
    config::Config config;
    config::applyEnvironment(config, nullptr, "7");
    CHECK(config.inheritedListenerFd == 7);
    for (const char* invalid : {"", "2", "-1", "7x"})
        CHECK(errorOf([&] { config::applyEnvironment(config, nullptr, invalid); }).starts_with("PROXY_FD: "));
}

TEST_CASE("config: the error about an unreadable file names it") {
    CHECK(errorOf([] { config::readFile("/nonexistent.json"); }) == "/nonexistent.json: cannot be read");
}
