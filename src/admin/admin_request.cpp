#include "admin/admin_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace wingproxy::admin {
namespace {

using Kind = AdminRequest::Kind;

/// The HTTP method and path of a kind of request.
struct Route {
    Kind kind;
    std::string_view method;
    std::string_view path;
};
constexpr std::array<Route, 4> kRoutes{{{Kind::CheckReadiness, "GET", "/_ready"},
                                        {Kind::ReadMetrics, "GET", "/_vars"},
                                        {Kind::DrainNode, "POST", "/_chunk-servers/detach"},
                                        {Kind::UndrainNode, "POST", "/_chunk-servers/attach"}}};

/// The keys of `/_vars` whose values are broken down by class, and the core counter of each.
struct ClassCounterKey {
    const char* key;
    std::uint64_t core::ResponseCounts::*counter;
};
constexpr std::array<ClassCounterKey, 3> kClassCounterKeys{{{"fulfilled", &core::ResponseCounts::delivered},
                                                            {"throttled", &core::ResponseCounts::rejected},
                                                            {"faulted", &core::ResponseCounts::failed}}};

std::string_view trim(std::string_view text) {
    constexpr std::string_view kBlank = " \t\r\n";
    const auto first = text.find_first_not_of(kBlank);
    if (first == std::string_view::npos) return {};
    return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
}

AdminResponse checkReadiness(const AdminHandler& handler) {
    if (handler.isReady()) return {200, "ready\n", ""};
    return {503, "not ready\n", ""};
}

AdminResponse readMetrics(const AdminHandler& handler) {
    return {200, renderMetrics(handler.metrics()), "Content-Type: application/json\r\n"};
}

AdminResponse setAdminDrain(const std::string& nodeId, bool drained, const AdminHandler& handler) {
    if (!handler.setAdminDrain(nodeId, drained))
        return {404, fmt::format("{}: no chunk server of this id was ever listed\n", nodeId), ""};
    return {200, fmt::format("{}: {}\n", nodeId, drained ? "out until it is attached" : "back"), ""};
}

}  // namespace

bool requiresNodeId(AdminRequest::Kind kind) { return kind == Kind::DrainNode || kind == Kind::UndrainNode; }

HttpRequestParts encodeAdminRequest(const AdminRequest& request) {
    const auto* const route = std::find_if(kRoutes.begin(), kRoutes.end(),
                                           [&](const Route& known) { return known.kind == request.kind; });
    return {std::string(route->method), std::string(route->path), request.nodeId};
}

std::variant<AdminRequest, AdminResponse> parseAdminRequest(std::string_view method, std::string_view target,
                                                            std::string_view body) {
    const auto path = target.substr(0, target.find('?'));
    const auto* const route =
        std::find_if(kRoutes.begin(), kRoutes.end(), [&](const Route& known) { return known.path == path; });
    if (route == kRoutes.end()) return AdminResponse{404, fmt::format("{}: no such call\n", path), ""};
    if (route->method != method)
        return AdminResponse{405, fmt::format("{}: {} only\n", path, route->method),
                             fmt::format("Allow: {}\r\n", route->method)};
    const auto nodeId = requiresNodeId(route->kind) ? trim(body) : std::string_view();
    if (requiresNodeId(route->kind) && nodeId.empty())
        return AdminResponse{400, "the body names no chunk server\n", ""};
    if (body.size() > kMaxBodyBytes) return AdminResponse{413, "the body is too long\n", ""};
    return AdminRequest{route->kind, std::string(nodeId)};
}

std::string renderMetrics(const AdminMetrics& metrics) {
    nlohmann::json vars;
    const auto& counters = metrics.counters;
    for (const auto& [key, counter] : kClassCounterKeys) {
        auto& byClass = vars[key] = nlohmann::json::object();
        for (std::size_t i = 0; i < metrics.classNames.size() && i < counters.byClass.size(); ++i)
            byClass[metrics.classNames[i]] = counters.byClass[i].*counter;
    }
    vars["relayed"] = counters.requestsSent;
    vars["open_requests"] = metrics.openRequests;
    vars["registry_entries"] = metrics.listedNodes;
    vars["out_of_rotation"] = metrics.avoidedNodes;
    return vars.dump() + "\n";
}

AdminResponse handleAdminRequest(const AdminRequest& request, const AdminHandler& handler) {
    switch (request.kind) {
        case Kind::CheckReadiness:
            return checkReadiness(handler);
        case Kind::ReadMetrics:
            return readMetrics(handler);
        case Kind::DrainNode:
            return setAdminDrain(request.nodeId, true, handler);
        case Kind::UndrainNode:
            return setAdminDrain(request.nodeId, false, handler);
    }
    return {500, "", ""};
}

}  // namespace wingproxy::admin
