#include "config/addressed_endpoint_list.h"

#include <cstdint>
#include <utility>

#include "config/json_object.h"

namespace wingproxy::config {
namespace {

constexpr NamedValues<NodeState, 3> kNodeStateNames{
    "state",
    {{{"up", NodeState::Ready}, {"draining", NodeState::Draining}, {"removed", NodeState::Removed}}}};

/// The policy sizes a table by the highest cell index, so an invalid list with a huge one must not exhaust
/// the memory.
constexpr int kMaxCell = 100'000;

NodeInfo readNode(const JsonObject& object) {
    NodeInfo node;
    node.id = object.text("instanceId");
    if (node.id.empty()) object.fail("instanceId", "must not be empty");
    object.text("zone", node.zone);
    int cell = 0;
    object.number("cell", cell);
    if (cell < 0 || cell > kMaxCell)
        object.fail("cell", fmt::format("{} is not between 0 and {}", cell, kMaxCell));
    node.cell = CellIndex(cell);
    object.number("weight", node.rating);
    object.choice("lifecycle", node.state, kNodeStateNames);
    object.milliseconds("startedAtMs", node.startedUs);
    return node;
}

/// Discovery may omit the address of a node that it removes.
Endpoint readAddress(const JsonObject& object, NodeState state) {
    if (state == NodeState::Removed && !object.has("hostPort")) return {};
    return parseEndpoint(object.text("hostPort"), object.pathOf("hostPort"));
}

}  // namespace

AddressedEndpointList readEndpointList(const JsonObject& object) {
    AddressedEndpointList result;
    bool full = false;
    object.flag("reset", full);
    result.list.kind = full ? EndpointListKind::Full : EndpointListKind::Delta;
    result.list.version = static_cast<std::int64_t>(object.real("generation"));
    for (const auto& entry : object.objects("instances")) {
        auto node = readNode(entry);
        result.addresses.push_back(readAddress(entry, node.state));
        result.list.nodes.push_back(std::move(node));
    }
    return result;
}

AddressedEndpointList parseEndpointList(std::string_view json) {
    simdjson::dom::parser parser;
    return readEndpointList(parseJsonObject(parser, json, "list"));
}

}  // namespace wingproxy::config
