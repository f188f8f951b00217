#include "http/front.h"

#include <fmt/format.h>

#include <boost/beast/http/parser.hpp>
#include <map>
#include <optional>

namespace wingproxy::http {
namespace {

namespace beast = boost::beast;
using boost::asio::ip::tcp;

constexpr std::size_t kRing = 16 * 1024, kMostHeader = 8 * 1024, kMostBody = 64 * 1024;
// The answer's last byte must be with the client by its deadline: this much is kept for the way there.
constexpr Micros kAnswerRoom = 3'000;
constexpr std::chrono::milliseconds kLinger{300};            // for the client to read the last answer and close

}  // namespace

// One client's connection. Owned by the front's list; handlers keep it alive until they have run.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(Front& front, tcp::socket socket)
        : front_(front), socket_(std::move(socket)), in_(kRing), out_(kRing), linger_(front.engine_.io()) {}
    void start() {
        next();
        read();
    }
    bool idle() const { return state_ == State::Reading && in_.size() == 0 && !parser_->got_some(); }
    void close();
    void answer(int status, std::string_view fields, std::string_view body);

    std::list<std::shared_ptr<Session>>::iterator place;

private:
    enum class State { Reading, Waiting, Writing, Lingering, Closed };
    struct Pending;
    void next();
    void read();
    void parse();
    void reject(const boost::system::error_code& error);
    void begin();
    void write();
    void written();
    void atEnd();

    Front& front_;
    tcp::socket socket_;
    net::RingBuffer in_, out_;
    std::optional<beast::http::request_parser<beast::http::string_body>> parser_;
    State state_ = State::Reading;
    bool reading_ = false, keepAlive_ = true;
    RequestId id_ = 0;
    std::string answer_;
    std::size_t put_ = 0;
    boost::asio::steady_timer linger_;
};

// The request while the engine has it. The client's connection may be gone before it is over.
struct Session::Pending : net::Transfer {
    Pending(Front& front, std::shared_ptr<Session> session, std::shared_ptr<const Message> message)
        : front(front), session(session), message(std::move(message)) {}
    std::shared_ptr<net::Attempt> start(const net::AttemptOrder& order) override {
        const auto attempt = std::make_shared<NodeAttempt>(
            front.engine_, front.pool_, order, message,
            [this](int number, Answer answer) { answers[number] = std::move(answer); });
        attempt->start();
        return attempt;
    }
    void deliver(int attempt) override {
        const auto& kept = answers[attempt];
        const auto type = kept[beast::http::field::content_type];
        reply(200, type.empty() ? "" : fmt::format("Content-Type: {}\r\n", std::string_view(type.data(), type.size())),
              kept.body());
    }
    void refuse(Micros retryAfterUs) override {
        reply(503, retryAfterUs > 0 ? fmt::format("Retry-After: {}\r\n", retryAfter(retryAfterUs)) : "", "");
    }
    void fail() override { reply(500, "", ""); }
    void reply(int status, std::string_view fields, std::string_view body) {
        if (const auto held = session.lock()) held->answer(status, fields, body);
    }
    Front& front;
    std::weak_ptr<Session> session;
    std::shared_ptr<const Message> message;
    std::map<int, Answer> answers;
};

void Session::next() {
    state_ = State::Reading;
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(kMostHeader);
    parser_->body_limit(kMostBody);
}

// Reads on while a request is out as well: that is how a client's leaving is noticed.
void Session::read() {
    if (reading_ || state_ == State::Closed || in_.space() == 0) return;
    reading_ = true;
    socket_.async_read_some(in_.room(),
                            [self = shared_from_this()](const boost::system::error_code& error, std::size_t n) {
                                self->reading_ = false;
                                if (self->state_ == State::Closed) return;
                                if (error) return self->atEnd();
                                if (self->state_ == State::Lingering) self->in_.clear();
                                else self->in_.commit(n);
                                if (self->state_ == State::Reading) self->parse();
                                self->read();
                            });
}

void Session::atEnd() {
    if (state_ == State::Waiting) front_.engine_.gone(id_);
    close();
}

void Session::parse() {
    boost::system::error_code error;
    while (in_.size() > 0 && !parser_->is_done()) {
        const auto used = parser_->put(in_.data(), error);
        in_.consume(used);
        if (error == beast::http::error::need_more) {
            error = {};
            if (used == 0) break;
        }
        if (error) break;
        if (parser_->is_header_done()) {
            const auto coding = parser_->get()[beast::http::field::transfer_encoding];
            if (!coding.empty() && !beast::iequals(coding, "chunked")) {
                ++front_.counters_.unsupported;
                keepAlive_ = false;
                return answer(501, "", "Transfer-Encoding: not supported\n");
            }
        }
    }
    if (error) return reject(error);
    if (parser_->is_done()) begin();
}

void Session::reject(const boost::system::error_code& error) {
    keepAlive_ = false;                                      // where the next message starts is not known
    if (error == beast::http::error::header_limit) {
        ++front_.counters_.tooLarge;
        return answer(431, "", "the header is too large\n");
    }
    if (error == beast::http::error::body_limit) {
        ++front_.counters_.tooLarge;
        return answer(413, "", "the body is too large\n");
    }
    ++front_.counters_.malformed;
    answer(400, "", fmt::format("{}\n", error.message()));
}

void Session::begin() {
    auto message = std::make_shared<Message>(parser_->release());
    keepAlive_ = message->keep_alive();
    if (message->target() == "/up") return answer(200, "", "up\n");
    ++front_.counters_.requests;
    auto read = readRequest(*message, front_.engine_.settings());
    if (const auto* bad = std::get_if<BadField>(&read)) {
        ++front_.counters_.malformed;
        return answer(400, "", bad->what + "\n");
    }
    auto& asked = std::get<Asked>(read);
    asked.request.deadlineUs = front_.engine_.now() + std::max<Micros>(0, asked.waitUs - kAnswerRoom);
    state_ = State::Waiting;
    front_.sessions_.splice(front_.sessions_.end(), front_.sessions_, place);
    id_ = front_.engine_.submit(std::move(asked.request),
                                std::make_shared<Pending>(front_, shared_from_this(), std::move(message)));
}

void Session::answer(int status, std::string_view fields, std::string_view body) {
    if (state_ == State::Closed) return;
    ++(status == 200 ? front_.counters_.status2xx
       : status == 503 ? front_.counters_.statusRefused : front_.counters_.status5xx);
    state_ = State::Writing;
    if (front_.draining_) keepAlive_ = false;
    answer_ = forClient(status, fields, body, keepAlive_);
    put_ = 0;
    write();
}

void Session::write() {
    put_ += out_.put(std::string_view(answer_).substr(put_));
    if (out_.size() == 0) return written();
    socket_.async_write_some(out_.data(),
                             [self = shared_from_this()](const boost::system::error_code& error, std::size_t n) {
                                 if (self->state_ == State::Closed) return;
                                 self->out_.consume(n);
                                 if (error) self->close();
                                 else self->write();
                             });
}

void Session::written() {
    answer_.clear();
    if (keepAlive_) {
        next();
        front_.sessions_.splice(front_.sessions_.end(), front_.sessions_, place);
        parse();
        return read();
    }
    // A reset on unread bytes could take the answer back: the client closes first, or the time is over.
    state_ = State::Lingering;
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    in_.clear();
    linger_.expires_after(kLinger);
    linger_.async_wait([self = shared_from_this()](const boost::system::error_code&) { self->close(); });
    read();
}

void Session::close() {
    if (state_ == State::Closed) return;
    state_ = State::Closed;
    boost::system::error_code ignored;
    socket_.close(ignored);
    linger_.cancel();
    front_.sessions_.erase(place);
}

Front::Front(net::Engine& engine, net::NodePool& pool, const config::Endpoint& listen, std::size_t mostClients)
    : engine_(engine),
      pool_(pool),
      mostClients_(mostClients),
      listener_(engine.io(), listen,
                {[this](tcp::socket socket) {
                     ++counters_.connections;
                     const auto session = std::make_shared<Session>(*this, std::move(socket));
                     session->place = sessions_.insert(sessions_.end(), session);
                     session->start();
                 },
                 [this] { return sessions_.size() >= mostClients_; }, [this] { return closeOldestIdle(); }}) {}

Front::~Front() = default;

bool Front::closeOldestIdle() {
    for (const auto& session : sessions_)
        if (session->idle()) {
            ++counters_.closedIdle;
            std::shared_ptr<Session>(session)->close();
            return true;
        }
    return false;
}

void Front::drain() { draining_ = true; }

void Front::closeListener() {
    listener_.close();
    while (closeOldestIdle()) {}
}

void Front::stop() {
    while (!sessions_.empty()) std::shared_ptr<Session>(sessions_.front())->close();
}

}  // namespace wingproxy::http
