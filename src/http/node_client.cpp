#include "http/node_client.h"

#include <fmt/format.h>

#include <algorithm>

namespace wingproxy::http {
namespace {

namespace beast = boost::beast;

// A long answer of which nothing comes for so long has broken: peers take seconds, not this.
constexpr std::chrono::seconds kSilent{30};
// A probe that is lost changes nothing (the module takes only answers), so this bounds only what it holds.
constexpr std::chrono::milliseconds kProbeTimeout{250};
// An answer that has begun goes on within this part of the shortest aim: another attempt may still be in
// time.
constexpr double kStallPart = 0.2;

std::chrono::microseconds stallOf(const Settings& settings) {
    const std::chrono::microseconds most = net::Exchange::kStall;
    const auto aim = settings.shortestLatencyObjective();
    return aim > 0 ? std::min(most, std::chrono::microseconds(Micros(kStallPart * double(aim)))) : most;
}

}  // namespace

NodeAttempt::NodeAttempt(net::Engine& engine, net::NodePool& pool, const net::AttemptParams& order,
                         std::shared_ptr<const Message> message, std::optional<Framing> framing,
                         std::weak_ptr<Caller> caller, Keep keep)
    : net::NodeAttempt(engine, pool, order),
      message_(std::move(message)),
      framing_(framing),
      caller_(std::move(caller)),
      keep_(std::move(keep)),
      stall_(engine.io()) {}

void NodeAttempt::late(std::shared_ptr<net::Connection> connection) { pool_.release(std::move(connection)); }

void NodeAttempt::connected(std::shared_ptr<net::Connection> connection) {
    connection_ = std::move(connection);
    const auto host = fmt::format("{}:{}", order_.node.host, order_.node.port);
    text_ = forNode(*message_, host, order_.timeoutAt - engine_.now(), framing_ ? &*framing_ : nullptr);
    bodyPut_ = !framing_;
    reader_.emplace(connection_->in, kMostBody);
    write();
    // Of a short request the answer is read when it is written; a long one may be answered before.
    if (framing_ && !over_) read();
}

bool NodeAttempt::moreToWrite() {
    auto& out = connection_->out;
    put_ += out.put(std::string_view(text_).substr(put_));
    if (put_ < text_.size()) return true;
    std::string().swap(text_);
    put_ = 0;
    const auto caller = caller_.lock();
    char piece[16 * 1024];
    while (!bodyPut_ && caller && out.space() > net::kFrame) {
        const auto n = caller->takeBody(piece, std::min(sizeof piece, out.space() - net::kFrame));
        if (over_) return false;
        if (n > 0) {
            spent_ = true;
            net::putPiece(out, {piece, n}, framing_->chunked);
        }
        if (caller->bodyTaken()) {
            if (out.space() < net::kFrame) break;  // room for the end comes
            if (framing_->chunked) out.put("0\r\n\r\n");
            bodyPut_ = true;
        } else if (n == 0) {
            caller->wantBody([weak = weak_from_this()] {
                if (const auto held = weak.lock()) static_cast<NodeAttempt&>(*held).write();
            });
            break;
        }
    }
    return !bodyPut_;
}

void NodeAttempt::write() {
    if (over_ || writing_ || written_) return;
    const bool more = moreToWrite();
    if (over_) return;
    auto& out = connection_->out;
    if (out.size() == 0) {
        if (more) return;  // the client has to bring it
        written_ = true;
        engine_.attemptRequestSent(order_.id, order_.attempt);
        return read();
    }
    if (engine_.now() > order_.lastByteBy) return broke();  // what is left would come past its window
    writing_ = true;
    connection_->socket.async_write_some(
        out.data(), [self = self()](const boost::system::error_code& error, std::size_t n) {
            self->writing_ = false;
            if (self->over_) return;
            self->connection_->out.consume(n);
            if (error)
                self->broke();
            else
                self->write();
        });
}

void NodeAttempt::read() {
    if (over_ || reading_ || nodeEnded_ || connection_->in.space() == 0) return;
    reading_ = true;
    connection_->socket.async_read_some(
        connection_->in.room(), [self = self()](const boost::system::error_code& error, std::size_t n) {
            self->reading_ = false;
            if (self->over_) return;
            self->connection_->in.commit(n);
            self->stall_.cancel();
            if (error && error != boost::asio::error::eof) return self->broke();
            self->nodeEnded_ = bool(error);
            self->received();
        });
}

void NodeAttempt::received() {
    boost::system::error_code error;
    auto& in = connection_->in;
    if (!headDone_ && reader_->head(in, error)) {
        headDone_ = true;
        const auto status = reader_->parser().get().result_int();
        const auto length = reader_->parser().content_length();
        const bool ok = status == 200 && written_;
        if (ok && length && *length > kMostWhole) return beginPassing();
        hold_ = net::holdBody(reader_->parser(), engine_.bodies(), kMostWhole);
        if (!hold_) return broke();
    }
    if (headDone_ && !passing_) readWhole(error);
    if (over_) return;
    if (passing_) {
        if (const auto caller = caller_.lock()) caller->moreAnswer();
        return;
    }
    if (!error && nodeEnded_) reader_->closed(error);
    if (!error && reader_->done()) return finish();
    if (error || nodeEnded_ || in.space() == 0) return broke();
    if (headDone_ && written_ && !answering_ && reader_->parser().get().result_int() == 200) {
        answering_ = true;  // its bytes come slowly, which says nothing of its work
        engine_.responseHeadReceived(order_.id, order_.attempt);
        if (over_) return;
    }
    if (reader_->gotSome()) awaitMore(stallOf(engine_.settings()));
    read();
}

void NodeAttempt::readWhole(boost::system::error_code& error) {
    reader_->append(connection_->in, body_, kMostWhole, error);
    if (body_.size() <= kMostWhole) return;
    if (reader_->parser().get().result_int() == 200 && written_) return beginPassing();
    error = beast::http::error::body_limit;
}

// From now on the answer is the client's: it is passed on as it comes, and no other attempt can take its
// place.
void NodeAttempt::beginPassing() {
    const auto caller = caller_.lock();
    if (!caller) return broke();
    passing_ = true;
    const auto& parser = reader_->parser();
    const auto type = parser.get()[beast::http::field::content_type];
    Caller::LongAnswer answer{std::string(type.data(), type.size()), std::nullopt};
    if (const auto length = parser.content_length()) answer.length = *length;
    engine_.responseForwardingStarted(order_.id, order_.attempt, true);
    if (over_) return;
    caller->beginAnswer(answer, [weak = weak_from_this()](char* to, std::size_t n) {
        const auto held = weak.lock();
        return held ? static_cast<NodeAttempt&>(*held).pass(to, n) : 0;
    });
}

std::size_t NodeAttempt::pass(char* to, std::size_t n) {
    if (over_) return 0;
    if (!body_.empty()) {  // what came before it was known to be long
        n = std::min(n, body_.size());
        std::copy_n(body_.data(), n, to);
        body_.erase(0, n);
        if (body_.empty()) hold_ = nullptr;
        return n;
    }
    boost::system::error_code error;
    n = reader_->body(connection_->in, to, n, error);
    const bool empty = connection_->in.size() == 0;
    if (!error && nodeEnded_ && empty) reader_->closed(error);
    if (error || (nodeEnded_ && !reader_->done() && n == 0)) {
        broke();
    } else if (reader_->done()) {
        finish();
    } else if (connection_->in.space() == 0 && n == 0) {
        broke();  // a chunk's head that fits no ring
    } else {
        // Not while bytes are left that a later turn takes: a read under way at the end would cost the
        // connection.
        if (n == 0) awaitMore(kSilent);
        if (n == 0 || empty) read();
    }
    return n;
}

void NodeAttempt::awaitMore(std::chrono::microseconds patience) {
    stall_.expires_after(patience);
    stall_.async_wait([self = self(), patience](const boost::system::error_code& stopped) {
        if (stopped || self->over_ || !self->connection_) return;
        // Where this program was slow and not the node, more was read in this turn or still waits.
        boost::system::error_code error;
        if (self->stall_.expiry() > std::chrono::steady_clock::now()) return;
        if (self->connection_->socket.available(error) > 0 && !error) return self->awaitMore(patience);
        self->broke();
    });
}

void NodeAttempt::finish() {
    const auto& head = reader_->parser().get();
    core::AttemptFinished ended = readAnswer(head, engine_.settings());
    // Answered before the whole request was there: it was not served, whatever the node says, unless it fails
    // it.
    if (!written_ && ended.outcome == Outcome::Ok) ended.outcome = Outcome::Reset;
    ended.requestSpent = ended.requestSpent || spent_;
    if (ended.outcome == Outcome::Ok && !passing_) {
        Answer answer{AnswerHead(head)};
        answer.body() = std::move(body_);
        keep_(order_.attempt, std::move(answer), std::move(hold_));
    }
    const bool reusable =
        written_ && !nodeEnded_ && reader_->keepAlive() && connection_->in.size() == 0 && !reading_;
    if (reusable) pool_.release(std::exchange(connection_, nullptr));
    end(std::move(ended));
}

void NodeAttempt::broke() {
    core::AttemptFinished ended;
    ended.outcome = written_ ? Outcome::Reset : Outcome::ConnectFailed;
    ended.requestSpent = spent_;
    end(std::move(ended));
}

void NodeAttempt::drop() {
    stall_.cancel();
    boost::system::error_code ignored;
    if (connection_) connection_->socket.close(ignored);  // its rings stay until the handlers have run
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
                    kMostWhole, [self](net::Exchange::Result result, const Answer& answer) {
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
        engine_.healthCheckCompleted({node_, outcome, engine_.now() - since_, std::move(report)});
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
