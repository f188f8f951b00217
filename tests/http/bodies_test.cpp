// Long bodies and answers, slow peers and crowds on real sockets.
#include <fstream>

#include "support/net_support.h"
#include "support/policy_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

// Most memory this process ever had, in MB.
double mostMemory() {
    std::ifstream in("/proc/self/status");
    std::string word;
    double kb = 0;
    while (in >> word)
        if (word == "VmHWM:") in >> kb;
    return kb / 1024;
}

// Sends so many bytes as fast as they are taken, and counts what comes without keeping it.
struct Pump : std::enable_shared_from_this<Pump> {
    explicit Pump(tcp::socket s) : socket(std::move(s)) {}
    void count() {
        socket.async_read_some(asio::buffer(in), [self = shared_from_this()](auto error, std::size_t n) {
            self->received += n;
            if (error)
                self->ended = true;
            else
                self->count();
        });
    }
    void send(std::size_t bytes) {
        left = bytes;
        more();
    }
    void more() {
        if (left == 0) return;
        socket.async_write_some(asio::buffer(out, std::min(left, out.size())),
                                [self = shared_from_this()](auto error, std::size_t n) {
                                    self->left -= std::min(self->left, n);
                                    if (!error) self->more();
                                });
    }
    tcp::socket socket;
    std::array<char, 16384> in{}, out{};
    std::size_t left = 0, received = 0;
    bool ended = false;
};

std::string longPut(std::string_view framing, const std::string& id = "9b1f03aa5c7e2d41",
                    int deadlineMs = 3000, std::string_view fields = "", std::string_view version = "1.1") {
    return fmt::format(
        "PUT /api HTTP/{}\r\nReq-Id: {}\r\nReq-Kind: alta\r\nTier: prioritario\r\nIdempotency-Key: k\r\n"
        "Cookie: key=7f3a9c21e0b4d655\r\nReq-Deadline-Ms: {}\r\n{}{}"
        "IO-Info: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n\r\n",
        version, id, deadlineMs, fields, framing);
}

std::string chunked(const std::string& body, std::size_t piece) {
    std::string out;
    for (std::size_t at = 0; at < body.size(); at += piece) {
        const auto part = body.substr(at, piece);
        out += fmt::format("{:x};x=y\r\n{}\r\n", part.size(), part);
    }
    return out + "0\r\nX-Trailer: t\r\n\r\n";
}

// The body of a chunked message that is here as a whole.
std::string unchunked(const std::string& message) {
    std::string body;
    for (auto at = message.find("\r\n\r\n") + 4;;) {
        const auto size = std::stoul(message.substr(at), nullptr, 16);
        if (size == 0) return body;
        at = message.find("\r\n", at) + 2;
        body += message.substr(at, size);
        at += size + 2;
    }
}

const std::string kLong(200'000, 'x');

}  // namespace

// More passes through than memory holds, and hundreds of small requests are served beside it.
TEST_CASE("40 MB up and 40 MB down in 48 MB, beside small requests") {
    auto config = baseConfig();
    config.memoryMb = 48;
    Rig rig(std::move(config), 2);
    constexpr std::size_t kBytes = 40'000'000;
    rig.node(1).greets = [](Wire& wire) { wire.reply = ok("x"); };
    const auto before = mostMemory();
    // Up: the node counts what it gets.
    tcp::socket up(rig.io), down(rig.io);
    up.connect(net::tcpEndpoint(rig.front.sessionManager().address()));
    const auto uploader = std::make_shared<Pump>(std::move(up));
    const auto head = longPut(fmt::format("Content-Length: {}\r\n", kBytes), "a1a1a1a1a1a1a1a1", 60'000);
    asio::write(uploader->socket, asio::buffer(head));
    // A node that keeps nothing: the stand-in's own reader would hold all of it.
    std::shared_ptr<Pump> taker, giver;
    tcp::acceptor plain(rig.io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    auto list =
        config::EndpointListing{{EndpointListKind::Delta, 2, {{"s-0", "z", 0, 1, NodeState::Ready, 1}}},
                                {{"127.0.0.1", plain.local_endpoint().port()}}};
    rig.engine.endpointListReceived(std::move(list));
    plain.async_accept([&](auto, tcp::socket socket) {
        taker = std::make_shared<Pump>(std::move(socket));
        taker->count();
        plain.async_accept(
            [&](auto, tcp::socket second) { giver = std::make_shared<Pump>(std::move(second)); });
    });
    rig.until([&] { return taker != nullptr; });
    uploader->send(kBytes);
    // Down: the same node gives.
    down.connect(net::tcpEndpoint(rig.front.sessionManager().address()));
    const auto reader = std::make_shared<Pump>(std::move(down));
    asio::write(reader->socket, asio::buffer(Ask{.id = "a2a2a2a2a2a2a2a2"}.text()));
    rig.until([&] { return giver != nullptr; });
    const auto answer = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", kBytes);
    asio::write(giver->socket, asio::buffer(answer));
    giver->send(kBytes);
    reader->count();
    const auto small = rig.client();
    for (int i = 0; i < 300; ++i) {
        small->drop();
        small->say(Ask{.id = fmt::format("{:016x}", i + 1), .shard = 1}.text());
        rig.until([&] { return small->has("\r\n\r\nx"); }, "a small answer");
        CHECK(small->has(" 200 "));
    }
    rig.until([&] { return reader->received > kBytes && taker->received > kBytes; }, "both long bodies");
    CHECK(taker->received < kBytes + 1000);
    asio::write(taker->socket, asio::buffer(ok("hecho")));
    uploader->count();
    rig.until([&] { return uploader->received > 0 && rig.engine.openRequests() == 0; });
    CHECK(mostMemory() - before < 24);
    CHECK(rig.engine.bodies().held() == 0);
    CHECK(rig.engine.counters().byClass[1].delivered == 1);
}

TEST_CASE("every form of a long body: the node gets the same bytes, the client one answer") {
    const struct {
        std::string text;
        bool expects = false;
    } cases[] = {
        {longPut(fmt::format("Content-Length: {}\r\n", kLong.size())) + kLong},
        {longPut("Transfer-Encoding: chunked\r\n") + chunked(kLong, 50'000)},
        {longPut("transfer-encoding: CHUNKED\r\n") + chunked(kLong, 777)},
        {longPut(fmt::format("Content-Length: {}\r\n", kLong.size()), "9b1f03aa5c7e2d41", 3000, "", "1.0") +
         kLong},
        {longPut(fmt::format("Content-Length: {}\r\n", kLong.size()), "9b1f03aa5c7e2d41", 3000,
                 "Expect: 100-continue\r\n") +
             kLong,
         true},
    };
    for (const auto& c : cases) {
        Rig rig;
        const auto client = rig.client();
        const auto body = c.text.find("\r\n\r\n") + 4;
        client->say(c.text.substr(0, body));
        if (c.expects) rig.until([&] { return client->has("HTTP/1.1 100 Continue\r\n\r\n"); });
        client->say(c.text.substr(body));
        rig.until([&] { return rig.engine.counters().written == 1; }, c.text.substr(0, 200).c_str());
        const auto node = rig.nodeHas("Req-Id");
        const bool inChunks = node->has("Transfer-Encoding: chunked\r\n");
        rig.until(
            [&] { return inChunks ? node->got.ends_with("\r\n0\r\n\r\n") : node->got.ends_with(kLong); });
        CHECK(inChunks == (c.text.find("Content-Length") == std::string::npos));
        CHECK((inChunks ? unchunked(node->got) : node->got.substr(node->got.find("\r\n\r\n") + 4)) == kLong);
        CHECK(!node->has("Expect"));
        node->say(ok("hecho"));
        rig.until([&] { return client->has("hecho"); });
        CHECK(client->has("HTTP/1.1 200 "));
    }
}

TEST_CASE("every form of a long answer: the client gets the same bytes and sees where they end") {
    const struct {
        std::string answer;
        const char* version;
        bool closes, chunks;
    } cases[] = {
        {ok(kLong), "1.1", false, false},
        {ok(kLong), "1.0", true, false},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(kLong, 9'000), "1.1", false, true},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(kLong, 9'000), "1.0", true, false},
        {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + kLong, "1.1", false, true},
        {"HTTP/1.0 200 OK\r\n\r\n" + kLong, "1.1", false, true},
    };
    for (const auto& c : cases) {
        Rig rig;
        const auto client = rig.client();
        auto text = Ask{}.text();
        text.replace(text.find("HTTP/1.1"), 8, std::string("HTTP/") + c.version);
        client->say(text);
        const auto node = rig.nodeHas("Req-Id");
        node->say(c.answer.substr(0, 100));
        node->say(c.answer.substr(100));
        if (c.answer.find("Content-Length") == std::string::npos &&
            c.answer.find("chunked") == std::string::npos)
            rig.until([&] {
                return rig.front.sessionManager().connections() == 1 && client->got.size() > 100'000;
            }),
                node->socket.shutdown(tcp::socket::shutdown_send);
        rig.until(
            [&] {
                if (c.closes) return client->ended;
                return c.chunks ? client->got.ends_with("\r\n0\r\n\r\n") : client->got.ends_with(kLong);
            },
            c.answer.substr(0, 60).c_str());
        CHECK((c.chunks ? unchunked(client->got) : client->got.substr(client->got.find("\r\n\r\n") + 4)) ==
              kLong);
        rig.until([&] { return rig.engine.openRequests() == 0; });
        CHECK(rig.engine.counters().all().delivered == 1);
        if (c.closes) continue;
        client->drop();  // the connection goes on
        client->say("GET /up HTTP/1.1\r\n\r\n");
        rig.until([&] { return client->has("up\n"); });
    }
}

// Back-pressure: what the client does not read is not read from the node either.
TEST_CASE("a client that reads a byte at a time holds up its own answer, and nothing is kept for it") {
    Rig rig(baseConfig(), 2);
    rig.node(1).greets = [](Wire& wire) { wire.reply = ok("x"); };
    tcp::socket slow(rig.io);
    slow.open(tcp::v4());
    slow.set_option(asio::socket_base::receive_buffer_size(4096));
    slow.connect(net::tcpEndpoint(rig.front.sessionManager().address()));
    asio::write(slow, asio::buffer(Ask{}.text()));
    const auto node = rig.nodeHas("Req-Id");
    const auto giver = std::make_shared<Pump>(std::move(node->socket));
    constexpr std::size_t kBytes = 32'000'000;
    asio::write(giver->socket,
                asio::buffer(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", kBytes)));
    giver->send(kBytes);
    char byte = 0;
    for (int i = 0; i < 50; ++i) {
        rig.until([&] { return slow.available() > 0; });
        asio::read(slow, asio::buffer(&byte, 1));
        const auto other = rig.client();
        other->say(Ask{.id = fmt::format("{:016x}", i + 10), .shard = 1}.text());
        rig.until([&] { return other->has("\r\n\r\nx"); });
    }
    CHECK(giver->left > kBytes / 2);  // it waits in the node, but for what the system's buffers took
    rig.until([&] { return rig.engine.bodies().held() == 0; });
    CHECK(rig.engine.openRequests() == 1);
    // A client that leaves in the middle takes its node's connection along.
    slow.close();
    rig.until(
        [&] { return rig.engine.openRequests() == 0 && rig.pool.open() == 1; });  // the other node's is kept
    CHECK(rig.engine.counters().disconnected == 1);
}

TEST_CASE("a request whose bytes went to a node that broke off is refused, not tried again") {
    Rig rig;
    const auto client = rig.client();
    client->say(longPut(fmt::format("Content-Length: {}\r\n", kLong.size())) + kLong.substr(0, 100'000));
    rig.nodeHas("xxxx")->reset();
    rig.until([&] { return client->has("HTTP/1.1 503 "); });
    client->say(kLong.substr(100'000));  // it may go on sending, and has its answer
    rig.until([&] { return client->ended; });
    CHECK(rig.engine.counters().attempts == 1);
    // Before a byte of it went anywhere another attempt can have it.
    CHECK(rig.outcomes(Outcome::ConnectFailed) == 1);
}

TEST_CASE("a long answer that breaks off ends the client's connection short of its length") {
    Rig rig;
    const auto client = rig.client();
    client->say(Ask{}.text());
    const auto node = rig.nodeHas("Req-Id");
    node->say(ok(kLong).substr(0, 150'000));
    rig.until([&] { return client->got.size() > 140'000; });
    node->close();
    rig.until([&] { return client->ended; });
    CHECK(client->got.size() < kLong.size());
    CHECK(rig.engine.counters().attempts == 1);
    CHECK(rig.engine.counters().all().failed == 1);
}

TEST_CASE("a node that says that the request is over is not asked again, and is no worse for it") {
    Rig rig;
    const auto client = rig.client();
    for (int i = 1; i < 4; ++i) {
        client->drop();
        client->say(Ask{.id = fmt::format("{:016x}", i)}.text());
        const auto node = rig.nodeHas("Req-Id");
        node->drop(), node->say(i == 2 ? ok("x") : status(504, "Srv-Declined: 1\r\n"));
        rig.until([&] { return client->has(i == 2 ? " 200 " : " 503 "); });
        // The next try names the right node: it need not wait, as it meets no backlog.
        CHECK(client->has("Retry-After: 0.001\r\n") == (i != 2));
    }
    CHECK(rig.engine.counters().attempts == 3);
    CHECK(rig.engine.avoidedNodes() == 0);
}

// The client's time runs from its last byte. Before it is here no deadline ends the request; after it, the
// one that the client told does.
TEST_CASE("reducer: a body that comes for longer than the deadline, and the deadline from its end") {
    core::State state(test::settings(), core::Limits{250 * kMs}, kStart);
    Micros now = kStart;
    const auto put = [&](core::Input input) {
        auto all = core::reduce(state, now, std::move(input));
        for (auto& e : core::reduce(state, now, core::BatchEnded{}))
            all.push_back(std::move(e));
        return all;
    };
    const auto count = [](const core::Effects& effects, auto kind) {
        return std::count_if(effects.begin(), effects.end(),
                             [](const auto& e) { return std::holds_alternative<decltype(kind)>(e); });
    };
    put(EndpointListReceived{nodes({node("n0", 0)})});
    auto r = request(1, 1, 1, now);
    r.bodyIncomplete = true;
    CHECK(count(put(RequestReceived{r}), core::StartAttempt{}) == 1);
    int ends = 0;
    const auto run = [&](Micros until) {
        while (state.nextWake() <= until) {
            now = std::max(now, state.nextWake());
            const auto effects = put(core::TimerExpired{});
            ends += int(count(effects, core::StopAttempt{}) + count(effects, core::SendFailure{}) +
                        count(effects, core::SendRejection{}));
        }
        now = until;
    };
    run(kStart + 10 * kSecond);
    CHECK(ends == 0);
    CHECK(state.avoidedNodes() == 0);  // nothing is expected of the node yet
    put(RequestBodyCompleted{1, now + kSecond});
    run(now + 900 * kMs);
    CHECK(ends == 0);
    run(now + 200 * kMs);
    CHECK(ends == 2);  // the attempt stops and the client has its answer; the bytes are gone
    CHECK(state.openRequests() == 0);
    CHECK(state.counters().attempts == 1);
}
