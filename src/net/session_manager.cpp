#include "net/session_manager.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "net/session.h"

namespace wingproxy::net {
namespace {

using boost::asio::ip::tcp;

// Also the delay with which a disconnect is detected while nothing is read from the client. The
// platform's rules allow no attempt to begin more than 0.1 s after a disconnect; half of that is left for a
// busy event loop.
constexpr std::chrono::milliseconds kSweepInterval{50};

}  // namespace

SessionManager::SessionManager(boost::asio::io_context& io, const config::Endpoint& address,
                               std::size_t capacity, SessionFactory makeSession, std::size_t ringBytes,
                               int inherited)
    : io_(io),
      capacity_(capacity),
      ringBytes_(ringBytes),
      makeSession_(std::move(makeSession)),
      listener_(io, address,
                {[this](tcp::socket socket) { addSession(std::move(socket)); },
                 [this] { return sessions_.size() >= capacity_; }, [this] { return evictOne(); }},
                inherited),
      address_(listener_.address()),
      sweepTimer_(io) {
    if (inherited < 0) startAccepting();
    sweep();
}

void SessionManager::addSession(tcp::socket socket) {
    ++accepted_;
    const auto session = makeSession_(*this, std::move(socket));
    sessions_.add(session);
    session->start();
}

void SessionManager::onSessionClosed(const Session& session) {
    if (session.isLingering()) --lingeringCount_;
    sessions_.remove(session);
}

void SessionManager::sweep() {
    for (auto it = sessions_.begin(); it != sessions_.end();) {
        const auto session = *it;  // keeps it alive: it may close itself, but no other session
        ++it;
        if (!session->isLingering()) session->enforceTimeouts();
        if (session->closeIfClientDisconnected()) ++detectedDisconnects_;
    }
    sweepTimer_.expires_after(kSweepInterval);
    sweepTimer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) sweep();
    });
}

bool SessionManager::evictOne() {
    std::shared_ptr<Session> candidate;
    for (const auto& session : sessions_) {
        const bool precedes = !candidate || session->evictionPriority() < candidate->evictionPriority();
        if (precedes && session->isEvictable()) candidate = session;
    }
    if (!candidate) return false;
    ++evictions_;
    candidate->evict();
    return true;
}

bool SessionManager::evictForMemory() {
    const auto found = std::find_if(sessions_.begin(), sessions_.end(),
                                    [](const auto& session) { return session->canYieldMemory(); });
    if (found == sessions_.end()) return false;
    const std::shared_ptr<Session> candidate = (*found)->shared_from_this();  // until it is closed
    ++evictions_;
    candidate->yieldMemory();
    return true;
}

void SessionManager::closeIdleGracefully() {
    // In the next turn of the loop, as the bytes read in this one may not have been handled yet.
    for (const auto& session : sessions_)
        if (!session->isLingering() && session->isIdle())
            boost::asio::post(io_, [session] { session->closeGracefullyIfIdle(); });
}

void SessionManager::stop() {
    sweepTimer_.cancel();
    while (!sessions_.empty()) {
        const auto session = sessions_.front();
        session->close();
    }
}

}  // namespace wingproxy::net
