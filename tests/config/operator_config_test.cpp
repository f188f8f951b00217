// The operator's file: the listeners that it configures, and the field that an error names.
#include "config/operator_config.h"

#include "config_test_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

const std::string kValid =
    R"({"rsync":{"listen":"127.0.0.1:0","modules":[{"name":"m","volume":"v","plan":"basico","cell":1,)"
    R"("pull_class":"lectura","push_class":"alta"}]},"agent":{"listen":"127.0.0.1:0"}})";

Settings validSettings() { return testConfig().settings; }

}  // namespace

TEST_CASE("operator config: the listeners of the file are read") {
    const auto operatorConfig = config::parseOperatorConfig(kValid, validSettings());
    CHECK(operatorConfig.rsync->modules[0].pushClass == ClassIndex(1));
    CHECK(operatorConfig.rsync->modules[0].nodeModule == "m");
    CHECK(operatorConfig.agent.has_value());
    CHECK(!operatorConfig.health.has_value());
}

TEST_CASE("operator config: an empty file has no rsync listener") {
    CHECK(!config::parseOperatorConfig("{}", validSettings()).rsync.has_value());
}

TEST_CASE("operator config: an error begins with the invalid field") {
    const auto settings = validSettings();
    const InvalidChange cases[] = {
        {"\"plan\":\"basico\"", "\"plan\":\"oro\"", "rsync.modules.0.plan"},
        {"\"cell\":1", "\"cell\":4", "rsync.modules.0.cell"},
        {"\"cell\":1,", "", "rsync.modules.0.cell: missing"},
        {"\"name\":\"m\"", "\"name\":\"a/b\"", "rsync.modules.0.name"},
        {"\"agent\":{\"listen\":\"127.0.0.1:0\"}", "\"agent\":{\"listen\":\"x\"}", "agent.listen"},
    };
    checkErrors(kValid, cases, [&](const std::string& json) { config::parseOperatorConfig(json, settings); });
}

TEST_CASE("operator config: a pull needs an idempotent class and a push one with idempotency keys") {
    const auto settings = validSettings();
    const InvalidChange cases[] = {
        {"\"pull_class\":\"lectura\"", "\"pull_class\":\"alta\"", "rsync.modules.0.pull_class"},
        {"\"push_class\":\"alta\"", "\"push_class\":\"lectura\"", "rsync.modules.0.push_class"},
    };
    checkErrors(kValid, cases, [&](const std::string& json) { config::parseOperatorConfig(json, settings); });
}

TEST_CASE("operator config: two modules with the same name are rejected") {
    const std::string secondModule =
        R"({"name":"m","volume":"v","plan":"basico","cell":1,"pull_class":"lectura"},)";
    const auto text = replaced(kValid, "[{", "[" + secondModule + "{");
    CHECK(errorOf([&] { config::parseOperatorConfig(text, validSettings()); }) ==
          "rsync.modules.1.name: duplicate module name 'm'");
}

TEST_CASE("operator config: deploy/operator.example.json is valid") {
    const auto example = config::readFile(std::string(WINGPROXY_SOURCE) + "/deploy/operator.example.json");
    auto settings = validSettings();
    settings.classes.push_back({"exportacion"});
    CHECK(errorOf([&] { config::parseOperatorConfig(example, settings); }) == "");
}
