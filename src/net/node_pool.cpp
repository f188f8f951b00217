#include "net/node_pool.h"

#include <algorithm>

#include "net/pool_acquisitions.h"

namespace wingproxy::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// How often connections past their idle timeout are closed. Closing one up to a second late does no harm, as
// each connection is checked again before its use.
constexpr std::chrono::seconds kSweepInterval{1};

}  // namespace

NodePool::NodePool(asio::io_context& io, Limits limits) : io_(io), limits_(limits), sweepTimer_(io) {
    closeExpired();
}

std::shared_ptr<NodePool::Acquisition> NodePool::acquire(const config::Endpoint& to, OnAcquired onAcquired) {
    if (auto idle = takeIdle(to)) return reuse(std::move(idle), std::move(onAcquired));
    auto connection = openConnection(to);
    if (!connection) {
        const auto acquisition = std::make_shared<FailedAcquisition>(io_, std::move(onAcquired));
        acquisition->start();
        return acquisition;
    }
    ++opened_;
    const auto acquisition =
        std::make_shared<ConnectAcquisition>(io_, std::move(connection), std::move(onAcquired));
    acquisition->start(limits_.connectTimeout);
    return acquisition;
}

std::shared_ptr<NodePool::Acquisition> NodePool::reuse(std::shared_ptr<Connection> connection,
                                                       OnAcquired onAcquired) {
    ++reused_;
    const auto cooldownEnd = connection->idleSince + limits_.cooldown;
    const auto acquisition =
        std::make_shared<ReuseAcquisition>(io_, *this, std::move(connection), std::move(onAcquired));
    acquisition->start(cooldownEnd);
    return acquisition;
}

// Returns null at the limit of connections or of the process's descriptors.
std::shared_ptr<Connection> NodePool::openConnection(const config::Endpoint& to) {
    if (*open_ >= limits_.maxConnections && !closeLongestIdle()) return nullptr;
    auto connection = makeConnection();
    connection->node = to;
    boost::system::error_code error;
    connection->socket.open(tcp::v4(), error);
    return error ? nullptr : connection;
}

std::shared_ptr<Connection> NodePool::makeConnection() {
    ++*open_;
    return {new Connection(io_, limits_.ringBytes), [count = open_](Connection* connection) {
                --*count;
                delete connection;
            }};
}

// Takes the newest connection whose cool-down is over, so that the older ones can reach the idle timeout; if
// there is none, the one whose cool-down ends first.
std::shared_ptr<Connection> NodePool::takeIdle(const config::Endpoint& to) {
    const auto it = idle_.find(to);
    if (it == idle_.end()) return nullptr;
    auto& idle = it->second;
    const auto cooledDownSince = std::chrono::steady_clock::now() - limits_.cooldown;
    while (!idle.empty()) {
        const auto cooling = std::upper_bound(
            idle.begin(), idle.end(), cooledDownSince,
            [](const auto& time, const auto& connection) { return time < connection->idleSince; });
        const auto position = cooling == idle.begin() ? cooling : std::prev(cooling);
        auto connection = std::move(*position);
        idle.erase(position);
        if (connection->isReusable()) return connection;
    }
    return nullptr;
}

void NodePool::release(std::shared_ptr<Connection> connection) {
    if (cleared_) return;
    connection->in.clear();
    connection->out.clear();
    connection->in.releaseIfEmpty();
    connection->out.releaseIfEmpty();
    connection->idleSince = std::chrono::steady_clock::now();
    idle_[connection->node].push_back(std::move(connection));
}

void NodePool::clear() {
    cleared_ = true;
    idle_.clear();
    sweepTimer_.cancel();
}

bool NodePool::closeLongestIdle() {
    auto longest = idle_.end();
    for (auto it = idle_.begin(); it != idle_.end(); ++it) {
        if (it->second.empty()) continue;
        if (longest == idle_.end() || it->second.front()->idleSince < longest->second.front()->idleSince)
            longest = it;
    }
    if (longest == idle_.end()) return false;
    longest->second.pop_front();
    return true;
}

void NodePool::closeExpired() {
    const auto expired = std::chrono::steady_clock::now() - limits_.idleTimeout;
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::erase_if(it->second, [expired](const auto& connection) {
            return connection->idleSince < expired || !connection->isReusable();
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
    sweepTimer_.expires_after(kSweepInterval);
    sweepTimer_.async_wait([this](const boost::system::error_code& error) {
        if (!error && !cleared_) closeExpired();
    });
}

}  // namespace wingproxy::net
