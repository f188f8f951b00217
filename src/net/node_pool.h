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
        std::size_t maxConnections = 400;                   ///< open ones, idle ones included
        std::chrono::microseconds connectTimeout{250'000};  ///< a connect that takes longer has failed
        std::chrono::microseconds idleTimeout{15'000'000};  ///< an idle connection is closed after it
        std::size_t ringBytes = kMaxRingBytes;              ///< of each direction of a connection
        /// For so long after a response a connection carries no other request; a request that finds only such
        /// connections waits for one of them. If a node sends a response twice, the second copy comes some
        /// milliseconds late, and without the cool-down it would be taken for the next response.
        std::chrono::microseconds cooldown{0};
    };

    /// A pending acquisition. Destroying it cancels it: a connect's socket is closed, and nothing is called.
    struct Acquisition {
        virtual ~Acquisition() = default;
    };

    /// Receives the connection, or null if none could be had. Called once, and never from within acquire().
    using OnAcquired = std::function<void(std::shared_ptr<Connection>)>;

    /// \param io the event loop, which must outlive the pool
    NodePool(boost::asio::io_context& io, Limits limits);

    /// Takes an idle connection to `to`, or connects. At the limit, the connection that has been idle the
    /// longest is closed to make capacity; if none is idle, the acquisition fails.
    std::shared_ptr<Acquisition> acquire(const config::Endpoint& to, OnAcquired onAcquired);
    /// Returns a connection for reuse: its last exchange is complete, and no byte of it is unread.
    void release(std::shared_ptr<Connection> connection);
    /// Closes the idle connections to `to`.
    void closeIdleTo(const config::Endpoint& to) { idle_.erase(to); }
    /// Closes all idle connections, and later those that are released.
    void clear();
    /// Changes `Limits::maxConnections`. Connections above the new limit stay open until they are idle.
    void setCapacity(std::size_t maxConnections) { limits_.maxConnections = maxConnections; }

    /// Connections open now, idle ones included.
    std::size_t openConnections() const { return *open_; }
    /// Connects started so far.
    std::uint64_t opened() const { return opened_; }
    /// Idle connections taken so far.
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
