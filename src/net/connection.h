/// \file
/// One TCP connection to a node, with its ring buffers. Whoever holds it owns the socket and closes it by
/// dropping the connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

#include "config/config.h"
#include "net/ring_buffer.h"

namespace wingproxy::net {

/// The socket address of a configured endpoint, whose host is an IPv4 address.
boost::asio::ip::tcp::endpoint tcpEndpoint(const config::Endpoint& endpoint);

/// A connection to a node, from its socket's creation on.
struct Connection {
    /// \param ringBytes of each direction's ring buffer
    Connection(boost::asio::io_context& io, std::size_t ringBytes);

    /// Whether an idle connection may carry another request: it is open, and nothing came on it. Bytes that
    /// came unasked belong to an earlier response, and would be taken for the next one.
    bool isReusable();
    /// Sets a socket that has just connected to non-blocking and without delay of small segments.
    void configureSocket();

    boost::asio::ip::tcp::socket socket;
    RingBuffer in;
    RingBuffer out;
    config::Endpoint node;                            ///< the node
    std::chrono::steady_clock::time_point idleSince;  ///< of a connection in the pool
};

}  // namespace wingproxy::net
