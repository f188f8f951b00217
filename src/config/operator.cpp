#include "config/operator.h"

#include <algorithm>

#include "config/json.h"

namespace wingproxy::config {
namespace {

// The class a direction runs as: it must allow what a transfer of that direction may need.
int classFrom(const Node& at, std::string_view key, const Settings& settings, RetrySafety needed,
              std::string_view kind) {
    if (!at.has(key)) return -1;
    const auto name = at.text(key);
    const int index = indexOf(settings.classes, name);
    if (index < 0) at.bad(key, fmt::format("unknown class '{}'", name));
    if (settings.classes[std::size_t(index)].retrySafety != needed)
        at.bad(key, fmt::format("'{}' is not a {} class", name, kind));
    return index;
}

RsyncModule moduleFrom(const Node& at, const Settings& settings) {
    RsyncModule m;
    m.name = at.text("name");
    if (m.name.empty() || m.name.find_first_of("/ \t\r\n#@") != std::string::npos)
        at.bad("name", "not a module's name");
    at.text("comment", m.comment);
    m.nodeModule = m.name;
    at.text("node_module", m.nodeModule);
    m.volume = at.text("volume");
    if (m.volume.empty()) at.bad("volume", "empty");
    const auto plan = at.text("plan");
    m.plan = indexOf(settings.plans, plan);
    if (m.plan < 0) at.bad("plan", fmt::format("unknown plan '{}'", plan));
    m.cell = int(at.real("cell"));
    if (m.cell < 0 || (settings.cellCount > 0 && m.cell >= settings.cellCount))
        at.bad("cell", "no such cell");
    at.number("hosts", m.hosts);
    if (m.hosts < 1) at.bad("hosts", "below 1");
    at.number("units", m.units);
    if (!(m.units > 0)) at.bad("units", "not above 0");
    Micros deadlineMs = 60'000;
    at.number("deadline_ms", deadlineMs);
    if (deadlineMs <= 0) at.bad("deadline_ms", "not above 0");
    m.deadlineUs = deadlineMs * 1000;
    m.pullClass = classFrom(at, "pull_class", settings, RetrySafety::Idempotent, "repeatable");
    m.pushClass = classFrom(at, "push_class", settings, RetrySafety::IdempotentWithKey, "keyed");
    if (m.pullClass < 0 && m.pushClass < 0) at.bad("pull_class", "missing, and so is push_class");
    return m;
}

}  // namespace

OperatorConfig parseOperatorConfig(std::string_view json, const Settings& settings) {
    simdjson::dom::parser parser;
    const Node root = rootOf(parser, json, "operator file");
    OperatorConfig o;
    const auto endpoint = [](const Node& at) {
        return parseEndpoint(at.text("listen"), at.pathOf("listen"));
    };
    if (root.has("rsync")) {
        const auto at = root.child("rsync");
        RsyncFront r;
        r.listen = endpoint(at);
        int port = 0;
        at.number("node_port", port);
        if (port < 0 || port > 65535) at.bad("node_port", "not a port");
        r.nodePort = static_cast<std::uint16_t>(port);
        at.text("motd", r.motd);
        for (const auto& module : at.objects("modules"))
            r.modules.push_back(moduleFrom(module, settings));
        for (std::size_t i = 0; i < r.modules.size(); ++i)
            for (std::size_t j = 0; j < i; ++j)
                if (r.modules[i].name == r.modules[j].name)
                    at.bad(fmt::format("modules.{}.name", i), "given twice");
        o.rsync = std::move(r);
    }
    if (root.has("health")) o.health = endpoint(root.child("health"));
    if (root.has("agent")) o.agent = endpoint(root.child("agent"));
    return o;
}

}  // namespace wingproxy::config
