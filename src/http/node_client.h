// Attempts over HTTP/1.1 on pooled connections. Nothing is resent here.
#pragma once

#include <functional>
#include <memory>

#include "http/platform.h"
#include "net/exchange.h"
#include "net/node_attempt.h"

namespace wingproxy::http {

class NodeAttempt : public net::NodeAttempt {
public:
    // Called before the engine hears of an Ok.
    using Keep = std::function<void(int attempt, Answer answer, net::ByteBudget::Hold hold)>;
    NodeAttempt(net::Engine& engine, net::NodePool& pool, const net::AttemptOrder& order,
                std::shared_ptr<const Message> message, Keep keep);

private:
    void connected(std::shared_ptr<net::Connection> connection) override;
    void late(std::shared_ptr<net::Connection> connection) override;
    void drop() override;
    void answered(net::Exchange::Result result, Answer answer);

    std::shared_ptr<const Message> message_;
    Keep keep_;
    std::shared_ptr<net::Exchange> exchange_;
};

// GET /metrics/load, where the settings allow probes.
void probe(net::Engine& engine, net::NodePool& pool, const std::string& node, const config::Endpoint& at);

}  // namespace wingproxy::http
