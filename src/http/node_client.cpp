#include "http/node_client.h"

#include <fmt/format.h>

namespace wingproxy::http {
namespace {

constexpr std::size_t kMostAnswer = 64 * 1024;  // as long as the platform lets a body be
constexpr std::chrono::milliseconds kProbeTimeout{250};
// An answer that has begun goes on within this part of the shortest aim: another attempt may still be in
// time.
constexpr double kStallPart = 0.2;

std::chrono::microseconds stallOf(const Settings& settings) {
    const std::chrono::microseconds most = net::Exchange::kStall;
    const auto aim = settings.shortestAim();
    return aim > 0 ? std::min(most, std::chrono::microseconds(Micros(kStallPart * double(aim)))) : most;
}

}  // namespace

NodeAttempt::NodeAttempt(net::Engine& engine, net::NodePool& pool, const net::AttemptOrder& order,
                         std::shared_ptr<const Message> message, Keep keep)
    : net::NodeAttempt(engine, pool, order), message_(std::move(message)), keep_(std::move(keep)) {}

void NodeAttempt::late(std::shared_ptr<net::Connection> connection) { pool_.release(std::move(connection)); }

void NodeAttempt::connected(std::shared_ptr<net::Connection> connection) {
    const auto host = fmt::format("{}:{}", order_.node.host, order_.node.port);
    exchange_ = std::make_shared<net::Exchange>(
        std::move(connection), forNode(*message_, host, order_.giveUpAt - engine_.now()), kMostAnswer,
        [self = std::static_pointer_cast<NodeAttempt>(shared_from_this())](net::Exchange::Result result,
                                                                           Answer answer) {
            if (!self->over_) self->answered(result, std::move(answer));
        },
        &engine_.bodies(), stallOf(engine_.settings()));
    exchange_->start([this] { engine_.written(order_.id, order_.attempt); });
}

void NodeAttempt::answered(net::Exchange::Result result, Answer answer) {
    core::Ended ended;
    if (result == net::Exchange::Result::NotWritten) ended.outcome = Outcome::ConnectFailed;
    else if (result == net::Exchange::Result::Broken) ended.outcome = Outcome::Reset;
    else ended = readAnswer(answer, engine_.settings());
    if (auto connection = exchange_->reusable()) pool_.release(std::move(connection));
    if (ended.outcome == Outcome::Ok) keep_(order_.attempt, std::move(answer), exchange_->hold());
    end(std::move(ended));
}

void NodeAttempt::drop() {
    if (exchange_) exchange_->abandon();
    exchange_ = nullptr;
}

namespace {

class Probe : public std::enable_shared_from_this<Probe> {
public:
    Probe(net::Engine& engine, net::NodePool& pool, std::string node)
        : engine_(engine), pool_(pool), node_(std::move(node)), since_(engine.now()), timer_(engine.io()) {}
    void start(const config::Endpoint& at) {
        timer_.expires_after(kProbeTimeout);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error) self->end(Outcome::Timeout, {});
        });
        ticket_ =
            pool_.acquire(at, [self = shared_from_this(), at](std::shared_ptr<net::Connection> connection) {
                if (!connection) return self->end(Outcome::ConnectFailed, {});
                self->exchange_ = std::make_shared<net::Exchange>(
                    std::move(connection),
                    fmt::format("GET /metrics/load HTTP/1.1\r\nHost: {}:{}\r\n\r\n", at.host, at.port),
                    kMostAnswer, [self](net::Exchange::Result result, const Answer& answer) {
                        if (result != net::Exchange::Result::Answered) return self->end(Outcome::Reset, {});
                        if (auto whole = self->exchange_->reusable()) self->pool_.release(std::move(whole));
                        const auto ok = answer.result_int() == 200;
                        self->end(ok ? Outcome::Ok : Outcome::Error,
                                  readLoad(answer.body(), self->engine_.settings()));
                    });
                self->exchange_->start();
            });
    }

private:
    void end(Outcome outcome, std::vector<double> report) {
        if (over_) return;
        over_ = true;
        timer_.cancel();
        ticket_ = nullptr;
        if (exchange_) exchange_->abandon();
        exchange_ = nullptr;
        engine_.probed({node_, outcome, engine_.now() - since_, std::move(report)});
    }
    net::Engine& engine_;
    net::NodePool& pool_;
    std::string node_;
    Micros since_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<net::NodePool::Ticket> ticket_;
    std::shared_ptr<net::Exchange> exchange_;
    bool over_ = false;
};

}  // namespace

void probe(net::Engine& engine, net::NodePool& pool, const std::string& node, const config::Endpoint& at) {
    std::make_shared<Probe>(engine, pool, node)->start(at);
}

}  // namespace wingproxy::http
