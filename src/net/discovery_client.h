/// \file
/// The discovery client: watches the endpoint list by long polling. Each request names the list version that
/// was received last. Owns its connection pool and the request in flight.
#pragma once

#include <memory>

#include "net/discovery_error.h"
#include "net/engine.h"
#include "net/http_exchange.h"
#include "net/watch_timing.h"

namespace wingproxy::net {

/// Fetches endpoint lists and passes them to the engine. Single-threaded; the engine must outlive it.
class DiscoveryClient {
public:
    /// Totals since the start.
    struct Counters {
        std::uint64_t calls = 0;      ///< requests sent
        std::uint64_t answers = 0;    ///< endpoint lists received
        std::uint64_t failed = 0;     ///< requests without a list, malformed ones included
        std::uint64_t malformed = 0;  ///< responses that were no endpoint list
        std::uint64_t slow = 0;  ///< endpoint lists that took longer than `DiscoveryTiming::slowResponse`
    };

    /// Where lists are pushed, the watch starts at once; where they are polled, the policy starts it.
    DiscoveryClient(Engine& engine, const config::Endpoint& address, WatchTiming timing = {});

    /// Starts the watch with a request, unless one is in flight already; or ends the watch.
    void setWatching(bool enabled);
    /// Changes the address of discovery. A new address cancels the request in flight; the next request gets
    /// the full list from there.
    void setAddress(const config::Endpoint& address);
    /// Ends the watch and closes the connections.
    void stop();
    /// Totals since the start.
    const Counters& counters() const { return counters_; }

private:
    void poll();
    void armTimeout(std::chrono::steady_clock::time_point at);
    void onTimeout();
    void cancelPoll();
    void send(std::shared_ptr<Connection> connection);
    void onResponse(HttpExchange::Result result, const HttpExchange::Response& response);
    void onList(config::AddressedEndpointList list, std::chrono::steady_clock::duration responseTime);
    void fail(DiscoveryError error);
    void retryLater();
    std::chrono::milliseconds nextWait() const;
    std::chrono::milliseconds nextTimeout() const;

    Engine& engine_;
    config::Endpoint address_;
    const bool listIsPushed_;
    const DiscoveryTiming timing_;
    NodePool pool_;
    boost::asio::steady_timer timeoutTimer_;
    boost::asio::steady_timer retryTimer_;
    std::shared_ptr<NodePool::Acquisition> acquisition_;
    std::shared_ptr<HttpExchange> exchange_;
    bool watching_ = false;
    bool pollInFlight_ = false;
    bool continuesWatch_ = false;  // the next request follows a response, and does not queue in discovery
    bool needsFullList_ = false;   // the next request gets the full list and is answered at once
    Counters counters_;
};

}  // namespace wingproxy::net
