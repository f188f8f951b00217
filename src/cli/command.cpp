#include "cli/command.h"

#include <CLI/CLI.hpp>
#include <cstdlib>

namespace wingproxy::cli {

Command parse(int argc, const char* const* argv) {
    CLI::App app{
        "wingproxy, a gateway to storage nodes. Without a command it serves until SIGTERM.\n"
        "Exit codes: 0 done or yes, 1 the front says no, 2 wrong files or words, 3 no front answers.",
        "wingproxy"};
    app.set_version_flag("--version", "wingproxy " WINGPROXY_VERSION);
    app.require_subcommand(0, 1);
    app.fallthrough();  // options may stand before or behind the command
    Files files;
    app.add_option("--config", files.config, "the configuration, JSON")->envname("PROXY_CONFIG");
    app.add_option("--operator", files.operators, "the operator's file, JSON")->envname("WINGPROXY_OPERATOR");
    app.add_option("--mgmt", files.adminListen,
                   "where operators call, ADDRESS:PORT, if the configuration has none")
        ->envname("PROXY_MGMT");
    app.add_option("--log", files.logLevel, "debug, info, warn or error")
        ->envname("WINGPROXY_LOG")
        ->default_str("info");
    auto* const check = app.add_subcommand("check", "read both files, start nothing");
    using Kind = admin::AdminRequest::Kind;
    struct Named {
        CLI::App* app;
        Kind kind;
    };
    std::string node;
    const auto call = [&](const char* name, const char* what, Kind kind) {
        auto* const sub = app.add_subcommand(name, what);
        if (kind == Kind::Detach || kind == Kind::Attach)
            sub->add_option("ID", node, "the chunk server's id, as discovery names it")->required();
        return Named{sub, kind};
    };
    const Named calls[] = {call("ready", "whether the running front serves", Kind::Ready),
                           call("vars", "the running front's metrics", Kind::Vars),
                           call("detach", "leave a chunk server out until it is attached", Kind::Detach),
                           call("attach", "put a chunk server back", Kind::Attach)};
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& said) {
        return ExitCommand{app.exit(said) == 0 ? kExitOk : kExitUsage};
    }
    if (const char* inherited = std::getenv("PROXY_FD")) files.descriptor = inherited;
    if (check->parsed()) return CheckCommand{files};
    for (const auto& named : calls)
        if (named.app->parsed()) return AdminCommand{files, {named.kind, node}};
    return RunCommand{files};
}

}  // namespace wingproxy::cli
