/// \file
/// The HTTP/1.1 server of the admin interface. Owns its listener and connections; reads one request from each
/// connection and closes it after the response.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "admin/admin_request.h"
#include "net/session.h"

namespace wingproxy::admin {

/// Limit of concurrent connections. Their descriptors are reserved, so that clients of the front cannot use
/// them up. At the limit, a new connection replaces the oldest one without a complete request, so that
/// stalled connections do not lock out operators.
inline constexpr std::size_t kMaxConnections = 24;

/// Serves operators' requests. Connections call the handler on the thread of the `io_context` and refer to
/// this object, so `sessionManager().stop()` must be called before its destruction.
class AdminServer {
public:
    /// Requests by outcome.
    struct Counters {
        std::uint64_t executed = 0;   ///< status 200
        std::uint64_t rejected = 0;   ///< valid, but the response has another status
        std::uint64_t malformed = 0;  ///< not HTTP, or not a request of the admin interface
        std::uint64_t timedOut = 0;   ///< connections without a complete request in time
    };

    /// Binds the listener, which starts to accept immediately.
    /// \param address port 0 lets the system choose one, which `sessionManager().address()` returns
    /// \throws boost::system::system_error if the address cannot be bound
    AdminServer(boost::asio::io_context& io, const config::Endpoint& address, AdminHandler handler);

    /// The listener and its connections, for opening, closing and the limit of connections.
    net::SessionManager& sessionManager() { return sessionManager_; }
    /// Totals since construction.
    const Counters& counters() const { return counters_; }

private:
    class Connection;

    AdminHandler handler_;
    Counters counters_;
    net::SessionManager sessionManager_;
};

}  // namespace wingproxy::admin
