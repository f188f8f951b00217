/// \file
/// Connections to nodes: keeps idle ones for reuse and limits how many are open at once. Owns the idle
/// connections; those in use are counted here and owned by the attempts.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "net/connection.h"

namespace wingproxy::net {

/// A pool of connections, keyed by the node's address. Single-threaded; must outlive pending acquisitions.
class NodePool {
public:
    /// Limits and timeouts of a pool, from the configuration.
    struct Limits {
        std::size_t maxConnections = 400;                   ///< open connections, including idle ones
        std::chrono::microseconds connectTimeout{250'000};  ///< a connect that takes longer fails
        std::chrono::microseconds idleTimeout{15'000'000};  ///< an idle connection is closed after this time
        std::size_t ringBytes = kMaxRingBytes;              ///< size of each direction's ring buffer
        /// Time after a response in which its connection carries no other request; a request that finds only
        /// such connections waits for one of them. If a node sends a response twice, the second copy arrives
        /// some milliseconds later, and without the cool-down it would be taken for the next response.
        std::chrono::microseconds cooldown{0};
    };

    /// A pending acquisition. Destroying it cancels it: a connecting socket is closed, and the callback is
    /// not called.
    struct Acquisition {
        virtual ~Acquisition() = default;
    };

    /// Receives the connection, or null if none could be acquired. Called once, and never before acquire()
    /// returns.
    using OnAcquired = std::function<void(std::shared_ptr<Connection>)>;

    /// \param io the event loop, which must outlive the pool
    NodePool(boost::asio::io_context& io, Limits limits);

    /// Takes an idle connection to `to`, or opens one. At the limit, the connection that has been idle the
    /// longest is closed to free capacity; if none is idle, the acquisition fails.
    std::shared_ptr<Acquisition> acquire(const config::Endpoint& to, OnAcquired onAcquired);
    /// Returns a connection for reuse. Its last exchange must be complete, and no byte may be unread.
    void release(std::shared_ptr<Connection> connection);
    /// Closes the idle connections to `to`.
    void closeIdleTo(const config::Endpoint& to) { idle_.erase(to); }
    /// Closes all idle connections. Connections that are released afterwards are closed as well.
    void clear();
    /// Changes `Limits::maxConnections`. Connections above the new limit stay open until they are idle.
    void setCapacity(std::size_t maxConnections) { limits_.maxConnections = maxConnections; }

    /// The number of open connections, including idle ones.
    std::size_t openConnections() const { return *open_; }
    /// The number of connects started so far.
    std::uint64_t opened() const { return opened_; }
    /// The number of idle connections taken for reuse so far.
    std::uint64_t reused() const { return reused_; }

private:
    using IdleConnections = std::deque<std::shared_ptr<Connection>>;  // the longest idle first

    std::shared_ptr<Acquisition> reuse(std::shared_ptr<Connection> connection, OnAcquired onAcquired);
    std::shared_ptr<Connection> openConnection(const config::Endpoint& to);
    std::shared_ptr<Connection> makeConnection();
    std::shared_ptr<Connection> takeIdle(const config::Endpoint& to);
    bool closeLongestIdle();
    void closeExpired();

    boost::asio::io_context& io_;
    Limits limits_;
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);  // shared with every connection
    std::map<config::Endpoint, IdleConnections> idle_;
    boost::asio::steady_timer sweepTimer_;
    std::uint64_t opened_ = 0;
    std::uint64_t reused_ = 0;
    bool cleared_ = false;
};

}  // namespace wingproxy::net
