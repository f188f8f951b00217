/// \file
/// The ways in which an acquisition of the node pool completes: a connect, a reuse, or a failure. Each owns
/// its timer and its connection until it has completed.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>

#include "net/node_pool.h"

namespace wingproxy::net {

/// Connects an open socket. Only its owner keeps it alive: destroyed before it has completed, it closes the
/// socket and calls nothing.
class PendingConnect : public NodePool::Ticket, public std::enable_shared_from_this<PendingConnect> {
public:
    PendingConnect(boost::asio::io_context& io, std::shared_ptr<Connection> connection,
                   NodePool::Ready ready);
    ~PendingConnect() override;
    PendingConnect(const PendingConnect&) = delete;
    PendingConnect& operator=(const PendingConnect&) = delete;

    /// Connects, and fails after `timeout`.
    void start(std::chrono::microseconds timeout);

private:
    void complete(const boost::system::error_code& error);

    std::shared_ptr<Connection> connection_;
    NodePool::Ready ready_;
    boost::asio::steady_timer timeout_;
};

/// Waits for the end of an idle connection's cool-down. If bytes have come on it until then, they belong to
/// an earlier response, and another connection is acquired instead.
class PendingReuse : public NodePool::Ticket, public std::enable_shared_from_this<PendingReuse> {
public:
    PendingReuse(boost::asio::io_context& io, NodePool& pool, std::shared_ptr<Connection> connection,
                 NodePool::Ready ready);

    /// Completes at `cooldownEnd`, or on a later turn of the loop if that is past.
    void start(std::chrono::steady_clock::time_point cooldownEnd);

private:
    void complete();

    NodePool& pool_;
    boost::asio::steady_timer cooldown_;
    std::shared_ptr<Connection> connection_;
    std::shared_ptr<NodePool::Ticket> replacement_;
    NodePool::Ready ready_;
};

/// Reports a failure on a later turn of the loop, as acquire() never calls back from within.
class PendingFailure : public NodePool::Ticket, public std::enable_shared_from_this<PendingFailure> {
public:
    PendingFailure(boost::asio::io_context& io, NodePool::Ready ready);

    void start();

private:
    boost::asio::steady_timer timer_;
    NodePool::Ready ready_;
};

}  // namespace wingproxy::net
