#include "net/discovery_client.h"

#include <fmt/format.h>

namespace wingproxy::net {

using SteadyClock = std::chrono::steady_clock;

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
    armTimeout(SteadyClock::now() + nextTimeout());
    acquisition_ = pool_.acquire(address_, [this](std::shared_ptr<Connection> connection) {
        if (connection)
            send(std::move(connection));
        else
            fail(DiscoveryError::ConnectFailed);
    });
}

void DiscoveryClient::armTimeout(SteadyClock::time_point at) {
    timeoutTimer_.expires_at(at);
    timeoutTimer_.async_wait([this](const boost::system::error_code& error) {
        if (!error && pollInFlight_) onTimeout();
    });
}

// A response that has begun is not cut off: the next one from the same server would be as slow. Only its own
// limit ends it.
void DiscoveryClient::onTimeout() {
    const auto startedAt = exchange_ ? exchange_->responseStartedAt() : std::nullopt;
    if (!startedAt) return fail(DiscoveryError::TimedOut);
    const auto responseDeadline = *startedAt + timing_.watch.responseTimeout;
    if (SteadyClock::now() >= responseDeadline) return fail(DiscoveryError::TimedOut);
    armTimeout(responseDeadline);
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
        },
        timing_.watch.stallTimeout);
    exchange_->start();
}

void DiscoveryClient::onResponse(HttpExchange::Result result, const HttpExchange::Response& response) {
    const auto exchange = std::exchange(exchange_, nullptr);
    const auto responseStartedAt = exchange->responseStartedAt().value_or(SteadyClock::now());
    if (auto connection = exchange->takeReusableConnection()) pool_.release(std::move(connection));
    if (result == HttpExchange::Result::Stalled) return fail(DiscoveryError::ResponseStalled);
    if (result != HttpExchange::Result::Completed) return fail(DiscoveryError::ConnectionLost);
    if (response.result_int() != kStatusOk) return fail(DiscoveryError::UnexpectedStatus);
    try {
        onList(config::parseEndpointList(response.body()), SteadyClock::now() - responseStartedAt);
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

// A change in a list that took long to arrive may have been announced well before, as after a failed call.
void DiscoveryClient::onList(config::AddressedEndpointList list, SteadyClock::duration responseTime) {
    if (responseTime > timing_.slowResponse) {
        ++counters_.slow;
        engine_.endpointListUnavailable();
    }
    engine_.endpointListReceived(std::move(list));
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
