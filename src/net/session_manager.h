/// \file
/// The client connections of one listener, up to a limit. Owns the listening socket, the sessions and the
/// sweep timer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "net/listener.h"
#include "net/lru_list.h"
#include "net/ring_buffer.h"

namespace wingproxy::net {

class Session;

/// Accepts clients, creates a session for each, and closes idle ones in favour of new clients.
/// Single-threaded; must outlive its sessions' handlers.
class SessionManager {
public:
    /// Creates the session of a connection; the manager starts it.
    using SessionFactory =
        std::function<std::shared_ptr<Session>(SessionManager&, boost::asio::ip::tcp::socket)>;

    /// Binds, and starts to accept at once unless the listening socket is inherited.
    /// \param capacity the largest number of connections
    /// \param ringBytes size of each direction's ring buffer of a connection
    /// \param inherited see `Listener`; with an inherited socket, accepting starts with startAccepting()
    SessionManager(boost::asio::io_context& io, const config::Endpoint& address, std::size_t capacity,
                   SessionFactory makeSession, std::size_t ringBytes = kMaxRingBytes, int inherited = -1);

    /// Starts to accept connections; only for a manager with an inherited listening socket.
    void startAccepting() { listener_.startAccepting(); }
    /// Stops accepting and leaves the waiting clients to another process that has the same socket.
    void releaseListener() { listener_.release(); }
    /// Accepts the clients that wait, then closes the listening socket.
    void closeListener() { listener_.close(); }
    /// Closes the idle connections gracefully, in the next turn of the loop.
    void closeIdleGracefully();
    /// Closes all connections at once.
    void stop();

    /// Connections that may still send a request.
    std::size_t activeConnections() const { return sessions_.size() - lingeringCount_; }
    /// All connections, including those that only linger.
    std::size_t sessionCount() const { return sessions_.size(); }
    /// Connections accepted so far.
    std::uint64_t accepted() const { return accepted_; }
    /// Connections closed so far in favour of a new client.
    std::uint64_t evictions() const { return evictions_; }
    /// Disconnects that the sweep has detected so far, of clients from which nothing was being read.
    std::uint64_t detectedDisconnects() const { return detectedDisconnects_; }
    /// The limit of connections.
    std::size_t capacity() const { return capacity_; }
    /// Changes the limit. Connections above a lower one stay until they are closed.
    void setCapacity(std::size_t connections) { capacity_ = connections; }
    /// Gives up the request of a session that takes memory and makes no progress, in favour of another
    /// request. \return false if there is none
    bool evictForMemory();
    /// The size in bytes of each direction's ring buffer of a connection.
    std::size_t ringBytes() const { return ringBytes_; }
    /// The bound address; also valid after the listening socket is closed.
    config::Endpoint address() const { return address_; }
    /// The event loop of the listener and its sessions.
    boost::asio::io_context& io() { return io_; }

    /// \name Called by sessions
    /// \{

    /// The client was active: the session becomes the last to be evicted among those of the same priority.
    void onSessionActive(const Session& session) { sessions_.touch(session); }
    /// The session has started to linger and no longer counts as active.
    void onSessionLingering() { ++lingeringCount_; }
    /// Drops a session that has closed its socket.
    void onSessionClosed(const Session& session);
    /// \}

private:
    void addSession(boost::asio::ip::tcp::socket socket);
    bool evictOne();
    void sweep();

    boost::asio::io_context& io_;
    std::size_t capacity_;
    std::size_t ringBytes_;
    SessionFactory makeSession_;
    std::size_t lingeringCount_ = 0;
    std::uint64_t accepted_ = 0;
    std::uint64_t evictions_ = 0;
    std::uint64_t detectedDisconnects_ = 0;
    LruList<Session> sessions_;
    Listener listener_;
    config::Endpoint address_;
    boost::asio::steady_timer sweepTimer_;
};

}  // namespace wingproxy::net
