// Attempts over HTTP/1.1 on pooled connections. Nothing is resent here.
#pragma once

#include <functional>
#include <memory>

#include "http/platform.h"
#include "net/engine.h"
#include "net/exchange.h"

namespace wingproxy::http {

class NodeAttempt : public net::Attempt, public std::enable_shared_from_this<NodeAttempt> {
public:
    // Called before the engine hears of an Ok.
    using Keep = std::function<void(int attempt, Answer answer, net::ByteBudget::Hold hold)>;
    NodeAttempt(net::Engine& engine, net::NodePool& pool, const net::AttemptOrder& order,
                std::shared_ptr<const Message> message, Keep keep);
    void start();
    void abandon() override;

private:
    void connected(std::shared_ptr<net::Connection> connection);
    void answered(net::Exchange::Result result, Answer answer);
    void end(core::Ended how);

    net::Engine& engine_;
    net::NodePool& pool_;
    net::AttemptOrder order_;
    std::shared_ptr<const Message> message_;
    Keep keep_;
    std::shared_ptr<net::NodePool::Ticket> ticket_;
    std::shared_ptr<net::Exchange> exchange_;
    bool over_ = false;
};

// GET /metrics/load, where the settings allow probes.
void probe(net::Engine& engine, net::NodePool& pool, const std::string& node, const config::Endpoint& at);

}  // namespace wingproxy::http
