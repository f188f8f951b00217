#include "http/front.h"

#include <fmt/format.h>

#include <boost/beast/http/parser.hpp>
#include <map>
#include <optional>

#include "net/http_step.h"

namespace wingproxy::http {
namespace {

namespace beast = boost::beast;
using beast::http::field;

constexpr std::size_t kMostBody = 64 * 1024;
// The answer's last byte must be with the client by its deadline: this much is kept for the way there.
constexpr Micros kAnswerRoom = 3'000;
// A request is whole this long after its first byte, a connection's first one after connecting.
constexpr std::chrono::seconds kWholeBy{2};
// Where another client needs the place, a half-sent one keeps it no longer than this.
constexpr std::chrono::milliseconds kHalfSent{250};
constexpr std::chrono::seconds kAnswerRead{10};  // for a client to take its answer
// A connection between requests is kept so long, and where the house is this full only as long as a silent
// one: clients hold only so many, and those that ask once and stay leave the others none to ask on.
constexpr std::chrono::seconds kKeep{60};
constexpr std::size_t kCrowded = 4;  // a quarter
// Where it is this full, answers end their connections, unless the program stops: none could be opened then.
constexpr std::size_t kFull = 2;  // a half
// Where no new connections come, this part of those that are open is kept free, and so many at the least: a
// client that finds all of them busy takes the front for dead.
constexpr std::size_t kFreePart = 3, kLeastFree = 4;

}  // namespace

// One client's connection.
class Front::Client : public net::Session {
public:
    Client(Front& front, net::Door& door, boost::asio::ip::tcp::socket socket)
        : Session(door, std::move(socket)), front_(front) {
        next();
    }
    bool idle() const override { return state_ == State::Reading && (!begun() || age() > kHalfSent); }
    void tend() override;
    void answer(int status, std::string_view fields, std::string_view body,
                net::ByteBudget::Hold bytes = nullptr);

protected:
    void received() override {
        if (state_ != State::Reading) return;
        if (asked_ && !parser_->got_some()) since_ = std::chrono::steady_clock::now();
        parse();
    }
    void left() override {
        if (state_ != State::Waiting) return;
        --front_.waiting_;
        front_.engine_.gone(id_);
    }
    void sent() override {
        if (state_ != State::Answering) return;  // that was only "100 Continue"
        if (!keepAlive_) return linger();
        next();
        touch();
        parse();
        read();
    }

private:
    enum class State { Reading, Waiting, Answering };
    bool over(std::size_t part) const {
        return front_.answerBy_ == INT64_MAX && door_.connections() * part > door_.most();
    }
    bool begun() const { return in_.size() > 0 || parser_->got_some(); }
    std::chrono::steady_clock::duration age() const { return std::chrono::steady_clock::now() - since_; }
    void next();
    void parse();
    void reject(const boost::system::error_code& error);
    void begin();

    Front& front_;
    std::optional<beast::http::request_parser<beast::http::string_body>> parser_;
    State state_ = State::Reading;
    bool keepAlive_ = true, toldToGoOn_ = false, asked_ = false;  // asked_: a whole request came on it
    std::chrono::steady_clock::time_point since_;  // connecting, a request's first byte, or its answer
    net::ByteBudget::Hold bytes_;                  // of the body that comes in, then of the one that goes out
    RequestId id_ = 0;
};

// The request while the engine has it. The client's connection may be gone before it is over.
struct Front::Pending : net::Transfer {
    Pending(Front& front, std::weak_ptr<Client> client, std::shared_ptr<const Message> message,
            net::ByteBudget::Hold bytes)
        : front(front), client(std::move(client)), message(std::move(message)), bytes(std::move(bytes)) {
        front.ids_.insert(id());
    }
    ~Pending() override { front.ids_.erase(id()); }
    std::string id() const { return std::string((*message)["Req-Id"]); }
    std::shared_ptr<net::Attempt> start(const net::AttemptOrder& order) override {
        const auto attempt =
            std::make_shared<NodeAttempt>(front.engine_, front.pool_, order, message,
                                          [this](int number, Answer answer, net::ByteBudget::Hold hold) {
                                              answers[number] = {std::move(answer), std::move(hold)};
                                          });
        attempt->start();
        return attempt;
    }
    void deliver(int attempt) override {
        auto& [kept, bytes] = answers[attempt];
        const auto body = std::move(kept.body());  // gone when it stands in the client's text
        const auto type = kept[field::content_type];
        reply(200,
              type.empty() ? ""
                           : fmt::format("Content-Type: {}\r\n", std::string_view(type.data(), type.size())),
              body, std::move(bytes));
    }
    void refuse(Micros retryAfterUs) override {
        reply(503, retryAfterUs > 0 ? fmt::format("Retry-After: {}\r\n", retryAfter(retryAfterUs)) : "", "");
    }
    void fail() override { reply(500, "", ""); }
    void reply(int status, std::string_view fields, std::string_view body,
               net::ByteBudget::Hold bytes = nullptr) {
        if (const auto held = client.lock()) held->answer(status, fields, body, std::move(bytes));
    }
    Front& front;
    std::weak_ptr<Client> client;
    std::shared_ptr<const Message> message;
    net::ByteBudget::Hold bytes;  // of the message's body
    std::map<int, std::pair<Answer, net::ByteBudget::Hold>> answers;
};

void Front::Client::next() {
    state_ = State::Reading;
    toldToGoOn_ = false;
    bytes_ = nullptr;
    since_ = std::chrono::steady_clock::now();
    parser_.emplace();
    parser_->header_limit(net::headLimit(in_));
    parser_->body_limit(kMostBody);
}

void Front::Client::parse() {
    boost::system::error_code error;
    while (in_.size() > 0 && !parser_->is_done() && net::step(*parser_, in_, error)) {
        if (!parser_->is_header_done()) continue;
        if (!bytes_) bytes_ = net::holdBody(*parser_, front_.engine_.bodies(), kMostBody);
        if (!bytes_) {
            ++front_.counters_.noMemory;
            keepAlive_ = false;
            return answer(503, front_.engine_.settings().retryAdvice ? "Retry-After: 0.100\r\n" : "", "");
        }
        if (!toldToGoOn_ && !parser_->is_done() &&
            beast::iequals(parser_->get()[field::expect], "100-continue")) {
            toldToGoOn_ = true;
            send("HTTP/1.1 100 Continue\r\n\r\n");
        }
        const auto& head = parser_->get();
        const auto coding = head[field::transfer_encoding];
        if (coding.empty()) continue;
        // Two lengths may hide another request in the body: nothing behind this head is read as one.
        if (head.find(field::content_length) != head.end() || head.version() < 11) {
            error = beast::http::error::bad_transfer_encoding;
            break;
        }
        if (beast::iequals(coding, "chunked")) continue;
        ++front_.counters_.unsupported;
        keepAlive_ = false;
        return answer(501, "", "Transfer-Encoding: not supported\n");
    }
    if (error) return reject(error);
    if (parser_->is_done()) begin();
}

void Front::Client::tend() {
    if (!open() || state_ == State::Waiting) return;  // what waits is the module's to answer
    if (state_ == State::Answering) {
        if (age() > kAnswerRead) ++front_.counters_.unread, close();
    } else if (begun() && age() > kWholeBy) {
        ++front_.counters_.slow;
        keepAlive_ = false;
        answer(408, "", "the request did not become whole in time\n");
    } else if (!begun() && unread() == 0 && age() > (asked_ && !over(kCrowded) ? kKeep : kWholeBy)) {
        ++front_.counters_.silent;
        close();
    }
}

void Front::Client::reject(const boost::system::error_code& error) {
    keepAlive_ = false;  // where the next message starts is not known
    const bool header = error == beast::http::error::header_limit,
               body = error == beast::http::error::body_limit;
    ++(header || body ? front_.counters_.tooLarge : front_.counters_.malformed);
    answer(header ? 431 : body ? 413 : 400, "", fmt::format("{}\n", error.message()));
}

void Front::Client::begin() {
    auto message = std::make_shared<Message>(parser_->release());
    asked_ = true;
    keepAlive_ = message->keep_alive();
    if (message->target() == "/up") return answer(200, "", "up\n");
    ++front_.counters_.requests;
    const auto method = message->method();
    if (method != beast::http::verb::get && method != beast::http::verb::put) {
        ++front_.counters_.malformed;
        keepAlive_ = keepAlive_ && method != beast::http::verb::head;  // a HEAD's answer should have no body
        return answer(405, "Allow: GET, PUT\r\n", "method: a read is a GET, a write a PUT\n");
    }
    auto read = readRequest(*message, front_.engine_.settings());
    if (const auto* bad = std::get_if<BadField>(&read)) {
        ++front_.counters_.malformed;
        return answer(400, "", bad->what + "\n");
    }
    auto& asked = std::get<Asked>(read);
    const std::string name((*message)["Req-Id"]);
    const bool elsewhere = front_.engine_.now() < front_.elsewhereUntil_ && front_.elsewhere_.contains(name);
    if (elsewhere || front_.ids_.contains(name)) {
        ++front_.counters_.repeated;  // a node would take it for a second copy of the one that is open
        return answer(409, "", "Req-Id: another request with it is open\n");
    }
    const auto deadline = front_.engine_.now() + std::max<Micros>(0, asked.waitUs - kAnswerRoom);
    asked.request.deadlineUs = std::min(deadline, front_.answerBy_);
    state_ = State::Waiting;
    ++front_.waiting_;
    touch();
    const auto self = std::static_pointer_cast<Client>(shared_from_this());
    id_ =
        front_.engine_.submit(std::move(asked.request),
                              std::make_shared<Pending>(front_, self, std::move(message), std::move(bytes_)));
    front_.keepSomeFree();
}

void Front::Client::answer(int status, std::string_view fields, std::string_view body,
                           net::ByteBudget::Hold bytes) {
    if (!open()) return;
    if (state_ == State::Waiting) --front_.waiting_;
    bytes_ = std::move(bytes);
    ++(status == 200   ? front_.counters_.ok
       : status == 503 ? front_.counters_.refused
                       : front_.counters_.failed);
    state_ = State::Answering;
    since_ = std::chrono::steady_clock::now();
    if (front_.draining_ || over(kFull)) keepAlive_ = false;
    send(forClient(status, fields, body, keepAlive_));
}

void Front::keepSomeFree() {
    const auto open = door_.connections(), free = std::max(open / kFreePart, kLeastFree);
    if (!lastClients_ || waiting_ + free <= open) return;
    ++counters_.crowded;
    engine_.crowded(1);
}

Front::Front(net::Engine& engine, net::NodePool& pool, const config::Endpoint& listen,
             std::size_t mostClients, std::size_t ring, int inherited)
    : engine_(engine),
      pool_(pool),
      door_(
          engine.io(), listen, mostClients,
          [this](net::Door& door, boost::asio::ip::tcp::socket socket) {
              return std::make_shared<Client>(*this, door, std::move(socket));
          },
          ring, inherited) {}

void Front::openElsewhere(const std::vector<std::string>& ids, Micros until) {
    elsewhere_ = {ids.begin(), ids.end()};
    elsewhereUntil_ = until;
}

}  // namespace wingproxy::http
