/// \file
/// The ways in which an acquisition from the node pool completes: by a connect, by reuse, or by a failure.
/// Each owns its timer and its connection until it has completed.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>

#include "net/node_pool.h"

namespace wingproxy::net {

/// Connects an open socket. Only its owner keeps it alive: if it is destroyed before it has completed, it
/// closes the socket and does not call back.
class ConnectAcquisition : public NodePool::Acquisition,
                           public std::enable_shared_from_this<ConnectAcquisition> {
public:
    /// \param connection with an open socket and the node's address
    /// \param onAcquired gets the connection once it is established, or null if that failed or took too long
    ConnectAcquisition(boost::asio::io_context& io, std::shared_ptr<Connection> connection,
                       NodePool::OnAcquired onAcquired);
    ~ConnectAcquisition() override;
    ConnectAcquisition(const ConnectAcquisition&) = delete;
    ConnectAcquisition& operator=(const ConnectAcquisition&) = delete;

    /// Connects, and fails after `timeout`.
    void start(std::chrono::microseconds timeout);

private:
    void complete(const boost::system::error_code& error);

    std::shared_ptr<Connection> connection_;
    NodePool::OnAcquired onAcquired_;
    boost::asio::steady_timer timeout_;
};

/// Waits for the end of an idle connection's cool-down. If the connection is closed by then or bytes have
/// arrived on it, which belong to an earlier response, another connection is acquired instead.
class ReuseAcquisition : public NodePool::Acquisition, public std::enable_shared_from_this<ReuseAcquisition> {
public:
    /// \param pool acquires the replacement; must outlive this
    /// \param onAcquired gets this connection, or the result of acquiring the replacement
    ReuseAcquisition(boost::asio::io_context& io, NodePool& pool, std::shared_ptr<Connection> connection,
                     NodePool::OnAcquired onAcquired);

    /// Completes at `cooldownEnd`, or on a later turn of the loop if that is past.
    void start(std::chrono::steady_clock::time_point cooldownEnd);

private:
    void complete();

    NodePool& pool_;
    boost::asio::steady_timer cooldown_;
    std::shared_ptr<Connection> connection_;
    std::shared_ptr<NodePool::Acquisition> replacement_;
    NodePool::OnAcquired onAcquired_;
};

/// Reports a failure on a later turn of the loop, as acquire() never calls back before it returns.
class FailedAcquisition : public NodePool::Acquisition,
                          public std::enable_shared_from_this<FailedAcquisition> {
public:
    /// \param onAcquired gets null
    FailedAcquisition(boost::asio::io_context& io, NodePool::OnAcquired onAcquired);

    /// Schedules the callback for the next turn of the loop.
    void start();

private:
    boost::asio::steady_timer timer_;
    NodePool::OnAcquired onAcquired_;
};

}  // namespace wingproxy::net
