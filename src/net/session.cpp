#include "net/session.h"

#include <poll.h>

#include <array>
#include <boost/asio/post.hpp>

namespace wingproxy::net {
namespace {

using boost::asio::ip::tcp;

// Reads of unread bytes before a close, at most: a client that floods is reset.
constexpr int kMaxDroppedReads = 16;

}  // namespace

Session::Session(SessionManager& sessionManager, tcp::socket socket)
    : sessionManager_(sessionManager),
      socket_(std::move(socket)),
      in_(sessionManager.ring()),
      out_(sessionManager.ring()),
      lingerTimer_(sessionManager.io()) {}

// Goes on while a response is owed as well: that is how a disconnect is noticed.
void Session::read() {
    if (reading_ || !open_ || in_.space() == 0) return;
    reading_ = true;
    socket_.async_read_some(in_.room(), [self = shared_from_this(), requested = in_.space()](
                                            const boost::system::error_code& error, std::size_t count) {
        self->onRead(error, count, requested);
    });
}

void Session::onRead(const boost::system::error_code& error, std::size_t count, std::size_t requested) {
    reading_ = false;
    if (!open_) return;
    if (error) return closeBroken();
    in_.commit(count);
    drained_ = count < requested;
    if (lingers()) {
        in_.clear();
        armLingerTimer();
    } else {
        received();
    }
    read();
}

void Session::send(std::string_view text) {
    if (!open_) return;
    output_.append(text);
    write();
}

void Session::feed(Source source) {
    output_.setSource(std::move(source));
    write();
}

void Session::endFeed() {
    output_.clearSource();
    // Not from within, as the caller may be in the middle of a change of state.
    boost::asio::post(sessionManager_.io(), [self = shared_from_this()] { self->write(); });
}

void Session::write() {
    if (writing_ || !open_) return;
    writing_ = true;  // the source may call back, even to close this session
    output_.fill(out_);
    writing_ = false;
    if (!open_) return;
    if (out_.size() == 0) {
        if (output_.empty()) sent();
        return;
    }
    writing_ = true;
    socket_.async_write_some(
        out_.data(), [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
            self->onWritten(error, count);
        });
}

void Session::onWritten(const boost::system::error_code& error, std::size_t count) {
    writing_ = false;
    if (!open_) return;
    out_.consume(count);
    if (error) return closeBroken();
    progressed();
    write();
}

void Session::closeBroken() {
    if (!lingers()) disconnected();
    close();
}

// A reset because of unread bytes could take the response back, so the sending side ends first.
void Session::linger(std::chrono::milliseconds limit) {
    if (!open_ || lingers()) return;
    lingerDeadline_.start(LingerDeadline::Clock::now(), limit);
    sessionManager_.sessionLingers();
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    in_.clear();
    armLingerTimer();
    read();
}

void Session::armLingerTimer() {
    lingerTimer_.expires_at(lingerDeadline_.closeAt(LingerDeadline::Clock::now()));
    lingerTimer_.async_wait([self = shared_from_this()](const boost::system::error_code& rearmed) {
        if (!rearmed) self->close();
    });
}

bool Session::evictable() const {
    if (lingers()) return lingerDeadline_.evictable(LingerDeadline::Clock::now());
    return idle() && unread() == 0;
}

void Session::closeGracefullyIfIdle() {
    if (open_ && !lingers() && idle() && unread() == 0) closeGracefully();
}

std::size_t Session::unread() const {
    boost::system::error_code error;
    const auto bytes = socket_.available(error);
    return error ? 0 : bytes;
}

void Session::reset() {
    boost::system::error_code ignored;
    if (open_) socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    resetOnClose_ = true;
    close();
}

bool Session::closeIfHungUp() {
    if (!hungUp()) return false;
    disconnected();
    close();
    return true;
}

bool Session::hungUp() {
    if (!open_ || reading_ || lingers()) return false;  // a pending read notices
    pollfd descriptor{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Session::close() {
    if (!open_) return;
    open_ = false;
    if (!resetOnClose_) dropUnread();
    boost::system::error_code ignored;
    socket_.close(ignored);
    lingerTimer_.cancel();
    sessionManager_.sessionClosed(*this);  // drops what may be the last reference but the caller's
}

// A close with unread bytes is a reset, which takes back what the client has not read yet. The sending side
// ends first, so that no request whose sender expects a response can come after the last check.
void Session::dropUnread() {
    boost::system::error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    error = {};
    std::array<char, 4096> dropped{};
    for (int i = 0; i < kMaxDroppedReads && !error && unread() > 0; ++i)
        socket_.read_some(boost::asio::buffer(dropped), error);
}

}  // namespace wingproxy::net
