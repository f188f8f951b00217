#include "net/discovery_client.h"

#include <fmt/format.h>

namespace wingproxy::net {
namespace {

// Fits several thousand nodes in indented JSON; the largest fleet that the protocol names has 200.
constexpr std::size_t kMaxListBytes = std::size_t{1024} * 1024;
constexpr unsigned kStatusOk = 200;

// One connection, and a second one for a poll that starts before the handlers of a cancelled one have run.
constexpr NodePool::Limits kPoolLimits{
    .maxConnections = 2, .connectTimeout = std::chrono::seconds(1), .idleTimeout = std::chrono::seconds(10)};

}  // namespace

DiscoveryClient::DiscoveryClient(Engine& engine, const config::Endpoint& address, WatchTiming timing)
    : engine_(engine),
      address_(address),
      listIsPushed_(!engine.settings().pollsEndpointList),
      timing_(discoveryTiming(engine.settings(), timing)),
      pool_(engine.io(), kPoolLimits),
      timeoutTimer_(engine.io()),
      retryTimer_(engine.io()) {
    if (listIsPushed_) setWatching(true);
}

void DiscoveryClient::setWatching(bool enabled) {
    watching_ = enabled;
    if (!enabled) {
        cancelPoll();
    } else if (!pollInFlight_) {
        poll();
    }
}

void DiscoveryClient::setAddress(const config::Endpoint& address) {
    if (address == address_) return;
    cancelPoll();
    pool_.closeIdleTo(address_);
    address_ = address;
    needsFullList_ = true;  // the versions of another server may count differently
    if (watching_) poll();
}

void DiscoveryClient::cancelPoll() {
    pollInFlight_ = false;
    continuesWatch_ = false;
    acquisition_ = nullptr;
    if (exchange_) exchange_->cancel();
    exchange_ = nullptr;
    timeoutTimer_.cancel();
    retryTimer_.cancel();
}

void DiscoveryClient::stop() {
    watching_ = false;
    cancelPoll();
    pool_.clear();
}

std::chrono::milliseconds DiscoveryClient::nextWait() const {
    const bool answeredAtOnce = needsFullList_ || (listIsPushed_ && !continuesWatch_);
    return answeredAtOnce ? std::chrono::milliseconds(0) : timing_.watch.wait;
}

std::chrono::milliseconds DiscoveryClient::nextTimeout() const {
    return nextWait() + (continuesWatch_ ? timing_.watch.continuedTimeout : timing_.watch.firstTimeout);
}

void DiscoveryClient::poll() {
    pollInFlight_ = true;
    ++counters_.calls;
    timeoutTimer_.expires_after(nextTimeout());
    timeoutTimer_.async_wait([this](const boost::system::error_code& error) {
        if (!error && pollInFlight_) fail(DiscoveryError::TimedOut);
    });
    acquisition_ = pool_.acquire(address_, [this](std::shared_ptr<Connection> connection) {
        if (connection)
            send(std::move(connection));
        else
            fail(DiscoveryError::ConnectFailed);
    });
}

void DiscoveryClient::send(std::shared_ptr<Connection> connection) {
    const auto query =
        needsFullList_ ? "" : fmt::format("?after={}&wait_ms={}", engine_.listVersion(), nextWait().count());
    const auto request =
        fmt::format("GET /discovery/hosts{} HTTP/1.1\r\nHost: {}:{}\r\nAccept: application/json\r\n\r\n",
                    query, address_.host, address_.port);
    exchange_ = std::make_shared<HttpExchange>(
        std::move(connection), request, kMaxListBytes,
        [this](HttpExchange::Result result, const HttpExchange::Response& response) {
            onResponse(result, response);
        });
    exchange_->start();
}

void DiscoveryClient::onResponse(HttpExchange::Result result, const HttpExchange::Response& response) {
    const auto exchange = std::exchange(exchange_, nullptr);
    if (auto connection = exchange->takeReusableConnection()) pool_.release(std::move(connection));
    if (result != HttpExchange::Result::Completed) return fail(DiscoveryError::ConnectionLost);
    if (response.result_int() != kStatusOk) return fail(DiscoveryError::UnexpectedStatus);
    try {
        engine_.endpointListReceived(config::parseEndpointList(response.body()));
    } catch (const config::ConfigError& error) {
        ++counters_.malformed;
        engine_.logger().warn("discovery: malformed endpoint list dropped, {}", error.what());
        return fail(DiscoveryError::MalformedList);
    }
    ++counters_.answers;
    needsFullList_ = false;
    continuesWatch_ = true;
    if (watching_) poll();  // at once: the protocol allows at most 200 ms between two requests of a watch
}

// Informs the policy, which must then assume that the changes in the next list were announced earlier. Where
// lists are polled, the policy orders the retry; where they are pushed, it never does.
void DiscoveryClient::fail(DiscoveryError error) {
    ++counters_.failed;
    cancelPoll();
    engine_.logger().warn("discovery: poll failed, {}", describe(error));
    engine_.endpointListUnavailable();
    if (listIsPushed_) retryLater();
}

void DiscoveryClient::retryLater() {
    retryTimer_.expires_after(timing_.retryDelay);
    retryTimer_.async_wait([this](const boost::system::error_code& error) {
        if (!error && watching_ && !pollInFlight_) poll();
    });
}

}  // namespace wingproxy::net
