/// \file
/// The read loop of a connection: one read at a time, from its socket into its ring buffer. Owns neither.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <utility>

#include "net/ring_buffer.h"

namespace wingproxy::net {

/// Reads from a socket while the ring buffer has free space. Single-threaded. A member of the object that
/// owns the socket and the ring; the handler given to `read()` has to keep that object alive.
class SocketReader {
public:
    /// Starts a read and adds the bytes read to `in`. Does nothing while a read is pending, while `in` is
    /// full, after the end of the stream and after `stop()`.
    ///
    /// \param onRead called as `onRead(const boost::system::error_code&, std::size_t count)` when the read
    /// has ended, on a later turn of the loop; the error is `boost::asio::error::eof` if the other side
    /// closed the connection without a reset. It may call `read()` again. Not called after `stop()`.
    template <typename Handler>
    void read(boost::asio::ip::tcp::socket& socket, RingBuffer& in, Handler onRead) {
        if (reading_ || ended_ || stopped_ || in.freeSpace() == 0) return;
        reading_ = true;
        socket.async_read_some(in.prepare(), [this, &in, onRead = std::move(onRead)](
                                                 const boost::system::error_code& error, std::size_t count) {
            reading_ = false;
            if (stopped_) return;
            in.commit(count);
            ended_ = error.failed();
            onRead(error, count);
        });
    }

    /// To be called when the owner closes the socket or gives it away. A pending read then adds no bytes,
    /// and its handler is not called.
    void stop() { stopped_ = true; }
    /// Whether a read is pending.
    bool isReading() const { return reading_; }
    /// Whether the last read ended with an error, the other side's close included.
    bool hasEnded() const { return ended_; }

private:
    bool reading_ = false;
    bool ended_ = false;
    bool stopped_ = false;
};

}  // namespace wingproxy::net
