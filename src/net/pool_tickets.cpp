#include "net/pool_tickets.h"

#include <utility>

namespace wingproxy::net {

namespace asio = boost::asio;

PendingConnect::PendingConnect(asio::io_context& io, std::shared_ptr<Connection> connection,
                               NodePool::Ready ready)
    : connection_(std::move(connection)), ready_(std::move(ready)), timeout_(io) {}

PendingConnect::~PendingConnect() {
    boost::system::error_code ignored;
    if (connection_) connection_->socket.close(ignored);
}

void PendingConnect::start(std::chrono::microseconds timeout) {
    const auto weak = weak_from_this();
    timeout_.expires_after(timeout);
    timeout_.async_wait([weak](const boost::system::error_code& error) {
        if (const auto self = weak.lock(); self && !error) self->complete(asio::error::timed_out);
    });
    connection_->socket.async_connect(
        tcpEndpoint(connection_->to),
        [weak, keepAlive = connection_](const boost::system::error_code& error) {
            if (const auto self = weak.lock()) self->complete(error);
        });
}

void PendingConnect::complete(const boost::system::error_code& error) {
    if (!ready_) return;
    timeout_.cancel();
    const auto keepAlive = shared_from_this();  // the owner drops this once it has the connection
    auto connection = std::exchange(connection_, nullptr);
    if (error) {
        boost::system::error_code ignored;
        connection->socket.close(ignored);
        connection = nullptr;
    } else {
        connection->configureSocket();
    }
    std::exchange(ready_, nullptr)(std::move(connection));
}

PendingReuse::PendingReuse(asio::io_context& io, NodePool& pool, std::shared_ptr<Connection> connection,
                           NodePool::Ready ready)
    : pool_(pool), cooldown_(io), connection_(std::move(connection)), ready_(std::move(ready)) {}

void PendingReuse::start(std::chrono::steady_clock::time_point cooldownEnd) {
    cooldown_.expires_at(cooldownEnd);
    cooldown_.async_wait([weak = weak_from_this()](const boost::system::error_code&) {
        if (const auto self = weak.lock()) self->complete();
    });
}

void PendingReuse::complete() {
    const auto connection = std::move(connection_);
    auto ready = std::exchange(ready_, nullptr);
    if (connection->isQuiet())
        ready(connection);
    else
        replacement_ = pool_.acquire(connection->to, std::move(ready));
}

PendingFailure::PendingFailure(asio::io_context& io, NodePool::Ready ready)
    : timer_(io), ready_(std::move(ready)) {}

void PendingFailure::start() {
    timer_.expires_at({});
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code&) {
        if (const auto self = weak.lock()) std::exchange(self->ready_, nullptr)(nullptr);
    });
}

}  // namespace wingproxy::net
