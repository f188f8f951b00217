// Parsing of the command line and the environment.
#include "cli/command.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <map>
#include <optional>
#include <vector>

using namespace wingproxy;
using admin::AdminRequest;

namespace {

/// Clears the environment variables that parseCommandLine() reads, and restores them on destruction.
class CleanEnvironment {
public:
    CleanEnvironment() {
        for (const char* name :
             {"PROXY_CONFIG", "WINGPROXY_OPERATOR", "PROXY_MGMT", "WINGPROXY_LOG", "PROXY_FD"}) {
            const char* const value = std::getenv(name);
            saved_[name] = value ? std::optional<std::string>(value) : std::nullopt;
            unsetenv(name);
        }
    }
    ~CleanEnvironment() {
        for (const auto& [name, value] : saved_) {
            if (value)
                setenv(name.c_str(), value->c_str(), 1);
            else
                unsetenv(name.c_str());
        }
    }
    CleanEnvironment(const CleanEnvironment&) = delete;
    CleanEnvironment& operator=(const CleanEnvironment&) = delete;

private:
    std::map<std::string, std::optional<std::string>> saved_;
};

cli::Command parse(std::vector<const char*> arguments) {
    arguments.insert(arguments.begin(), "wingproxy");
    return cli::parseCommandLine(static_cast<int>(arguments.size()), arguments.data());
}

}  // namespace

TEST_CASE("command: without a command the result is RunCommand") {
    const CleanEnvironment environment;
    const auto command = std::get<cli::RunCommand>(parse({"--config", "a.json", "--log", "warn"}));
    CHECK(command.options.configPath == "a.json");
    CHECK(command.options.logLevel == "warn");
    CHECK(command.options.operatorConfigPath.empty());
}

TEST_CASE("command: options may precede or follow the command") {
    const CleanEnvironment environment;
    CHECK(std::get<cli::CheckCommand>(parse({"--config", "a.json", "check"})).options.configPath == "a.json");
    CHECK(std::get<cli::CheckCommand>(parse({"check", "--config", "a.json"})).options.configPath == "a.json");
}

TEST_CASE("command: the environment supplies the values of missing options") {
    const CleanEnvironment environment;
    setenv("PROXY_CONFIG", "environment.json", 1);
    setenv("WINGPROXY_OPERATOR", "operator.json", 1);
    setenv("PROXY_MGMT", "127.0.0.1:9", 1);
    setenv("WINGPROXY_LOG", "debug", 1);
    setenv("PROXY_FD", "7", 1);
    const auto command = std::get<cli::RunCommand>(parse({"--config", "option.json"}));
    CHECK(command.options.configPath == "option.json");
    CHECK(command.options.operatorConfigPath == "operator.json");
    CHECK(command.options.adminAddress == "127.0.0.1:9");
    CHECK(command.options.logLevel == "debug");
    CHECK(command.options.listenerDescriptor == "7");
}

TEST_CASE("command: each admin command is parsed into its request") {
    const CleanEnvironment environment;
    const auto requestOf = [](std::vector<const char*> arguments) {
        return std::get<cli::AdminCommand>(parse(std::move(arguments))).request;
    };
    CHECK(requestOf({"ready"}).kind == AdminRequest::Kind::CheckReadiness);
    CHECK(requestOf({"vars"}).kind == AdminRequest::Kind::ReadMetrics);
    CHECK(requestOf({"detach", "s-1"}).kind == AdminRequest::Kind::DrainNode);
    CHECK(requestOf({"detach", "s-1"}).nodeId == "s-1");
    CHECK(requestOf({"attach", "s-1"}).kind == AdminRequest::Kind::UndrainNode);
}
