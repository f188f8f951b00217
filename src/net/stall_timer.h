/// \file
/// Detects that a message which has begun brings no more bytes. Owns its timer; the socket is the caller's.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

namespace wingproxy::net {

/// A timeout that runs from the last byte that came on a socket. Single-threaded. A member of the object that
/// owns the socket; the handler given to `start()` has to keep that object alive.
class StallTimer {
public:
    /// \param executor of the event loop
    explicit StallTimer(const boost::asio::any_io_executor& executor) : timer_(executor) {}

    /// Starts the timeout, or starts it anew.
    ///
    /// Where this process was slow and not the other side, bytes wait unread on `socket` at the end of the
    /// timeout, or they were read in the same turn of the loop and the timeout was started anew: it is given
    /// again then, and nothing is called.
    /// \param onStalled called without arguments, at most once, if nothing came within `timeout`. Not called
    /// after `stop()`.
    template <typename Handler>
    void start(std::chrono::microseconds timeout, const boost::asio::ip::tcp::socket& socket,
               Handler onStalled) {
        timer_.expires_after(timeout);
        timer_.async_wait([this, timeout, &socket, onStalled = std::move(onStalled)](
                              const boost::system::error_code& cancelled) mutable {
            if (cancelled || stopped_ || isStartedAnew()) return;
            if (hasUnreadBytes(socket)) return start(timeout, socket, std::move(onStalled));
            onStalled();
        });
    }

    /// Bytes came: the timeout ends, until it is started again.
    void cancel() { timer_.cancel(); }

    /// The owner closes the socket or gives it away: nothing is called any more.
    void stop() {
        stopped_ = true;
        timer_.cancel();
    }

private:
    bool isStartedAnew() const { return timer_.expiry() > std::chrono::steady_clock::now(); }

    static bool hasUnreadBytes(const boost::asio::ip::tcp::socket& socket) {
        boost::system::error_code error;
        return socket.available(error) > 0 && !error;
    }

    boost::asio::steady_timer timer_;
    bool stopped_ = false;
};

}  // namespace wingproxy::net
