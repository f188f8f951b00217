/// \file
/// The interface through which an attempt forwards data from and to the client.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "net/ring_buffer.h"

namespace wingproxy::rsync {

/// Implemented by ClientSession, which owns the socket and the buffer.
class ClientStream {
public:
    ClientStream() = default;
    virtual ~ClientStream() = default;
    ClientStream(const ClientStream&) = delete;
    ClientStream& operator=(const ClientStream&) = delete;

    /// The attempt writes the node's stream to it. Only the session reads from it.
    virtual boost::asio::ip::tcp::socket& socket() = 0;
    /// Bytes from the client that are not forwarded to a node yet. The attempt consumes what it has
    /// forwarded.
    virtual net::RingBuffer& receiveBuffer() = 0;
    /// Continues reading from the client; called after consuming from receiveBuffer().
    virtual void resumeReading() = 0;
    /// From now on, the node's bytes go to the client, so errors can no longer be reported in the stream.
    /// \param onReceived called whenever receiveBuffer() has received bytes
    virtual void startForwarding(std::function<void()> onReceived) = 0;
};

}  // namespace wingproxy::rsync
