/// \file
/// The HTTP/1.1 server of the operators' interface. It owns its listener and connections, reads one request
/// from each connection and closes it after the response.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "admin/admin_request.h"
#include "net/session.h"

namespace wingproxy::admin {

/// Connections at once. Their descriptors are reserved, so clients cannot use them up. Beyond this number the
/// oldest connection without a complete request is closed, so that stuck operators do not lock out others.
inline constexpr std::size_t kMaxConnections = 24;

/// Serves operators' requests. Its connections call the handler on the thread of the `io_context` and refer
/// to this object, so `sessionManager().stop()` must be called before it is destroyed.
class AdminServer {
public:
    /// How requests ended.
    struct Counters {
        std::uint64_t executed = 0;   ///< status 200
        std::uint64_t rejected = 0;   ///< understood, but the response is an error
        std::uint64_t malformed = 0;  ///< not HTTP, or not a request of the interface
        std::uint64_t timedOut = 0;   ///< no complete request in time
    };

    /// Binds the listener and accepts at once.
    /// \throws boost::system::system_error if the address cannot be bound
    /// \param address port 0: one that the system chooses, which `sessionManager().address()` has
    AdminServer(boost::asio::io_context& io, const config::Endpoint& address, AdminHandler handler);

    /// The listener and its connections, for opening, closing and the budget of connections.
    net::SessionManager& sessionManager() { return sessionManager_; }
    /// Counted since this object was made.
    const Counters& counters() const { return counters_; }

private:
    class Connection;

    AdminHandler handler_;
    Counters counters_;
    net::SessionManager sessionManager_;
};

}  // namespace wingproxy::admin
