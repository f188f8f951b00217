/// \file
/// Accepts TCP connections within a limit, and survives running out of descriptors. Owns the listening
/// socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "config/config.h"

namespace wingproxy::net {

/// A listening socket on the event loop.
class Listener {
public:
    /// The owner of the accepted connections; it holds their limit.
    struct Callbacks {
        /// Takes a connection, non-blocking and without delay of small segments.
        std::function<void(boost::asio::ip::tcp::socket)> onAccepted;
        /// Whether no further connection is allowed.
        std::function<bool()> isFull;
        /// Closes an idle connection to make capacity. Returns false: there is none.
        std::function<bool()> evictOne;
    };

    /// Binds and listens; throws boost::system::system_error if that fails.
    /// \param inherited the descriptor of a socket that listens already, below 0: none. Another process may
    /// have it as well, so it is neither bound nor shut down here.
    Listener(boost::asio::io_context& io, const config::Endpoint& address, Callbacks callbacks,
             int inherited = -1);

    /// Starts to accept.
    void startAccepting();
    /// Accepts the clients that wait in the system's queue, then closes the socket.
    void close();
    /// Closes this process's descriptor only; the clients that wait are for another process.
    void release();
    /// The address as bound, with the port that the system chose for port 0.
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
