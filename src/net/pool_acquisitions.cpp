#include "net/pool_acquisitions.h"

#include <utility>

namespace wingproxy::net {

namespace asio = boost::asio;

ConnectAcquisition::ConnectAcquisition(asio::io_context& io, std::shared_ptr<Connection> connection,
                                       NodePool::OnAcquired onAcquired)
    : connection_(std::move(connection)), onAcquired_(std::move(onAcquired)), timeout_(io) {}

ConnectAcquisition::~ConnectAcquisition() {
    if (connection_) connection_->close();
}

void ConnectAcquisition::start(std::chrono::microseconds timeout) {
    const auto weak = weak_from_this();
    timeout_.expires_after(timeout);
    timeout_.async_wait([weak](const boost::system::error_code& error) {
        if (const auto self = weak.lock(); self && !error) self->complete(asio::error::timed_out);
    });
    connection_->socket.async_connect(
        tcpEndpoint(connection_->node),
        [weak, keepAlive = connection_](const boost::system::error_code& error) {
            if (const auto self = weak.lock()) self->complete(error);
        });
}

void ConnectAcquisition::complete(const boost::system::error_code& error) {
    if (!onAcquired_) return;
    timeout_.cancel();
    const auto keepAlive = shared_from_this();  // the callback lets the owner drop this acquisition
    auto connection = std::exchange(connection_, nullptr);
    if (error) {
        connection->close();
        connection = nullptr;
    } else {
        connection->configureSocket();
    }
    std::exchange(onAcquired_, nullptr)(std::move(connection));
}

ReuseAcquisition::ReuseAcquisition(asio::io_context& io, NodePool& pool,
                                   std::shared_ptr<Connection> connection, NodePool::OnAcquired onAcquired)
    : pool_(pool), cooldown_(io), connection_(std::move(connection)), onAcquired_(std::move(onAcquired)) {}

void ReuseAcquisition::start(std::chrono::steady_clock::time_point cooldownEnd) {
    cooldown_.expires_at(cooldownEnd);
    cooldown_.async_wait([weak = weak_from_this()](const boost::system::error_code&) {
        if (const auto self = weak.lock()) self->complete();
    });
}

void ReuseAcquisition::complete() {
    const auto connection = std::move(connection_);
    auto onAcquired = std::exchange(onAcquired_, nullptr);
    if (connection->isReusable())
        onAcquired(connection);
    else
        replacement_ = pool_.acquire(connection->node, std::move(onAcquired));
}

FailedAcquisition::FailedAcquisition(asio::io_context& io, NodePool::OnAcquired onAcquired)
    : timer_(io), onAcquired_(std::move(onAcquired)) {}

void FailedAcquisition::start() {
    timer_.expires_at({});
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code&) {
        if (const auto self = weak.lock()) std::exchange(self->onAcquired_, nullptr)(nullptr);
    });
}

}  // namespace wingproxy::net
