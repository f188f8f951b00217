/// \file
/// The client's end of a transfer, as an attempt at a node sees it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "net/ring_buffer.h"

namespace wingproxy::rsync {

/// Implemented by the client's session, which owns the socket and the buffer.
class ClientStream {
public:
    ClientStream() = default;
    virtual ~ClientStream() = default;
    ClientStream(const ClientStream&) = delete;
    ClientStream& operator=(const ClientStream&) = delete;

    /// The attempt writes the node's stream to it. Reading from it is the session's.
    virtual boost::asio::ip::tcp::socket& socket() = 0;
    /// Bytes from the client that were not forwarded to a node yet. The attempt consumes what it forwarded.
    virtual net::RingBuffer& receiveBuffer() = 0;
    /// Continues reading from the client, as receiveBuffer() has space again.
    virtual void resumeReading() = 0;
    /// From now on, bytes of the node go to the client: errors can't be reported in the stream any more.
    /// \param onReceived called whenever receiveBuffer() got more bytes
    virtual void startForwarding(std::function<void()> onReceived) = 0;
};

}  // namespace wingproxy::rsync
