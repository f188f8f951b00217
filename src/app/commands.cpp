#include "app/commands.h"

#include <fmt/format.h>

#include <cstdio>
#include <string>

#include "admin/admin_client.h"
#include "app/proxy.h"
#include "config/config.h"
#include "config/operator_config.h"

namespace wingproxy::app {
namespace {

constexpr int kSuccessStatusClass = 2;  // HTTP 2xx

/// The contents of both configuration files.
struct Configuration {
    config::Config proxy;
    config::OperatorConfig operatorConfig;
};

/// `config::applyEnvironment` expects null for a variable that is not set.
const char* nullIfEmpty(const std::string& text) { return text.empty() ? nullptr : text.c_str(); }

config::Config readProxyConfig(const cli::CommandOptions& options) {
    if (options.configPath.empty()) throw config::ConfigError("PROXY_CONFIG", "not set, and no --config");
    auto config = config::parseConfig(config::readFile(options.configPath));
    config::applyEnvironment(config, nullIfEmpty(options.adminAddress),
                             nullIfEmpty(options.listenerDescriptor));
    return config;
}

Configuration readConfiguration(const cli::CommandOptions& options) {
    Configuration configuration{readProxyConfig(options), {}};
    if (!options.operatorConfigPath.empty()) {
        configuration.operatorConfig = config::parseOperatorConfig(
            config::readFile(options.operatorConfigPath), configuration.proxy.settings);
    }
    return configuration;
}

/// The admin address of the running gateway. The configuration file is read only if neither --mgmt nor the
/// environment gives the address.
config::Endpoint adminEndpoint(const cli::CommandOptions& options) {
    if (!options.adminAddress.empty()) return config::parseEndpoint(options.adminAddress, "mgmt");
    config::Endpoint endpoint = readProxyConfig(options).adminListen;
    if (endpoint.port == 0)
        throw config::ConfigError("mgmt", "set neither in the configuration nor by --mgmt");
    return endpoint;
}

int executeCommand(const cli::RunCommand& command, log::Logger& logger) {
    const auto configuration = readConfiguration(command.options);
    Proxy(command.options.configPath, configuration.proxy, configuration.operatorConfig, logger).run();
    return cli::kExitOk;
}

int executeCommand(const cli::CheckCommand& command, log::Logger&) {
    const config::Config config = readConfiguration(command.options).proxy;
    fmt::print("good: {} at {}:{}, {} peers, {} known nodes{}\n", config.name, config.listen.host,
               config.listen.port, config.peers.size(), config.cachedEndpoints.list.nodes.size(),
               command.options.operatorConfigPath.empty() ? ", no operator's file" : "");
    return cli::kExitOk;
}

int executeCommand(const cli::AdminCommand& command, log::Logger& logger) {
    const config::Endpoint endpoint = adminEndpoint(command.options);
    const auto result = admin::sendAdminRequest(endpoint, command.request);
    if (const auto* const error = std::get_if<admin::AdminClientError>(&result)) {
        logger.error("no response from a front at {}:{}: {}", endpoint.host, endpoint.port,
                     admin::describe(*error));
        return cli::kExitUnreachable;
    }
    const auto& response = std::get<admin::AdminResponse>(result);
    const bool succeeded = response.status / 100 == kSuccessStatusClass;
    fmt::print(succeeded ? stdout : stderr, "{}", response.body);
    return succeeded ? cli::kExitOk : cli::kExitRejected;
}

int executeCommand(const cli::ExitCommand& command, log::Logger&) { return command.code; }

template <typename Command>
std::string logLevelName(const Command& command) {
    return command.options.logLevel;
}
std::string logLevelName(const cli::ExitCommand&) { return {}; }

}  // namespace

int execute(const cli::Command& command, log::Logger& logger) {
    return std::visit([&](const auto& c) { return executeCommand(c, logger); }, command);
}

log::Level logLevelOf(const cli::Command& command) {
    const std::string name = std::visit([](const auto& c) { return logLevelName(c); }, command);
    return log::parseLevel(name.empty() ? "info" : name);
}

}  // namespace wingproxy::app
