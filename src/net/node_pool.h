// Connections to nodes: kept while idle, counted against a budget of descriptors.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "config/config.h"
#include "net/ring_buffer.h"

namespace wingproxy::net {

boost::asio::ip::tcp::endpoint tcpEndpoint(const config::Endpoint& e);

struct Connection {
    Connection(boost::asio::io_context& io, std::size_t ring) : socket(io), in(ring), out(ring) {}
    boost::asio::ip::tcp::socket socket;
    RingBuffer in, out;  // one a direction
    config::Endpoint to;
    std::chrono::steady_clock::time_point idleSince;
};

class NodePool {
public:
    struct Limits {
        std::size_t most = 400;  // connections, idle ones included
        std::chrono::microseconds connectIn{250'000}, idle{15'000'000};
        std::size_t ring = kMostRing;  // bytes a direction
        // So long after an answer a connection carries no other request, and one that has nothing better
        // waits for it: what a node sends twice comes some milliseconds late, and would be taken for the next
        // one's answer.
        std::chrono::microseconds rest{0};
    };
    // A pending connect; dropping it before it is done closes the socket and calls nothing.
    struct Ticket {
        virtual ~Ticket() = default;
    };
    using Ready = std::function<void(std::shared_ptr<Connection>)>;  // empty: could not connect

    NodePool(boost::asio::io_context& io, Limits limits);
    std::shared_ptr<Ticket> acquire(const config::Endpoint& to, Ready ready);
    void release(std::shared_ptr<Connection> connection);         // whole, nothing unread: may serve again
    void forget(const config::Endpoint& to) { idle_.erase(to); }  // closes what is idle there
    void clear();  // closes what is idle; later releases close too
    void setCapacity(std::size_t most) { limits_.most = most; }
    std::size_t open() const { return *open_; }
    std::uint64_t opened() const { return opened_; }
    std::uint64_t reused() const { return reused_; }

private:
    std::shared_ptr<Connection> make();
    std::shared_ptr<Connection> takeIdle(const config::Endpoint& to);
    bool dropOldestIdle();
    void sweep();

    boost::asio::io_context& io_;
    Limits limits_;
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
    std::map<config::Endpoint, std::deque<std::shared_ptr<Connection>>> idle_;
    boost::asio::steady_timer sweeper_;
    std::uint64_t opened_ = 0, reused_ = 0;
    bool cleared_ = false;
};

}  // namespace wingproxy::net
