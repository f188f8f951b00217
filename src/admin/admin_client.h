/// \file
/// Client of the admin interface of a running front, for use from another process.
#pragma once

#include <boost/system/error_code.hpp>
#include <chrono>
#include <string>
#include <variant>

#include "admin/admin_request.h"
#include "config/endpoint.h"

namespace wingproxy::admin {

/// A front responds within 1 s under any load; the remaining 500 ms are for establishing the connection.
inline constexpr std::chrono::milliseconds kResponseTimeout{1'500};

/// Why a front gave no response.
struct AdminClientError {
    /// The step that failed; TimedOut if the timeout expired first.
    enum class Step { Connect, Write, Read, TimedOut };
    Step step = Step::TimedOut;
    boost::system::error_code cause;       ///< from the system or the HTTP parser; no error for TimedOut
    std::chrono::milliseconds timeout{0};  ///< the time limit of the whole request
};

/// \return one line for an operator, e.g. "connect: Connection refused"
std::string describe(const AdminClientError& error);

/// Sends a request and waits for the response. Blocks: not for a thread with an event loop.
/// \return the response, whatever its status, or why there is none: no connection, no valid HTTP, or none in
///     time
/// \throws boost::system::system_error if the front's address is not an IPv4 address
std::variant<AdminResponse, AdminClientError> sendAdminRequest(
    const config::Endpoint& front, const AdminRequest& request,
    std::chrono::milliseconds timeout = kResponseTimeout);

}  // namespace wingproxy::admin
