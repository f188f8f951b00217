#include "config/operator_config.h"

#include <cstddef>
#include <utility>

#include "config/config.h"
#include "config/json_object.h"

namespace wingproxy::config {
namespace {

/// The retry safety that a class needs to be used for transfers in one direction.
struct TransferRequirement {
    RetrySafety retrySafety;
    std::string_view description;  ///< of a class that meets it, for errors
};
/// A pull only reads, so it may be retried at any time.
constexpr TransferRequirement kPull{RetrySafety::Idempotent, "an idempotent class"};
/// A push is retried with its idempotency key.
constexpr TransferRequirement kPush{RetrySafety::IdempotentWithKey, "a class with idempotency keys"};

ClassIndex readClass(const JsonObject& object, std::string_view key, const Settings& settings,
                     const TransferRequirement& required) {
    if (!object.has(key)) return {};
    const auto name = object.text(key);
    const auto index = indexOf<ClassIndex>(settings.classes, name);
    if (index.isNone()) object.fail(key, fmt::format("unknown class '{}'", name));
    if (settings.classes[index.position()].retrySafety != required.retrySafety)
        object.fail(key, fmt::format("'{}' is not {}", name, required.description));
    return index;
}

PlanIndex readPlan(const JsonObject& object, const Settings& settings) {
    const auto name = object.text("plan");
    const auto index = indexOf<PlanIndex>(settings.plans, name);
    if (index.isNone()) object.fail("plan", fmt::format("unknown plan '{}'", name));
    return index;
}

CellIndex readCell(const JsonObject& object, const Settings& settings) {
    const int cell = static_cast<int>(object.real("cell"));
    if (cell < 0 || (settings.cellCount > 0 && cell >= settings.cellCount))
        object.fail("cell", fmt::format("cell {} does not exist", cell));
    return CellIndex(cell);
}

Micros readDeadline(const JsonObject& object) {
    Micros deadlineUs = 60'000'000;
    object.milliseconds("deadline_ms", deadlineUs);
    if (deadlineUs <= 0) object.fail("deadline_ms", "must be above 0");
    return deadlineUs;
}

void readNames(const JsonObject& object, RsyncModule& module) {
    // In the rsync protocol white space ends a name, "/" begins a path, "#" a command and "@" a response.
    constexpr std::string_view kReservedCharacters = "/ \t\r\n#@";
    module.name = object.text("name");
    if (module.name.empty() || module.name.find_first_of(kReservedCharacters) != std::string::npos)
        object.fail("name", fmt::format("'{}' is not a valid module name", module.name));
    object.text("comment", module.comment);
    module.nodeModule = module.name;
    object.text("node_module", module.nodeModule);
    module.volume = object.text("volume");
    if (module.volume.empty()) object.fail("volume", "must not be empty");
}

RsyncModule readModule(const JsonObject& object, const Settings& settings) {
    RsyncModule module;
    readNames(object, module);
    module.plan = readPlan(object, settings);
    module.cell = readCell(object, settings);
    object.number("hosts", module.hosts);
    if (module.hosts < 1) object.fail("hosts", fmt::format("{} is below 1", module.hosts));
    object.number("units", module.units);
    if (module.units <= 0) object.fail("units", fmt::format("{} is not above 0", module.units));
    module.deadlineUs = readDeadline(object);
    module.pullClass = readClass(object, "pull_class", settings, kPull);
    module.pushClass = readClass(object, "push_class", settings, kPush);
    if (module.pullClass.isNone() && module.pushClass.isNone())
        object.fail("pull_class", "missing, and push_class too: a module needs at least one of them");
    return module;
}

std::uint16_t readPort(const JsonObject& object, std::string_view key) {
    constexpr int kMaxPort = 65'535;
    int port = 0;
    object.number(key, port);
    if (port < 0 || port > kMaxPort) object.fail(key, fmt::format("{} is not a port number", port));
    return static_cast<std::uint16_t>(port);
}

void checkUniqueNames(const JsonObject& rsync, const std::vector<RsyncModule>& modules) {
    for (std::size_t i = 0; i < modules.size(); ++i)
        for (std::size_t j = 0; j < i; ++j)
            if (modules[i].name == modules[j].name)
                rsync.fail(fmt::format("modules.{}.name", i),
                           fmt::format("duplicate module name '{}'", modules[i].name));
}

Endpoint readListen(const JsonObject& object) {
    return parseEndpoint(object.text("listen"), object.pathOf("listen"));
}

RsyncFront readRsyncFront(const JsonObject& object, const Settings& settings) {
    RsyncFront front;
    front.listen = readListen(object);
    front.nodePort = readPort(object, "node_port");
    object.text("motd", front.motd);
    for (const auto& entry : object.objects("modules"))
        front.modules.push_back(readModule(entry, settings));
    checkUniqueNames(object, front.modules);
    return front;
}

}  // namespace

OperatorConfig parseOperatorConfig(std::string_view json, const Settings& settings) {
    simdjson::dom::parser parser;
    const auto root = parseJsonObject(parser, json, "operator file");
    OperatorConfig config;
    if (root.has("rsync")) config.rsync = readRsyncFront(root.child("rsync"), settings);
    if (root.has("health")) config.health = readListen(root.child("health"));
    if (root.has("agent")) config.agent = readListen(root.child("agent"));
    return config;
}

}  // namespace wingproxy::config
