// One call to a running front, from outside it. Blocks for as long as a caller waits: not for the loop.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "admin/admin_request.h"
#include "config/config.h"

namespace wingproxy::admin {

// Every call is answered within a second, however busy the front; this is a little more.
constexpr std::chrono::milliseconds kAskFor{1'500};

struct AdminResult {
    std::optional<AdminResponse> reply;  // none: the front could not be reached, or did not answer in time
    std::string why;                     // in that case
};
AdminResult sendAdminRequest(const config::Endpoint& front, const AdminRequest& call,
                             std::chrono::milliseconds wait = kAskFor);

// The request line and body of a call: the other direction of readCall.
struct HttpRequestParts {
    std::string method, target, body;
};
HttpRequestParts encodeAdminRequest(const AdminRequest& call);

}  // namespace wingproxy::admin
