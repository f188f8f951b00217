#include "admin/admin_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wingproxy::admin {
namespace {

std::string_view trim(std::string_view text) {
    constexpr std::string_view kBlank = " \t\r\n";
    const auto first = text.find_first_not_of(kBlank);
    if (first == std::string_view::npos) return {};
    return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
}

struct Path {
    std::string_view path, method;
    AdminRequest::Kind kind;
};
constexpr Path kPaths[] = {{"/_ready", "GET", AdminRequest::Kind::Ready},
                           {"/_vars", "GET", AdminRequest::Kind::Vars},
                           {"/_chunk-servers/detach", "POST", AdminRequest::Kind::Detach},
                           {"/_chunk-servers/attach", "POST", AdminRequest::Kind::Attach}};

}  // namespace

std::variant<AdminRequest, AdminResponse> parseAdminRequest(std::string_view method, std::string_view target,
                                                            std::string_view body) {
    const auto path = target.substr(0, target.find('?'));
    const auto known =
        std::find_if(std::begin(kPaths), std::end(kPaths), [&](const Path& p) { return p.path == path; });
    if (known == std::end(kPaths)) return AdminResponse{404, fmt::format("{}: no such call\n", path), ""};
    if (known->method != method)
        return AdminResponse{405, fmt::format("{}: {} only\n", path, known->method),
                             fmt::format("Allow: {}\r\n", known->method)};
    const bool ofNode =
        known->kind == AdminRequest::Kind::Detach || known->kind == AdminRequest::Kind::Attach;
    const auto node = trim(body);
    if (ofNode && node.empty()) return AdminResponse{400, "the body names no chunk server\n", ""};
    if (body.size() > kMostBody) return AdminResponse{413, "the body is too long\n", ""};
    return AdminRequest{known->kind, ofNode ? std::string(node) : std::string()};
}

std::string renderVars(const AdminMetrics& metrics) {
    nlohmann::json all;
    const std::pair<const char*, std::uint64_t core::Answers::*> kinds[] = {
        {"fulfilled", &core::Answers::delivered},
        {"throttled", &core::Answers::refused},
        {"faulted", &core::Answers::failed}};
    for (const auto& [name, kind] : kinds) {
        auto& byClass = all[name] = nlohmann::json::object();
        for (std::size_t i = 0; i < metrics.classes.size() && i < metrics.counters.byClass.size(); ++i)
            byClass[metrics.classes[i]] = metrics.counters.byClass[i].*kind;
    }
    all["relayed"] = metrics.counters.written;
    all["open_requests"] = metrics.open;
    all["registry_entries"] = metrics.listed;
    all["out_of_rotation"] = metrics.avoided;
    return all.dump() + "\n";
}

AdminResponse handleAdminRequest(const AdminRequest& call, const AdminHandler& handler) {
    switch (call.kind) {
        case AdminRequest::Kind::Ready:
            return handler.ready() ? AdminResponse{200, "ready\n", ""}
                                   : AdminResponse{503, "not ready\n", ""};
        case AdminRequest::Kind::Vars:
            return {200, renderVars(handler.metrics()), "Content-Type: application/json\r\n"};
        case AdminRequest::Kind::Detach:
        case AdminRequest::Kind::Attach:
            break;
    }
    const bool out = call.kind == AdminRequest::Kind::Detach;
    if (!handler.setDrained(call.node, out))
        return {404, fmt::format("{}: no chunk server of this id was ever listed\n", call.node), ""};
    return {200, fmt::format("{}: {}\n", call.node, out ? "out until it is attached" : "back"), ""};
}

}  // namespace wingproxy::admin
