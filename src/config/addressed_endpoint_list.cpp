#include "config/addressed_endpoint_list.h"

#include <cstdint>
#include <utility>

#include "config/json_object.h"

namespace wingproxy::config {
namespace {

constexpr NamedValues<NodeState, 3> kNodeStateNames{
    "state",
    {{{"up", NodeState::Ready}, {"draining", NodeState::Draining}, {"removed", NodeState::Removed}}}};

/// The policy indexes a table by the cell: a damaged list must not exhaust the memory.
constexpr int kMaxCell = 100'000;

NodeInfo readNode(const JsonObject& object) {
    NodeInfo node;
    node.id = object.text("instanceId");
    if (node.id.empty()) object.fail("instanceId", "empty");
    object.text("zone", node.zone);
    int cell = 0;
    object.number("cell", cell);
    if (cell < 0 || cell > kMaxCell) object.fail("cell", "out of range");
    node.cell = CellIndex(cell);
    object.number("weight", node.rating);
    object.choice("lifecycle", node.state, kNodeStateNames);
    object.milliseconds("startedAtMs", node.startedUs);
    return node;
}

/// Discovery may leave out the address of a node that it removes.
Endpoint readAddress(const JsonObject& object, NodeState state) {
    if (state == NodeState::Removed && !object.has("hostPort")) return {};
    return parseEndpoint(object.text("hostPort"), object.pathOf("hostPort"));
}

}  // namespace

AddressedEndpointList readEndpointList(const JsonObject& object) {
    AddressedEndpointList listing;
    bool full = false;
    object.flag("reset", full);
    listing.list.kind = full ? EndpointListKind::Full : EndpointListKind::Delta;
    listing.list.version = static_cast<std::int64_t>(object.real("generation"));
    for (const auto& entry : object.objects("instances")) {
        auto node = readNode(entry);
        listing.addresses.push_back(readAddress(entry, node.state));
        listing.list.nodes.push_back(std::move(node));
    }
    return listing;
}

AddressedEndpointList parseEndpointList(std::string_view json) {
    simdjson::dom::parser parser;
    return readEndpointList(parseJsonObject(parser, json, "list"));
}

}  // namespace wingproxy::config
