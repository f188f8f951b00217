#include "http/front.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <boost/beast/http/parser.hpp>
#include <map>
#include <optional>

#include "net/http_step.h"

namespace wingproxy::http {
namespace {

namespace beast = boost::beast;
using beast::http::field;

// The times here are of the protocol's pages, the same for every customer: no setting speaks of how clients
// connect, write and read.

// The answer's last byte must be with the client by its deadline: this much is kept for the way there, which
// is below 1 ms between machines of one place; the page's slack on every deadline is more than ten times
// that.
constexpr Micros kAnswerRoom = 3'000;
// A connection's first byte comes this long after connecting: from then on the page lets a front close it.
constexpr std::chrono::seconds kFirstBy{2};
// A head is whole this long after its first byte, and a body brings so many bytes a second beyond that: the
// slowest clients take 2 s and bring four times as many. What stays truncated, and brings nothing for so
// long, is ended within 3 s, with the time until the session manager looks.
constexpr std::chrono::milliseconds kHeadBy{2'700};
constexpr std::size_t kBodyRate = 16 * 1024;
// A half-sent request that has brought nothing for so long leaves its place to another client.
constexpr std::chrono::milliseconds kHalfSent{250};
// For a client to take anything more of its answer, or to go on with a long body: peers take seconds, not
// this.
constexpr std::chrono::seconds kAnswerRead{30};
// A client that was answered before its body was whole may go on sending for so long.
constexpr std::chrono::seconds kStillSending{10};
// A connection between requests is kept so long, and where the house is this full only as long as a silent
// one: clients hold only so many, and those that ask once and stay leave the others none to ask on.
constexpr std::chrono::seconds kKeep{60};
constexpr std::size_t kCrowded = 4;  // a quarter
// Where it is this full, answers end their connections, unless the program stops: none could be opened then.
constexpr std::size_t kFull = 2;  // a half
// Where no new connections come, this part of those that are open is kept free, and so many at the least: a
// client that finds all of them busy takes the front for dead.
constexpr std::size_t kFreePart = 3, kLeastFree = 4;
// When to come back to a front that was short of room or is ending: no answer of a node is awaited for it.
constexpr Micros kBusyAdvice = 100'000;

// What a refusal advises, where the settings allow it, and at most what clients honour.
std::string retryField(const Settings& settings, Micros us) {
    const auto advice = std::min(us, settings.maxRetryAfterUs);
    return settings.sendsRetryAfter && advice > 0 ? fmt::format("Retry-After: {}\r\n", retryAfter(advice))
                                                  : "";
}

}  // namespace

// One client's connection.
class Front::Client : public net::Session, public Caller {
public:
    Client(Front& front, net::SessionManager& sessionManager, boost::asio::ip::tcp::socket socket)
        : Session(sessionManager, std::move(socket)), front_(front) {
        next();
    }
    bool idle() const override { return state_ == State::Reading && (!begun() || quiet() > kHalfSent); }
    // First who never asked, unless it has just come; then who asked and stays; then the half-sent.
    int evictionPriority() const override {
        if (begun()) return 2;
        return asked_ ? 1 : age() > kHalfSent ? 0 : 3;
    }
    void sweep() override;
    void closeGracefully() override;
    void evict() override {
        if (begun()) closeGracefully();
        close();
    }
    void answer(int status, std::string_view fields, std::string_view body,
                net::ByteBudget::Hold bytes = nullptr);
    void endAnswer();  // a long one is whole
    void cutAnswer();  // and will not be

    std::size_t takeBody(char* to, std::size_t n) override;
    bool bodyTaken() const override { return !filling_ && body_.empty(); }
    void wantBody(std::function<void()> more) override { more_ = std::move(more); }
    void beginAnswer(const LongAnswer& answer, std::function<std::size_t(char*, std::size_t)> take) override;
    void moreAnswer() override { resumeFeed(); }

protected:
    void received() override;
    void disconnected() override {
        if (state_ == State::Waiting) --front_.waiting_;
        if (state_ == State::Waiting || passing_) front_.engine_.clientDisconnected(id_);
    }
    void progressed() override {
        if (state_ == State::ResponseHeadReceived) since_ = Clock::now();
    }
    void sent() override {
        if (state_ != State::ResponseHeadReceived || passing_) return;  // that was only "100 Continue"
        if (!keepAlive_) return filling_ ? linger(kStillSending) : linger();
        next();
        markActive();
        parse();
        read();
    }

private:
    using Clock = std::chrono::steady_clock;
    enum class State { Reading, Waiting, ResponseHeadReceived };
    bool over(std::size_t part) const {
        return front_.answerBy_ == INT64_MAX &&
               sessionManager_.connections() * part > sessionManager_.capacity();
    }
    bool begun() const { return in_.size() > 0 || reader_->gotSome(); }
    Clock::duration age() const { return Clock::now() - since_; }
    Clock::duration quiet() const { return Clock::now() - lastByte_; }
    void next();
    void parse();
    bool judgeHead();  // false: it was answered
    void reject(const boost::system::error_code& error);
    void begin(std::optional<Framing> framing);
    void spoilt();       // the body cannot be read on: the request ends
    void dropSurplus();  // what came behind a request that has no answer yet

    Front& front_;
    std::optional<net::MessageReader<true>> reader_;
    std::string body_;  // a short one, or the part of a long one that came before that was known
    State state_ = State::Reading;
    bool keepAlive_ = true, judged_ = false, waitsToSend_ = false,
         asked_ = false;                         // asked_: once at the least
    bool filling_ = false;                       // the request is with the engine and its body still comes
    bool passing_ = false;                       // a long answer is under way
    bool surplus_ = false;                       // it sent more than one request at a time
    bool chunked_ = false, untilClose_ = false;  // how that one ends
    bool oldClient_ = false;                     // HTTP/1.0
    Clock::time_point since_;     // connecting, a request's first byte, or when its answer last went on
    Clock::time_point lastByte_;  // of the client's
    Micros emptyAt_ = 0;          // the body's last byte had not been written then
    Micros waitUs_ = 0;
    std::function<void()> more_;
    net::ByteBudget::Hold bytes_;  // of the body that comes in, then of the one that goes out
    RequestId id_ = 0;
};

// The request while the engine has it. The client's connection may be gone before it is over.
struct Front::Pending : net::Transfer {
    Pending(Front& front, std::weak_ptr<Client> client, std::shared_ptr<const Message> message,
            std::optional<Framing> framing, net::ByteBudget::Hold bytes)
        : front(front),
          client(std::move(client)),
          message(std::move(message)),
          framing(framing),
          bytes(std::move(bytes)) {
        front.ids_.insert(id());
    }
    ~Pending() override { front.ids_.erase(id()); }
    std::string id() const { return std::string((*message)["Req-Id"]); }
    std::shared_ptr<net::Attempt> start(const net::AttemptParams& order) override {
        const auto attempt =
            std::make_shared<NodeAttempt>(front.engine_, front.pool_, order, message, framing, client,
                                          [this](int number, Answer answer, net::ByteBudget::Hold hold) {
                                              answers[number] = {std::move(answer), std::move(hold)};
                                          });
        attempt->start();
        return attempt;
    }
    void deliver(int attempt) override {
        const auto kept = answers.find(attempt);
        if (kept == answers.end()) {  // it has passed through
            if (const auto held = client.lock()) held->endAnswer();
            return;
        }
        auto& [answer, bytes] = kept->second;
        const auto body = std::move(answer.body());  // gone when it stands in the client's text
        const auto type = answer[field::content_type];
        reply(200,
              type.empty() ? ""
                           : fmt::format("Content-Type: {}\r\n", std::string_view(type.data(), type.size())),
              body, std::move(bytes));
    }
    void refuse(Micros retryAfterUs) override {
        reply(503, retryField(front.engine_.settings(), retryAfterUs), "");
    }
    void fail() override { reply(500, "", ""); }
    void reply(int status, std::string_view fields, std::string_view body,
               net::ByteBudget::Hold bytes = nullptr) {
        if (const auto held = client.lock()) held->answer(status, fields, body, std::move(bytes));
    }
    Front& front;
    std::weak_ptr<Client> client;
    std::shared_ptr<const Message> message;
    std::optional<Framing> framing;  // of a body that is not in the message
    net::ByteBudget::Hold bytes;     // of the message's body
    std::map<int, std::pair<Answer, net::ByteBudget::Hold>> answers;
};

void Front::Client::next() {
    state_ = State::Reading;
    judged_ = waitsToSend_ = filling_ = passing_ = false;
    body_.clear();
    bytes_ = nullptr;
    more_ = nullptr;
    since_ = lastByte_ = Clock::now();
    reader_.emplace(in_, kMostBody);
}

void Front::Client::received() {
    lastByte_ = Clock::now();
    if (state_ == State::Reading) {
        if (!reader_->gotSome()) since_ = lastByte_;
        return parse();
    }
    if (!filling_) {
        if (state_ == State::Waiting || passing_) dropSurplus();
        return;
    }
    if (drained_) emptyAt_ = front_.engine_.now();
    if (state_ == State::ResponseHeadReceived)
        in_.clear();  // the answer did not wait for it
    else if (more_)
        std::exchange(more_, nullptr)();
}

void Front::Client::parse() {
    boost::system::error_code error;
    if (!judged_) {
        if (in_.size() == 0) return;
        if (!reader_->head(in_, error)) {
            if (error) reject(error);
            return;
        }
        judged_ = true;
        if (!judgeHead()) return;
        const auto length = reader_->parser().content_length();
        if (length && *length > kMostWhole) return begin(Framing{false, *length});
    }
    reader_->append(in_, body_, kMostWhole, error);
    if (body_.size() > kMostWhole) return begin(Framing{true, 0});
    if (error) return reject(error);
    if (reader_->done()) return begin({});
    if (in_.space() == 0) reject(beast::http::error::bad_chunk);  // what is no body fits no ring
}

bool Front::Client::judgeHead() {
    const auto& head = reader_->parser().get();
    oldClient_ = head.version() < 11;
    const auto coding = head[field::transfer_encoding];
    if (!coding.empty()) {
        // Two lengths may hide another request in the body: nothing behind this head is read as one.
        if (head.find(field::content_length) != head.end() || oldClient_) {
            reject(beast::http::error::bad_transfer_encoding);
            return false;
        }
        if (!beast::iequals(coding, "chunked")) {
            ++front_.counters_.unsupported;
            keepAlive_ = false;
            answer(501, "", "Transfer-Encoding: not supported\n");
            return false;
        }
    }
    const auto length = reader_->parser().content_length();
    const bool isLong = length && *length > kMostWhole;
    if (!isLong && !(bytes_ = net::holdBody(reader_->parser(), front_.engine_.bodies(), kMostWhole))) {
        ++front_.counters_.noMemory;
        keepAlive_ = false;
        answer(503, retryField(front_.engine_.settings(), kBusyAdvice), "");
        return false;
    }
    waitsToSend_ = !reader_->done() && beast::iequals(head[field::expect], "100-continue");
    if (waitsToSend_ && !isLong) {
        waitsToSend_ = false;
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

void Front::Client::sweep() {
    if (!open()) return;
    if (state_ == State::Waiting) {  // what waits is the module's to answer, but for a client that stopped
        if (!filling_ || in_.space() == 0 || quiet() < kAnswerRead) return;
        ++front_.counters_.slow;
        front_.engine_.clientDisconnected(id_);
        return answer(408, "", "the body did not go on\n");
    }
    if (state_ == State::ResponseHeadReceived) {
        if (age() > kAnswerRead) {
            ++front_.counters_.unread;
            disconnected(), close();
        }
        return;
    }
    if (begun()) {
        const auto brought = std::chrono::milliseconds(1000 * body_.size() / kBodyRate);
        if (age() < kHeadBy + brought && quiet() < kHeadBy) return;
        ++front_.counters_.slow;
        keepAlive_ = false;
        answer(408, "", "the request did not become whole in time\n");
    } else if (unread() == 0 && age() > (asked_ && !over(kCrowded) ? kKeep : kFirstBy)) {
        ++front_.counters_.silent;
        linger();
    }
}

void Front::Client::reject(const boost::system::error_code& error) {
    keepAlive_ = false;  // where the next message starts is not known
    const bool header = error == beast::http::error::header_limit,
               body = error == beast::http::error::body_limit;
    ++(header || body ? front_.counters_.tooLarge : front_.counters_.malformed);
    answer(header ? 431 : body ? 413 : 400, "", fmt::format("{}\n", error.message()));
}

void Front::Client::begin(std::optional<Framing> framing) {
    auto message = std::make_shared<Message>(AskedHead(reader_->parser().get().base()));
    asked_ = true;
    keepAlive_ = reader_->parser().keep_alive();
    if (!framing) dropSurplus();
    if (!framing) message->body() = std::move(body_), body_.clear();
    const auto wrong = [&](int status, std::string_view fields, std::string_view why) {
        ++front_.counters_.malformed;
        if (framing) keepAlive_ = false;  // its body is not read
        answer(status, fields, why);
    };
    if (message->target() == "/up") return answer(200, "", "up\n");
    ++front_.counters_.requests;
    const auto method = message->method();
    if (method != beast::http::verb::get && method != beast::http::verb::put) {
        keepAlive_ = keepAlive_ && method != beast::http::verb::head;  // a HEAD's answer should have no body
        return wrong(405, "Allow: GET, PUT\r\n", "method: a read is a GET, a write a PUT\n");
    }
    auto read = readRequest(*message, front_.engine_.settings());
    if (const auto* bad = std::get_if<BadField>(&read)) return wrong(400, "", bad->what + "\n");
    if (framing && method == beast::http::verb::get)
        return wrong(400, "", "Content-Length: a read has no body\n");
    auto& asked = std::get<Asked>(read);
    const std::string name((*message)["Req-Id"]);
    const bool elsewhere = front_.engine_.now() < front_.elsewhereUntil_ && front_.elsewhere_.contains(name);
    if (elsewhere || front_.ids_.contains(name)) {
        ++front_.counters_.repeated;  // a node would take it for a second copy of the one that is open
        if (framing) keepAlive_ = false;
        return answer(409, "", "Req-Id: another request with it is open\n");
    }
    emptyAt_ = front_.engine_.now();
    waitUs_ = std::max<Micros>(0, asked.waitUs - kAnswerRoom);
    asked.request.deadlineUs = std::min(emptyAt_ + waitUs_, front_.answerBy_);
    asked.request.bodyIncomplete = filling_ = framing.has_value();
    state_ = State::Waiting;
    ++front_.waiting_;
    markActive();
    const auto self = std::static_pointer_cast<Client>(shared_from_this());
    id_ = front_.engine_.submit(std::move(asked.request),
                                std::make_shared<Pending>(front_, self, std::move(message), framing,
                                                          framing ? nullptr : std::move(bytes_)));
    front_.keepSomeFree();
}

std::size_t Front::Client::takeBody(char* to, std::size_t n) {
    if (!open() || state_ != State::Waiting) return 0;
    if (waitsToSend_) {  // a node is there that wants it
        waitsToSend_ = false;
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!body_.empty()) {
        n = std::min(n, body_.size());
        std::copy_n(body_.data(), n, to);
        body_.erase(0, n);
        if (body_.empty()) bytes_ = nullptr;
        return n;
    }
    boost::system::error_code error;
    n = reader_->body(in_, to, n, error);
    const bool stuck = n == 0 && in_.space() == 0 && !reader_->done();
    if (error || stuck) {
        // Not from within: the attempt that asks ends with the request.
        boost::asio::post(sessionManager_.io(),
                          [self = std::static_pointer_cast<Client>(shared_from_this())] { self->spoilt(); });
        return 0;
    }
    if (filling_ && reader_->done()) {
        filling_ = false;
        dropSurplus();
        front_.engine_.requestBodyCompleted(id_, std::min(emptyAt_ + waitUs_, front_.answerBy_));
    }
    read();
    return n;
}

// Clients ask one thing at a time on a connection. One that sends more behind a request that has no answer
// may be gone before its turn comes, and a full ring would hide that: nothing of it is served, it is read and
// dropped, and the answer ends the connection. Empty lines behind a body are old clients' habit.
void Front::Client::dropSurplus() {
    bool blank = true;
    for (const auto& part : in_.newest(in_.size()))
        blank = blank && part.find_first_not_of("\r\n") == std::string_view::npos;
    in_.clear();
    if (blank || surplus_) return;
    surplus_ = true;
    ++front_.counters_.pipelined;
    keepAlive_ = false;
}

// A request of which a part is here is taken as soon as its last byte comes: it gets its refusal before.
void Front::Client::closeGracefully() {
    if (!begun()) return linger();
    keepAlive_ = false;
    answer(503, retryField(front_.engine_.settings(), kBusyAdvice), "");
}

void Front::Client::spoilt() {
    if (!open() || state_ != State::Waiting) return;
    ++front_.counters_.malformed;
    keepAlive_ = false;
    front_.engine_.clientDisconnected(id_);
    answer(400, "", "the body cannot be read\n");
}

void Front::Client::beginAnswer(const LongAnswer& answer,
                                std::function<std::size_t(char*, std::size_t)> take) {
    if (!open() || state_ != State::Waiting) return;
    --front_.waiting_;
    state_ = State::ResponseHeadReceived;
    passing_ = true;
    since_ = Clock::now();
    chunked_ = !answer.length && !oldClient_;
    untilClose_ = !answer.length && oldClient_;
    if (front_.draining_ || over(kFull) || untilClose_) keepAlive_ = false;
    auto fields = answer.type.empty() ? "" : fmt::format("Content-Type: {}\r\n", answer.type);
    if (answer.length)
        fields += fmt::format("Content-Length: {}\r\n", *answer.length);
    else if (chunked_)
        fields += "Transfer-Encoding: chunked\r\n";
    send(headForClient(200, fields, keepAlive_));
    feed([this, take = std::move(take)](net::RingBuffer& out) {
        char piece[16 * 1024];
        while (passing_ && out.space() > net::kFrame) {
            const auto n = take(piece, std::min(sizeof piece, out.space() - net::kFrame));
            if (n == 0) break;
            net::putPiece(out, {piece, n}, chunked_);
        }
    });
}

void Front::Client::endAnswer() {
    if (!open() || !passing_) return;
    passing_ = false;
    ++front_.counters_.ok;
    endFeed();
    if (chunked_) send("0\r\n\r\n");
}

// The client must see that it is not whole: by its length, by the last chunk that lacks, or by a reset.
void Front::Client::cutAnswer() {
    if (!open()) return;
    passing_ = false;
    ++front_.counters_.failed;
    if (untilClose_)
        reset();
    else
        close();
}

void Front::Client::answer(int status, std::string_view fields, std::string_view body,
                           net::ByteBudget::Hold bytes) {
    if (!open()) return;
    if (passing_) return cutAnswer();
    if (state_ == State::Waiting) --front_.waiting_;
    if (filling_) keepAlive_ = false;
    more_ = nullptr;
    bytes_ = std::move(bytes);
    ++(status == 200   ? front_.counters_.ok
       : status == 503 ? front_.counters_.refused
                       : front_.counters_.failed);
    state_ = State::ResponseHeadReceived;
    since_ = Clock::now();
    if (front_.draining_ || over(kFull)) keepAlive_ = false;
    std::string all(fields);
    if (oldClient_ && keepAlive_) all += "Connection: keep-alive\r\n";
    send(forClient(status, all, body, keepAlive_));
    if (filling_) in_.clear(), read();
}

void Front::keepSomeFree() {
    const auto open = sessionManager_.connections(), free = std::max(open / kFreePart, kLeastFree);
    if (!lastClients_ || waiting_ + free <= open) return;
    ++counters_.crowded;
    engine_.capacityNeeded(1);
}

Front::Front(net::Engine& engine, net::NodePool& pool, const config::Endpoint& listen,
             std::size_t mostClients, std::size_t ring, int inherited)
    : engine_(engine),
      pool_(pool),
      sessionManager_(
          engine.io(), listen, mostClients,
          [this](net::SessionManager& sessionManager, boost::asio::ip::tcp::socket socket) {
              return std::make_shared<Client>(*this, sessionManager, std::move(socket));
          },
          ring, inherited) {}

void Front::setRequestsOpenElsewhere(const std::vector<std::string>& ids, Micros until) {
    elsewhere_ = {ids.begin(), ids.end()};
    elsewhereUntil_ = until;
}

}  // namespace wingproxy::http
