#include "net/node_pool.h"

#include <algorithm>

namespace wingproxy::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Only frees what has been idle for too long; each connection is looked at before use besides.
constexpr std::chrono::seconds kSweepEvery{1};

// Quiet and open: an idle connection on which something came, or whose peer closed, is of no more use.
bool quiet(tcp::socket& socket) {
    char byte = 0;
    boost::system::error_code error;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
}

class Connecting : public NodePool::Ticket, public std::enable_shared_from_this<Connecting> {
public:
    Connecting(asio::io_context& io, std::shared_ptr<Connection> connection, NodePool::Ready ready)
        : connection_(std::move(connection)), ready_(std::move(ready)), timer_(io) {}
    void start(std::chrono::microseconds in) {
        const auto weak = weak_from_this();  // only the ticket's owner keeps it alive
        timer_.expires_after(in);
        timer_.async_wait([weak](const boost::system::error_code& error) {
            if (const auto self = weak.lock(); self && !error) self->done(asio::error::timed_out);
        });
        connection_->socket.async_connect(tcpEndpoint(connection_->to),
                                          [weak, held = connection_](const boost::system::error_code& error) {
                                              if (const auto self = weak.lock()) self->done(error);
                                          });
    }
    ~Connecting() override {
        boost::system::error_code ignored;
        if (connection_) connection_->socket.close(ignored);
    }

private:
    void done(const boost::system::error_code& error) {
        if (!ready_) return;
        timer_.cancel();
        const auto keep = shared_from_this();
        auto connection = std::exchange(connection_, nullptr);
        boost::system::error_code ignored;
        if (error)
            connection->socket.close(ignored), connection = nullptr;
        else {
            connection->socket.set_option(tcp::no_delay(true), ignored);
            connection->socket.non_blocking(true, ignored);
        }
        std::exchange(ready_, nullptr)(std::move(connection));
    }
    std::shared_ptr<Connection> connection_;
    NodePool::Ready ready_;
    asio::steady_timer timer_;
};

// Reports on a later turn of the loop, so that acquire() never calls back from inside, and once the
// connection has rested. Bytes that came meanwhile belong to an earlier answer: then another connection is
// used.
class Posted : public NodePool::Ticket, public std::enable_shared_from_this<Posted> {
public:
    Posted(asio::io_context& io, NodePool& pool, std::shared_ptr<Connection> connection,
           NodePool::Ready ready)
        : pool_(pool), rest_(io), connection_(std::move(connection)), ready_(std::move(ready)) {}
    void start(std::chrono::steady_clock::time_point at) {
        rest_.expires_at(at);
        rest_.async_wait([weak = weak_from_this()](const boost::system::error_code&) {
            const auto self = weak.lock();
            if (!self) return;
            const auto connection = std::move(self->connection_);
            auto ready = std::exchange(self->ready_, nullptr);
            if (!connection || quiet(connection->socket))
                ready(connection);
            else
                self->again_ = self->pool_.acquire(connection->to, std::move(ready));
        });
    }

private:
    NodePool& pool_;
    asio::steady_timer rest_;
    std::shared_ptr<NodePool::Ticket> again_;
    std::shared_ptr<Connection> connection_;
    NodePool::Ready ready_;
};

}  // namespace

tcp::endpoint tcpEndpoint(const config::Endpoint& e) { return {asio::ip::make_address_v4(e.host), e.port}; }

NodePool::NodePool(asio::io_context& io, Limits limits) : io_(io), limits_(limits), sweeper_(io) { sweep(); }

std::shared_ptr<Connection> NodePool::make() {
    ++*open_;
    return {new Connection(io_, limits_.ring), [count = open_](Connection* c) {
                --*count;
                delete c;
            }};
}

std::shared_ptr<Connection> NodePool::takeIdle(const config::Endpoint& to) {
    const auto it = idle_.find(to);
    if (it == idle_.end()) return nullptr;
    const auto rested = std::chrono::steady_clock::now() - limits_.rest;
    // The newest that has rested, as the others may go idle for good; else the one that has soonest.
    for (auto& all = it->second; !all.empty();) {
        const auto after = std::upper_bound(all.begin(), all.end(), rested,
                                            [](const auto& at, const auto& c) { return at < c->idleSince; });
        const auto taken = after == all.begin() ? after : std::prev(after);
        const auto connection = std::move(*taken);
        all.erase(taken);
        if (quiet(connection->socket)) return connection;
    }
    return nullptr;
}

std::shared_ptr<NodePool::Ticket> NodePool::acquire(const config::Endpoint& to, Ready ready) {
    if (auto connection = takeIdle(to)) {
        ++reused_;
        const auto at = connection->idleSince + limits_.rest;
        const auto ticket = std::make_shared<Posted>(io_, *this, std::move(connection), std::move(ready));
        ticket->start(at);
        return ticket;
    }
    boost::system::error_code error;
    std::shared_ptr<Connection> connection;
    if (*open_ < limits_.most || dropOldestIdle()) {
        connection = make();
        connection->to = to;
        connection->socket.open(tcp::v4(), error);
        if (error) connection = nullptr;  // out of descriptors: as if the node refused
    }
    if (!connection) {
        const auto ticket = std::make_shared<Posted>(io_, *this, nullptr, std::move(ready));
        ticket->start({});
        return ticket;
    }
    ++opened_;
    const auto ticket = std::make_shared<Connecting>(io_, std::move(connection), std::move(ready));
    ticket->start(limits_.connectIn);
    return ticket;
}

void NodePool::release(std::shared_ptr<Connection> connection) {
    if (cleared_) return;
    connection->in.clear();
    connection->out.clear();
    connection->idleSince = std::chrono::steady_clock::now();
    idle_[connection->to].push_back(std::move(connection));
}

void NodePool::clear() {
    cleared_ = true;
    idle_.clear();
    sweeper_.cancel();
}

bool NodePool::dropOldestIdle() {
    auto oldest = idle_.end();
    for (auto it = idle_.begin(); it != idle_.end(); ++it)
        if (!it->second.empty() &&
            (oldest == idle_.end() || it->second.front()->idleSince < oldest->second.front()->idleSince))
            oldest = it;
    if (oldest == idle_.end()) return false;
    oldest->second.pop_front();
    return true;
}

void NodePool::sweep() {
    const auto since = std::chrono::steady_clock::now() - limits_.idle;
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::erase_if(it->second, [&](const auto& c) { return c->idleSince < since || !quiet(c->socket); });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
    sweeper_.expires_after(kSweepEvery);
    sweeper_.async_wait([this](const boost::system::error_code& error) {
        if (!error && !cleared_) sweep();
    });
}

}  // namespace wingproxy::net
