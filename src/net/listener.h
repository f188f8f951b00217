/// \file
/// Accepts TCP connections up to a limit, and keeps working when the process runs out of file descriptors.
/// Owns the listening socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "config/config.h"

namespace wingproxy::net {

/// A listening socket on the event loop.
class Listener {
public:
    /// Callbacks to the owner of the accepted connections, which knows their limit.
    struct Callbacks {
        /// Takes over a connection, whose socket is non-blocking and has Nagle's algorithm disabled.
        std::function<void(boost::asio::ip::tcp::socket)> onAccepted;
        /// Whether the limit of connections is reached.
        std::function<bool()> isFull;
        /// Closes an idle connection to free capacity. Returns false if there is none.
        std::function<bool()> evictOne;
    };

    /// Binds and listens; throws boost::system::system_error if that fails.
    /// \param inherited descriptor of a socket that is listening already; negative: none. Another process
    /// may share the socket, so it is neither bound nor shut down here.
    Listener(boost::asio::io_context& io, const config::Endpoint& address, Callbacks callbacks,
             int inherited = -1);

    /// Starts to accept connections.
    void startAccepting();
    /// Accepts the clients that wait in the listen queue, then closes the socket.
    void close();
    /// Closes only this process's descriptor; another process accepts the clients that wait.
    void release();
    /// The bound address, with the port that the system chose for port 0.
    config::Endpoint address() const;

private:
    void waitForClient();
    void acceptClient();
    void retryLater();
    void handleAccepted(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retryTimer_;
    Callbacks callbacks_;
};

}  // namespace wingproxy::net
