/// \file
/// Sends one request to the operators' interface of a running front, from another process.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "admin/admin_request.h"
#include "config/endpoint.h"

namespace wingproxy::admin {

/// A front responds within 1 s however busy it is; the rest is for the connection.
inline constexpr std::chrono::milliseconds kResponseTimeout{1'500};

struct AdminResult {
    std::optional<AdminResponse> response;  ///< empty: no connection, no HTTP, or no response in time
    std::string error;                      ///< the error in that case
};

/// Sends a request and waits for the response. It blocks, so it is not for a thread with an event loop.
AdminResult sendAdminRequest(const config::Endpoint& front, const AdminRequest& request,
                             std::chrono::milliseconds timeout = kResponseTimeout);

}  // namespace wingproxy::admin
