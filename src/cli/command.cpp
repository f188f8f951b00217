#include "cli/command.h"

#include <CLI/CLI.hpp>
#include <array>
#include <cstdlib>

namespace wingproxy::cli {
namespace {

using Kind = admin::AdminRequest::Kind;

struct AdminCommandSpec {
    Kind kind;
    const char* name;
    const char* help;
};
constexpr std::array<AdminCommandSpec, 4> kAdminCommands{
    {{Kind::CheckReadiness, "ready", "check whether the running front accepts requests"},
     {Kind::ReadMetrics, "vars", "print the running front's metrics as JSON"},
     {Kind::DrainNode, "detach", "drain a chunk server until it is attached again"},
     {Kind::UndrainNode, "attach", "end the drain of a chunk server"}}};

void addOptions(CLI::App& app, CommandOptions& options) {
    app.set_version_flag("--version", "wingproxy " WINGPROXY_VERSION);
    app.add_option("--config", options.configPath, "configuration file, JSON")->envname("PROXY_CONFIG");
    app.add_option("--operator", options.operatorConfigPath, "operator's configuration file, JSON")
        ->envname("WINGPROXY_OPERATOR");
    app.add_option("--mgmt", options.adminAddress,
                   "ADDRESS:PORT of the operators' interface, if the configuration has none")
        ->envname("PROXY_MGMT");
    app.add_option("--log", options.logLevel, "lowest level that is logged: debug, info, warn or error")
        ->envname("WINGPROXY_LOG")
        ->default_str("info");
}

void addAdminCommands(CLI::App& app, std::string& nodeId) {
    for (const auto& spec : kAdminCommands) {
        auto* const command = app.add_subcommand(spec.name, spec.help);
        if (admin::requiresNodeId(spec.kind))
            command->add_option("ID", nodeId, "the chunk server's id, as discovery names it")->required();
    }
}

}  // namespace

Command parseCommandLine(int argc, const char* const* argv) {
    CLI::App app{
        "wingproxy, a gateway to storage nodes. Without a command it serves until SIGTERM.\n"
        "Exit codes: 0 success, 1 the front rejected the request, 2 wrong command line or file, "
        "3 no response from a front.",
        "wingproxy"};
    app.require_subcommand(0, 1);
    app.fallthrough();  // options may precede or follow the command
    CommandOptions options;
    std::string nodeId;
    addOptions(app, options);
    const auto* const check = app.add_subcommand("check", "read both files without starting anything");
    addAdminCommands(app, nodeId);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return ExitCommand{app.exit(error) == 0 ? kExitOk : kExitUsage};
    }
    if (const char* const inherited = std::getenv("PROXY_FD")) options.listenerDescriptor = inherited;
    if (check->parsed()) return CheckCommand{options};
    for (const auto& spec : kAdminCommands)
        if (app.get_subcommand(spec.name)->parsed()) return AdminCommand{options, {spec.kind, nodeId}};
    return RunCommand{options};
}

}  // namespace wingproxy::cli
