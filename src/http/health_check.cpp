#include "http/health_check.h"

#include <fmt/format.h>

#include <chrono>
#include <memory>
#include <utility>
#include <vector>

#include "http/messages.h"
#include "http/node_response.h"
#include "net/http_exchange.h"

namespace wingproxy::http {
namespace {

// Limits only how long a check holds a connection: the policy ignores checks that fail.
constexpr std::chrono::milliseconds kHealthCheckTimeout{250};

// Kept alive by its pending handlers until it has completed.
class HealthCheck : public std::enable_shared_from_this<HealthCheck> {
public:
    HealthCheck(net::Engine& engine, net::NodePool& pool, std::string node, config::Endpoint address)
        : engine_(engine),
          pool_(pool),
          node_(std::move(node)),
          address_(std::move(address)),
          startedAt_(engine.now()),
          timer_(engine.io()) {}

    void start() {
        timer_.expires_after(kHealthCheckTimeout);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error) self->complete(Outcome::Timeout, {});
        });
        acquisition_ =
            pool_.acquire(address_, [self = shared_from_this()](std::shared_ptr<net::Connection> connection) {
                if (connection)
                    self->sendRequest(std::move(connection));
                else
                    self->complete(Outcome::ConnectFailed, {});
            });
    }

private:
    void sendRequest(std::shared_ptr<net::Connection> connection) {
        auto request =
            fmt::format("GET /metrics/load HTTP/1.1\r\nHost: {}:{}\r\n\r\n", address_.host, address_.port);
        exchange_ = std::make_shared<net::HttpExchange>(
            std::move(connection), std::move(request), kMaxBufferedBody,
            [self = shared_from_this()](net::HttpExchange::Result result, const ResponseMessage& response) {
                self->onResponse(result, response);
            });
        exchange_->start();
    }

    void onResponse(net::HttpExchange::Result result, const ResponseMessage& response) {
        if (result != net::HttpExchange::Result::Completed) return complete(Outcome::Reset, {});
        if (auto connection = exchange_->takeReusableConnection()) pool_.release(std::move(connection));
        const bool isOk = response.result() == boost::beast::http::status::ok;
        complete(isOk ? Outcome::Ok : Outcome::Error, parseLoadReport(response.body(), engine_.settings()));
    }

    void complete(Outcome outcome, std::vector<double> report) {
        if (std::exchange(completed_, true)) return;
        timer_.cancel();
        acquisition_ = nullptr;
        if (exchange_) exchange_->cancel();
        exchange_ = nullptr;
        engine_.healthCheckCompleted({node_, outcome, engine_.now() - startedAt_, std::move(report)});
    }

    net::Engine& engine_;
    net::NodePool& pool_;
    std::string node_;
    config::Endpoint address_;
    Micros startedAt_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<net::NodePool::Acquisition> acquisition_;
    std::shared_ptr<net::HttpExchange> exchange_;
    bool completed_ = false;
};

}  // namespace

void startHealthCheck(net::Engine& engine, net::NodePool& pool, const std::string& node,
                      const config::Endpoint& address) {
    std::make_shared<HealthCheck>(engine, pool, node, address)->start();
}

}  // namespace wingproxy::http
