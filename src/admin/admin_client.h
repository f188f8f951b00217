/// \file
/// Sends one request to the operators' interface of a running front, from another process.
#pragma once

#include <boost/system/error_code.hpp>
#include <chrono>
#include <string>
#include <variant>

#include "admin/admin_request.h"
#include "config/endpoint.h"

namespace wingproxy::admin {

/// A front responds within 1 s however busy it is; the rest is for the connection.
inline constexpr std::chrono::milliseconds kResponseTimeout{1'500};

/// Why a front gave no response.
struct AdminClientError {
    /// What was under way.
    enum class Step { Connect, Write, Read, TimedOut };
    Step step = Step::TimedOut;
    boost::system::error_code cause;       ///< of the system or the HTTP parser; no error if it timed out
    std::chrono::milliseconds timeout{0};  ///< how long the response was waited for, at most
};

/// One line for an operator, e.g. "connect: Connection refused".
std::string describe(const AdminClientError& error);

/// Sends a request and waits for the response. It blocks, so it is not for a thread with an event loop.
/// \return the response, whatever its status, or why there is none: no connection, no HTTP, or none in time
/// \throws boost::system::system_error if the front's address is not one of IPv4
std::variant<AdminResponse, AdminClientError> sendAdminRequest(
    const config::Endpoint& front, const AdminRequest& request,
    std::chrono::milliseconds timeout = kResponseTimeout);

}  // namespace wingproxy::admin
