/// \file
/// One TCP connection to a node, with its ring buffers. The connection owns the socket: its destruction
/// closes the socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

#include "config/config.h"
#include "net/ring_buffer.h"

namespace wingproxy::net {

/// The socket address of a configured endpoint, whose host is an IPv4 address.
boost::asio::ip::tcp::endpoint tcpEndpoint(const config::Endpoint& endpoint);

/// A connection to a node. It exists from the socket's creation on, before the socket is connected.
struct Connection {
    /// \param ringBytes size of each direction's ring buffer
    Connection(boost::asio::io_context& io, std::size_t ringBytes);

    /// Whether an idle connection may carry another request: it is open and has no unread bytes. Unsolicited
    /// bytes belong to an earlier response and would be taken for the next one.
    bool isReusable();
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Makes a newly connected socket non-blocking and disables Nagle's algorithm. From then on the system
    /// discards what it has not delivered if the process ends, however it ends.
    void configureSocket();
    /// Bytes that the system took for sending and that the node has not acknowledged; 0 if the system does
    /// not tell.
    [[nodiscard]] std::size_t unacknowledgedBytes();
    /// Closes the socket and gives up what has not been delivered: after an ordinary close the system would
    /// go on delivering it, for as long as the node takes.
    void close();
    /// Closes the socket; the system goes on delivering what it holds.
    void closeAfterDelivery();

    boost::asio::ip::tcp::socket socket;
    RingBuffer in;
    RingBuffer out;
    config::Endpoint node;                            ///< the node's address
    std::chrono::steady_clock::time_point idleSince;  ///< when it was last released to the pool
};

}  // namespace wingproxy::net
