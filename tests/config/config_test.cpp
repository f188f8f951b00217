// Configuration and endpoint lists: what is accepted, what is rejected, and which field the error names.
#include "config/config.h"

#include <doctest/doctest.h>

#include "config/operator.h"

using namespace wingproxy;

namespace {

std::string configText() {
    return config::readFile(std::string(WINGPROXY_SOURCE) + "/tests/support/config.json");
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

template <typename F>
std::string complaint(F&& f) {
    try {
        f();
    } catch (const config::ConfigError& bad) {
        return bad.what();
    }
    return "";
}

}  // namespace

TEST_CASE("config: each bad field is named") {
    CHECK(complaint([] { config::parseConfig(configText()); }) == "");
    const struct {
        const char *from, *to, *names;
    } cases[] = {
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
    for (const auto& c : cases) {
        const auto what = complaint([&] { config::parseConfig(replaced(configText(), c.from, c.to)); });
        CHECK_MESSAGE(what.find(c.names) == 0, what);
        CHECK(what.find('\n') == std::string::npos);
    }
}

TEST_CASE("config: the values that the module must get") {
    const auto c = config::parseConfig(configText());
    CHECK(c.settings.seed == 0x8c1f30d27a5be964ull);
    CHECK(c.settings.classes[1].retrySafety == RetrySafety::IdempotentWithKey);
    CHECK(c.settings.classes[1].keyScope == KeyScope::Cell);
    CHECK(c.settings.classes[1].writes);
    CHECK(c.settings.plans[0].limitSlack == 6);
    CHECK(c.settings.pollsEndpointList);
    CHECK(c.cachedEndpoints.list.kind == EndpointListKind::Cached);  // old knowledge, however complete it was
}

TEST_CASE("discovery's list") {
    const std::string entry =
        R"({"instanceId":"s-1","hostPort":"127.0.0.1:80","zone":"z","cell":3,"lifecycle":"draining","weight":1.5,"startedAtMs":7})";
    const auto list = [](const std::string& entries) {
        return R"({"generation":9,"reset":false,"instances":[)" + entries + "]}";
    };
    const auto hosts = config::parseEndpointListing(list(entry));
    CHECK(hosts.list.kind == EndpointListKind::Delta);
    CHECK(hosts.list.version == 9);
    CHECK(hosts.list.nodes[0].state == NodeState::Draining);
    CHECK(hosts.list.nodes[0].rating == 1.5);
    CHECK(hosts.list.nodes[0].startedUs == 7000);
    CHECK(hosts.addresses[0] == config::Endpoint{"127.0.0.1", 80});
    for (const char* bad : {"", "[]", "{}", R"({"generation":1,"instances":[{}]})", "{\"generation\":1}"})
        CHECK(complaint([&] { config::parseEndpointListing(bad); }) != "");
    CHECK(complaint([&] {
              config::parseEndpointListing(list(replaced(entry, "draining", "asleep")));
          }).find("lifecycle") != std::string::npos);
    CHECK(complaint([&] {
              config::parseEndpointListing(list(replaced(entry, "\"cell\":3", "\"cell\":-3")));
          }).find("cell") != std::string::npos);
}

TEST_CASE("the operator's file: each bad field is named") {
    const auto settings = config::parseConfig(configText()).settings;
    const std::string good =
        R"({"rsync":{"listen":"127.0.0.1:0","modules":[{"name":"m","volume":"v","plan":"basico","cell":1,)"
        R"("pull_class":"lectura","push_class":"alta"}]},"agent":{"listen":"127.0.0.1:0"}})";
    const auto o = config::parseOperatorConfig(good, settings);
    CHECK(o.rsync->modules[0].pushClass == 1);
    CHECK(o.rsync->modules[0].nodeModule == "m");
    CHECK(o.agent.has_value());
    CHECK(!o.health.has_value());
    CHECK(!config::parseOperatorConfig("{}", settings).rsync.has_value());
    const struct {
        const char *from, *to, *names;
    } cases[] = {
        {"\"plan\":\"basico\"", "\"plan\":\"oro\"", "rsync.modules.0.plan"},
        {"\"cell\":1", "\"cell\":4", "rsync.modules.0.cell"},
        {"\"cell\":1,", "", "rsync.modules.0.cell: missing"},
        {"\"name\":\"m\"", "\"name\":\"a/b\"", "rsync.modules.0.name"},
        // A pull may be repeated and a push carries a key: another class would break the rule on resends.
        {"\"pull_class\":\"lectura\"", "\"pull_class\":\"alta\"", "rsync.modules.0.pull_class"},
        {"\"push_class\":\"alta\"", "\"push_class\":\"lectura\"", "rsync.modules.0.push_class"},
        {"\"agent\":{\"listen\":\"127.0.0.1:0\"}", "\"agent\":{\"listen\":\"x\"}", "agent.listen"},
    };
    for (const auto& c : cases) {
        const auto what =
            complaint([&] { config::parseOperatorConfig(replaced(good, c.from, c.to), settings); });
        CHECK_MESSAGE(what.find(c.names) == 0, what);
    }
    const auto example = config::readFile(std::string(WINGPROXY_SOURCE) + "/deploy/operator.example.json");
    CHECK(complaint([&] {
              auto wide = settings;
              wide.classes.push_back({"exportacion"});
              config::parseOperatorConfig(example, wide);
          }) == "");
}
