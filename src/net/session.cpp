#include "net/session.h"

#include <poll.h>

#include <array>
#include <boost/asio/post.hpp>

namespace wingproxy::net {
namespace {

using boost::asio::ip::tcp;

// The most reads that discard unread bytes before a close; a client that keeps sending is reset.
constexpr int kMaxDiscardedReads = 16;

}  // namespace

Session::Session(SessionManager& sessionManager, tcp::socket socket)
    : sessionManager_(sessionManager),
      socket_(std::move(socket)),
      in_(sessionManager.ringBytes()),
      out_(sessionManager.ringBytes()),
      lingerTimer_(sessionManager.io()) {}

// Reading continues while a response is outstanding, so that a disconnect is detected.
void Session::read() {
    socketReader_.read(socket_, in_,
                       [self = shared_from_this(), requested = in_.freeSpace()](
                           const boost::system::error_code& error, std::size_t count) {
                           self->readDrainedSocket_ = count < requested;
                           self->bytesRead_ += count;
                           self->onRead(error);
                       });
}

void Session::onRead(const boost::system::error_code& error) {
    if (error) return onConnectionError();
    if (isLingering()) {
        in_.clear();
        restartLingerTimer();
    } else {
        onReceived();
    }
    read();
}

void Session::send(std::string_view text) {
    if (!open_) return;
    output_.append(text);
    write();
}

void Session::setOutputSource(Source source) {
    output_.setSource(std::move(source));
    write();
}

void Session::clearOutputSource() {
    output_.clearSource();
    // Not called directly, as the caller may be in the middle of a change of state.
    boost::asio::post(sessionManager_.io(), [self = shared_from_this()] { self->write(); });
}

void Session::write() {
    if (writing_ || !open_) return;
    writing_ = true;  // the source may call back, even to close this session
    output_.fill(out_);
    writing_ = false;
    if (!open_) return;
    if (out_.size() == 0) {
        if (output_.empty()) onOutputSent();
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
    out_.releaseIfEmpty();
    if (error) return onConnectionError();
    onWriteProgress();
    write();
}

void Session::onConnectionError() {
    if (!isLingering()) onDisconnected();
    close();
}

// A close with unread bytes would reset the connection, which could discard the response before the client
// has read it; so the sending side is shut down first.
void Session::startLingeringClose(std::chrono::milliseconds limit) {
    if (!open_ || isLingering()) return;
    lingeringClose_.start(LingeringClose::Clock::now(), limit);
    sessionManager_.onSessionLingering();
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    in_.clear();
    restartLingerTimer();
    read();
}

void Session::restartLingerTimer() {
    lingerTimer_.expires_at(lingeringClose_.closeAt(LingeringClose::Clock::now()));
    lingerTimer_.async_wait([self = shared_from_this()](const boost::system::error_code& rearmed) {
        if (!rearmed) self->close();
    });
}

bool Session::isEvictable() const {
    if (isLingering()) return lingeringClose_.isEvictable(LingeringClose::Clock::now());
    return isIdle() && unreadBytes() == 0;
}

void Session::closeGracefullyIfIdle() {
    if (open_ && !isLingering() && isIdle() && unreadBytes() == 0) closeGracefully();
}

std::size_t Session::unreadBytes() const {
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

bool Session::closeIfClientDisconnected() {
    if (!open_ || isLingering()) return false;
    // A pending read detects it, unless there is much to read before.
    const bool isUnreadDropped = dropsInput() && unreadBytes() > 0;
    if (socketReader_.isReading() && !isUnreadDropped) return false;
    if (!hasClientClosed()) return false;
    onDisconnected();
    close();
    return true;
}

bool Session::hasClientClosed() {
    pollfd descriptor{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Session::close() {
    if (!open_) return;
    open_ = false;
    socketReader_.stop();
    if (!resetOnClose_) discardUnread();
    boost::system::error_code ignored;
    socket_.close(ignored);
    lingerTimer_.cancel();
    sessionManager_.onSessionClosed(*this);  // may drop the last reference but the caller's
}

// A close with unread bytes resets the connection, which discards what the client has not read yet. The
// sending side is shut down first, so that no request whose sender expects a response can arrive after the
// last check.
void Session::discardUnread() {
    boost::system::error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    error = {};
    std::array<char, 4096> dropped{};
    for (int i = 0; i < kMaxDiscardedReads && !error && unreadBytes() > 0; ++i)
        socket_.read_some(boost::asio::buffer(dropped), error);
}

}  // namespace wingproxy::net
