#include "net/discovery.h"

#include <fmt/format.h>

#include <algorithm>

namespace wingproxy::net {
namespace {

// Where lists are pushed: parts of a drain's grace in which a silent call is missed, and another one follows.
// With a half of it for the first byte of an attempt (core/reducer.cpp) that leaves an eighth.
constexpr int kMissedPart = 4, kAgainPart = 8;
constexpr std::chrono::milliseconds kMissed{500}, kAgain{500};  // at the most, and where no rule holds
// Room for several thousand chunk servers, indented; the largest fleet that the pages name has 200.
constexpr std::size_t kMostList = 1024 * 1024;

}  // namespace

Discovery::Discovery(Engine& engine, const config::Endpoint& at, WatchTiming timing)
    : engine_(engine),
      at_(at),
      timing_(timing),
      pushed_(!engine.settings().pollsEndpointList),
      againIn_(kAgain),
      pool_(engine.io(), {2, std::chrono::seconds(1), std::chrono::seconds(10)}),
      timeout_(engine.io()),
      again_(engine.io()) {
    if (!pushed_) return;
    timing_.patienceAnew = std::min(timing_.patienceAnew, kMissed);
    if (const std::chrono::microseconds grace(engine.settings().drainGraceUs); grace.count() > 0) {
        timing_.patienceAnew = std::min(
            timing_.patienceAnew, std::chrono::duration_cast<std::chrono::milliseconds>(grace / kMissedPart));
        againIn_ = std::min(againIn_, grace / kAgainPart);
    }
    setWatching(true);
}

void Discovery::setWatching(bool on) {
    on_ = on;
    if (!on) {
        abandon();
    } else if (!calling_) {
        call();
    }
}

void Discovery::moveTo(const config::Endpoint& to) {
    if (to == at_) return;
    abandon();
    pool_.forget(at_);
    at_ = to;
    whole_ = true;  // its generations may not be the old one's
    if (on_) call();
}

void Discovery::abandon() {
    calling_ = goesOn_ = false;
    ticket_ = nullptr;
    if (exchange_) exchange_->abandon();
    exchange_ = nullptr;
    timeout_.cancel();
    again_.cancel();
}

void Discovery::stop() {
    on_ = false;
    abandon();
    pool_.clear();
}

std::chrono::milliseconds Discovery::wait() const {
    return whole_ || (pushed_ && !goesOn_) ? std::chrono::milliseconds(0) : timing_.wait;
}

void Discovery::call() {
    calling_ = true;
    ++counters_.calls;
    timeout_.expires_after(wait() + (goesOn_ ? timing_.patience : timing_.patienceAnew));
    timeout_.async_wait([this](const boost::system::error_code& error) {
        if (!error && calling_) fail("no answer in time");
    });
    ticket_ = pool_.acquire(at_, [this](std::shared_ptr<Connection> connection) {
        if (connection)
            send(std::move(connection));
        else
            fail("no connection");
    });
}

void Discovery::send(std::shared_ptr<Connection> connection) {
    const auto query =
        whole_ ? "" : fmt::format("?after={}&wait_ms={}", engine_.listVersion(), wait().count());
    auto request =
        fmt::format("GET /discovery/hosts{} HTTP/1.1\r\nHost: {}:{}\r\nAccept: application/json\r\n\r\n",
                    query, at_.host, at_.port);
    exchange_ = std::make_shared<Exchange>(
        std::move(connection), std::move(request), kMostList,
        [this](Exchange::Result result, const Exchange::Response& response) { answered(result, response); });
    exchange_->start();
}

void Discovery::answered(Exchange::Result result, const Exchange::Response& response) {
    const auto exchange = std::exchange(exchange_, nullptr);
    if (auto connection = exchange->reusable()) pool_.release(std::move(connection));
    if (result != Exchange::Result::Answered) return fail("the connection broke");
    if (response.result_int() != 200) return fail("an answer other than 200");
    try {
        engine_.endpointListReceived(config::parseEndpointListing(response.body()));
    } catch (const config::ConfigError& bad) {
        ++counters_.malformed;
        engine_.logger().warn("discovery: list dropped, {}", bad.what());
        return fail("a malformed list");
    }
    ++counters_.answers;
    whole_ = false;
    goesOn_ = true;
    if (on_) call();  // at once: a watch goes on within 200 ms
}

// The module hears of it, as what the next list tells may have been told before, and asks again when it wants
// to; where lists come unasked it never asks.
void Discovery::fail(const char* why) {
    ++counters_.failed;
    abandon();
    engine_.logger().warn("discovery: call failed, {}", why);
    engine_.endpointListUnavailable();
    if (!pushed_) return;
    again_.expires_after(againIn_);
    again_.async_wait([this](const boost::system::error_code& error) {
        if (!error && on_ && !calling_) call();
    });
}

}  // namespace wingproxy::net
