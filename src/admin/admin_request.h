// What an operator's call means and what it is answered. No sockets and no clock.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/reducer.h"

namespace wingproxy::admin {

// A chunk server's id is not longer than this; a longer body is no call.
constexpr std::size_t kMostBody = 256;

struct AdminRequest {
    enum class Kind { Ready, Vars, Detach, Attach } kind = Kind::Ready;
    std::string node;  // of Detach and Attach
};
struct AdminResponse {
    int status = 200;
    std::string body, fields;  // fields: whole header lines
};

// A call, or why it is none: 400 without a node, 404 for a path that does not exist, 405 for another method.
std::variant<AdminRequest, AdminResponse> parseAdminRequest(std::string_view method, std::string_view target,
                                                            std::string_view body);

// What the metrics are made of, all of it the reducer's own.
struct AdminMetrics {
    std::vector<std::string> classes;
    core::Counters counters;
    std::size_t open = 0, listed = 0, avoided = 0;
};
std::string renderVars(const AdminMetrics& metrics);  // as one JSON object

// What the program has to say to a call.
struct AdminHandler {
    std::function<bool()> ready;
    std::function<AdminMetrics()> metrics;
    std::function<bool(const std::string& node, bool out)> setDrained;  // false: that id was never listed
};
AdminResponse handleAdminRequest(const AdminRequest& call, const AdminHandler& handler);

}  // namespace wingproxy::admin
