// Attempts over HTTP/1.1 on pooled connections. Nothing is resent here.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "http/platform.h"
#include "net/answer_reader.h"
#include "net/exchange.h"
#include "net/node_attempt.h"

namespace wingproxy::http {

// Up to so many bytes a body or an answer is held whole; what is longer passes through the rings.
constexpr std::size_t kMostWhole = 64 * 1024;
// No body is longer: more than the platform sends, and far below what a counter holds.
constexpr std::size_t kMostBody = 64 * 1024 * 1024;

// The client's end of one request, as its attempts see it. All calls are made on the loop.
class Caller {
public:
    virtual ~Caller() = default;
    // Moves body bytes out, as far as they are here: no other attempt can have them then.
    virtual std::size_t takeBody(char* to, std::size_t n) = 0;
    virtual bool bodyTaken() const = 0;                     // all of it
    virtual void wantBody(std::function<void()> more) = 0;  // called once, when there may be more
    // A long answer begins: its head's fields, how it ends, and who gives the body.
    struct LongAnswer {
        std::string type;
        std::optional<std::uint64_t> length;
    };
    virtual void beginAnswer(const LongAnswer& answer,
                             std::function<std::size_t(char*, std::size_t)> take) = 0;
    virtual void moreAnswer() = 0;
};

class NodeAttempt : public net::NodeAttempt {
public:
    // A short answer, whole. Called before the engine hears of an Ok.
    using Keep = std::function<void(int attempt, Answer answer, net::ByteBudget::Hold hold)>;
    // With a framing the message has no body yet, and the caller gives it.
    NodeAttempt(net::Engine& engine, net::NodePool& pool, const net::AttemptParams& order,
                std::shared_ptr<const Message> message, std::optional<Framing> framing,
                std::weak_ptr<Caller> caller, Keep keep);

private:
    void connected(std::shared_ptr<net::Connection> connection) override;
    void late(std::shared_ptr<net::Connection> connection) override;
    void drop() override;

    void write();
    bool moreToWrite();  // into the ring; false: the request is all there
    void read();
    void received();
    void readWhole(boost::system::error_code& error);
    void beginPassing();
    std::size_t pass(char* to, std::size_t n);  // answer bytes to the client
    void finish();
    void broke();  // the connection, or what came on it
    void awaitMore(std::chrono::microseconds patience);
    std::shared_ptr<NodeAttempt> self() { return std::static_pointer_cast<NodeAttempt>(shared_from_this()); }

    std::shared_ptr<const Message> message_;
    std::optional<Framing> framing_;
    std::weak_ptr<Caller> caller_;
    Keep keep_;
    std::shared_ptr<net::Connection> connection_;
    std::string text_;  // of the request, not in the ring yet
    std::size_t put_ = 0;
    std::optional<net::AnswerReader> reader_;
    std::string body_;  // of a short answer
    net::ByteBudget::Hold hold_;
    boost::asio::steady_timer stall_;
    bool bodyPut_ = false, written_ = false, spent_ = false, writing_ = false, reading_ = false;
    bool headDone_ = false, answering_ = false, passing_ = false, nodeEnded_ = false;
};

// GET /metrics/load, where the settings allow probes.
void probe(net::Engine& engine, net::NodePool& pool, const std::string& node, const config::Endpoint& at);

}  // namespace wingproxy::http
