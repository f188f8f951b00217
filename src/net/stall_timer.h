/// \file
/// Detects that a message that has begun brings no more bytes. Owns its timer; the caller owns the socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

namespace wingproxy::net {

/// A timeout that runs from the last byte that arrived on a socket. Single-threaded. A member of the object
/// that owns the socket; the handler given to `start()` has to keep that object alive.
class StallTimer {
public:
    /// \param executor of the event loop
    explicit StallTimer(const boost::asio::any_io_executor& executor) : timer_(executor) {}

    /// Starts or restarts the timeout.
    ///
    /// If this process was slow and not the other side, the timeout expires while bytes wait unread on
    /// `socket`, or in the same turn of the loop in which bytes were read and the timeout was restarted.
    /// `onStalled` is not called then: the whole timeout runs again.
    /// \param onStalled called without arguments, at most once, if nothing arrived within `timeout`. Not
    /// called after `stop()`.
    template <typename Handler>
    void start(std::chrono::microseconds timeout, const boost::asio::ip::tcp::socket& socket,
               Handler onStalled) {
        timer_.expires_after(timeout);
        timer_.async_wait([this, timeout, &socket, onStalled = std::move(onStalled)](
                              const boost::system::error_code& cancelled) mutable {
            if (cancelled || stopped_ || isRestarted()) return;
            if (hasUnreadBytes(socket)) return start(timeout, socket, std::move(onStalled));
            onStalled();
        });
    }

    /// Bytes arrived: the timeout ends, until it is started again.
    void cancel() { timer_.cancel(); }

    /// To be called when the owner closes the socket or gives it away. The handler is not called any more.
    void stop() {
        stopped_ = true;
        timer_.cancel();
    }

private:
    bool isRestarted() const { return timer_.expiry() > std::chrono::steady_clock::now(); }

    static bool hasUnreadBytes(const boost::asio::ip::tcp::socket& socket) {
        boost::system::error_code error;
        return socket.available(error) > 0 && !error;
    }

    boost::asio::steady_timer timer_;
    bool stopped_ = false;
};

}  // namespace wingproxy::net
