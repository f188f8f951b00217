#include "net/session.h"

#include <poll.h>

#include <array>
#include <boost/asio/post.hpp>

namespace wingproxy::net {
namespace {

using boost::asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;
// For the client to read the last answer and close: while it still sends, as with a body that is too long, a
// close would reset the connection and could take the answer back. The whole is bounded, and so is silence.
// Many times a crossing of any network between machines of one place.
constexpr std::chrono::milliseconds kLingerQuiet{300};
// Also how late a client's leaving is noticed where nothing is read from it: within 0.3 s it must be, by the
// page and so for every customer.
constexpr std::chrono::milliseconds kTendEvery{200};
// Read and dropped at a close, at the most: a client that floods is reset.
constexpr int kMostDropped = 16;

}  // namespace

Session::Session(SessionManager& sessionManager, tcp::socket socket)
    : sessionManager_(sessionManager),
      socket_(std::move(socket)),
      in_(sessionManager.ring()),
      out_(sessionManager.ring()),
      linger_(sessionManager.io()) {}

// Reads on while an answer is owed as well: that is how a client's leaving is noticed.
void Session::read() {
    if (reading_ || !open_ || in_.space() == 0) return;
    reading_ = true;
    socket_.async_read_some(in_.room(), [self = shared_from_this(), room = in_.space()](
                                            const boost::system::error_code& error, std::size_t n) {
        self->reading_ = false;
        if (!self->open_) return;
        if (error) {
            if (!self->lingering_) self->disconnected();
            return self->close();
        }
        self->in_.commit(n);
        self->drained_ = n < room;
        if (self->lingering_)
            self->in_.clear(), self->lingerOn();
        else
            self->received();
        self->read();
    });
}

void Session::send(std::string text) {
    if (!open_) return;
    text_.erase(0, put_);
    put_ = 0;
    text_ += text;
    write();
}

void Session::feed(Source source) {
    source_ = std::move(source);
    write();
}

void Session::endFeed() {
    source_ = nullptr;
    // Not from within: who ends it may be in the middle of something.
    boost::asio::post(sessionManager_.io(), [self = shared_from_this()] { self->write(); });
}

void Session::write() {
    if (writing_ || !open_) return;
    put_ += out_.put(std::string_view(text_).substr(put_));
    if (put_ == text_.size()) {
        text_.clear();
        put_ = 0;
    }
    if (source_ && text_.empty()) {
        writing_ = true;  // the source may end its feeding, and end this
        const auto source = source_;
        source(out_);
        writing_ = false;
        if (!open_) return;
    }
    if (out_.size() == 0) {
        if (!source_ && text_.empty()) sent();
        return;
    }
    writing_ = true;
    socket_.async_write_some(
        out_.data(), [self = shared_from_this()](const boost::system::error_code& error, std::size_t n) {
            self->writing_ = false;
            if (!self->open_) return;
            self->out_.consume(n);
            if (!error) {
                self->progressed();
                return self->write();
            }
            if (!self->lingering_) self->disconnected();
            self->close();
        });
}

// A reset on unread bytes could take the answer back, so the sending side ends first.
void Session::linger(std::chrono::milliseconds most) {
    if (!open_ || lingering_) return;
    lingering_ = true;
    ++sessionManager_.lingering_;
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    in_.clear();
    lingerSince_ = SteadyClock::now();
    lingerUntil_ = lingerSince_ + most;
    lingerOn();
    read();
}

void Session::lingerOn() {
    linger_.expires_at(std::min(SteadyClock::now() + kLingerQuiet, lingerUntil_));
    linger_.async_wait([self = shared_from_this()](const boost::system::error_code& moved) {
        if (!moved) self->close();
    });
}

bool Session::spare() const {
    if (lingering_) return SteadyClock::now() - lingerSince_ > kLingerQuiet;
    return idle() && unread() == 0;
}

std::size_t Session::unread() const {
    boost::system::error_code error;
    const auto bytes = socket_.available(error);
    return error ? 0 : bytes;
}

void Session::markActive() {
    sessionManager_.sessions_.splice(sessionManager_.sessions_.end(), sessionManager_.sessions_, place_);
}

void Session::reset() {
    boost::system::error_code ignored;
    if (open_) socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    reset_ = true;
    close();
}

bool Session::detectHangUp() {
    if (!open_ || reading_ || lingering_) return false;  // a read tells
    pollfd at{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&at, 1, 0) > 0 && (at.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Session::close() {
    if (!open_) return;
    open_ = false;
    boost::system::error_code ignored, ended;
    // A close over unread bytes is a reset, which takes back what the client has not read yet. The sending
    // side ends first, so that nothing can come between the last look and the close that expects an answer.
    if (!reset_) {
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        std::array<char, 4096> dropped;
        for (int i = 0; i < kMostDropped && !ended && unread() > 0; ++i)
            socket_.read_some(boost::asio::buffer(dropped), ended);
    }
    socket_.close(ignored);
    linger_.cancel();
    sessionManager_.lingering_ -= lingering_;
    sessionManager_.sessions_.erase(place_);  // may be the last but for who calls
}

SessionManager::SessionManager(boost::asio::io_context& io, const config::Endpoint& at, std::size_t most,
                               Make make, std::size_t ring, int inherited)
    : io_(io),
      most_(most),
      ring_(ring),
      listener_(io, at,
                {[this, make = std::move(make)](tcp::socket socket) {
                     ++accepted_;
                     const auto session = make(*this, std::move(socket));
                     session->place_ = sessions_.insert(sessions_.end(), session);
                     session->start();
                 },
                 [this] { return sessions_.size() >= most_; }, [this] { return evictOne(); }},
                inherited),
      at_(listener_.address()),
      tender_(io) {
    if (inherited < 0) open();
    sweep();
}

void SessionManager::sweep() {
    for (auto it = sessions_.begin(); it != sessions_.end();) {
        const auto held = *it++;  // which may close itself, but no other
        if (!held->lingering_) held->sweep();
        if (held->detectHangUp()) {
            ++hungUp_;
            held->disconnected(), held->close();
        }
    }
    tender_.expires_after(kTendEvery);
    tender_.async_wait([this](const boost::system::error_code& stopped) {
        if (!stopped) sweep();
    });
}

bool SessionManager::evictOne() {
    std::shared_ptr<Session> first;
    for (const auto& session : sessions_)
        if ((!first || session->evictionPriority() < first->evictionPriority()) && session->spare())
            first = session;
    if (!first) return false;
    ++closedIdle_;
    first->evict();
    return true;
}

void SessionManager::closeListener() { listener_.close(); }

void SessionManager::closeIdleGracefully() {
    // In the next turn: what was read in this one may not have been looked at yet.
    for (const auto& session : sessions_)
        if (!session->lingering_ && session->idle())
            boost::asio::post(io_, [held = session] {
                if (held->open_ && !held->lingering_ && held->idle() && held->unread() == 0)
                    held->closeGracefully();
            });
}

void SessionManager::stop() {
    tender_.cancel();
    while (!sessions_.empty()) {
        const auto held = sessions_.front();
        held->close();
    }
}

}  // namespace wingproxy::net
