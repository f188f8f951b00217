/// \file
/// The read loop of a connection: one read at a time, from its socket into its ring buffer. Owns neither. The
/// ring has no memory while it is empty and nothing arrives.
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
        in.releaseIfEmpty();
        socket.async_wait(
            boost::asio::ip::tcp::socket::wait_read,
            [this, &socket, &in, onRead = std::move(onRead)](const boost::system::error_code& error) mutable {
                reading_ = false;
                if (!stopped_) readAvailable(socket, in, std::move(onRead), error);
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
    template <typename Handler>
    void readAvailable(boost::asio::ip::tcp::socket& socket, RingBuffer& in, Handler onRead,
                       boost::system::error_code error) {
        const std::size_t count = error ? 0 : socket.read_some(in.prepare(), error);
        const bool isSpurious =
            error == boost::asio::error::would_block || error == boost::asio::error::try_again;
        if (isSpurious) return read(socket, in, std::move(onRead));
        in.commit(count);
        ended_ = error.failed();
        onRead(error, count);
    }

    bool reading_ = false;
    bool ended_ = false;
    bool stopped_ = false;
};

}  // namespace wingproxy::net
