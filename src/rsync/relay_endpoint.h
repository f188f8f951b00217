/// \file
/// The client's end of a transfer, as an attempt at a node sees it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "net/ring_buffer.h"

namespace wingproxy::rsync {

/// Implemented by the client's session, which owns the socket and the buffer.
class RelayEndpoint {
public:
    RelayEndpoint() = default;
    virtual ~RelayEndpoint() = default;
    RelayEndpoint(const RelayEndpoint&) = delete;
    RelayEndpoint& operator=(const RelayEndpoint&) = delete;

    /// The attempt writes the node's stream to it. Reading from it is the session's.
    virtual boost::asio::ip::tcp::socket& socket() = 0;
    /// Bytes from the client that were not forwarded to a node yet. The attempt consumes what it forwarded.
    virtual net::RingBuffer& receivedBytes() = 0;
    /// Continues reading from the client, as receivedBytes() has space again.
    virtual void resumeReading() = 0;
    /// From now on, bytes of the node go to the client: errors can't be reported in the stream any more.
    /// \param onReceived called whenever receivedBytes() got more bytes
    virtual void startRelay(std::function<void()> onReceived) = 0;
};

}  // namespace wingproxy::rsync
