// What is owed when something ends: clients that leave, connections that are closed, answers without a
// length, repeats at the end of their window. Each test brings about the bad order itself.
#include "http/node_attempt.h"
#include "support/policy_support.h"
#include "support/process_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

using std::chrono::milliseconds;
// A client that left while its request waited must be forgotten within this time.
constexpr milliseconds kForgotten{300};

std::string id(int i) { return fmt::format("{:016x}", i); }

// A node that is as busy as the module lets it be: whatever comes now waits here.
struct Busy {
    static constexpr int kPlaces = 3;
    Busy() : rig(config()) {
        for (int i = 0; i < kPlaces; ++i) {
            clients.push_back(rig.client());
            clients.back()->say(Ask{.id = id(i), .deadlineMs = 30'000}.text());
            rig.nodeHas(id(i));
        }
    }
    static config::Config config() {
        auto config = baseConfig();
        for (auto& c : config.settings.classes)
            c.latencyObjectiveUs = 20'000'000;
        return config;
    }
    // A connection whose request waits here, with more behind it or half a body.
    std::shared_ptr<tcp::socket> waiting(const std::string& text, std::size_t requests = 1) {
        const auto before = rig.engine.counters().taken;
        const auto socket = std::make_shared<tcp::socket>(rig.io);
        socket->connect(net::tcpEndpoint(rig.front.sessionManager().address()));
        asio::write(*socket, asio::buffer(text));
        rig.until([&] { return rig.engine.counters().taken == before + requests; }, "the request waits");
        return socket;
    }
    // Places come free, and another client's request passes: nothing of who left may have gone before it.
    void nothingOf(int left) {
        for (int i = 0; i < kPlaces; ++i)
            rig.nodeHas(id(i))->say(ok("hecho"));
        for (const auto& client : clients)
            rig.until([&] { return client->has("hecho"); });
        const auto last = rig.client();
        last->say(Ask{.id = id(999)}.text());
        rig.nodeHas(id(999));
        for (const auto& wire : rig.node().wires)
            CHECK(!wire->has(id(left)));
        CHECK(rig.engine.counters().taken == kPlaces + 2);
    }
    Rig rig;
    std::vector<WirePtr> clients;
};

void resetNow(tcp::socket& socket) {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
}

// What a client reads after all that is there: eof, or that it was reset.
boost::system::error_code endOf(tcp::socket& socket, std::string& got) {
    boost::system::error_code error;
    socket.non_blocking(false);
    asio::read(socket, asio::dynamic_buffer(got), error);
    return error;
}

// An address whose connections do not come up before the test lets them: its queue is full.
struct Unreachable {
    explicit Unreachable(asio::io_context& io) : acceptor(io) {
        acceptor.open(tcp::v4());
        acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
        acceptor.listen(0);
        for (int i = 0; i < 8; ++i) {
            fillers.emplace_back(io);
            fillers.back().async_connect(acceptor.local_endpoint(), [](auto) {});
        }
    }
    config::Endpoint address() const { return {"127.0.0.1", acceptor.local_endpoint().port()}; }
    tcp::acceptor acceptor;
    std::deque<tcp::socket> fillers;
};

const std::string kFlood = [] {
    std::string all;
    for (int i = 0; i < 300; ++i)
        all += Ask{.id = id(100 + i), .deadlineMs = 30'000}.text();
    return all;
}();
// As much of a long body as fills the ring and the rest of which the system still holds.
const std::string kHalfBody = fmt::format(
    "PUT /api HTTP/1.1\r\nReq-Id: {}\r\nReq-Kind: alta\r\nTier: prioritario\r\nIdempotency-Key: k\r\n"
    "Cookie: key=7f3a9c21e0b4d655\r\nReq-Deadline-Ms: 30000\r\nContent-Length: 1000000\r\n"
    "IO-Info: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n\r\n{}",
    id(100), std::string(3 * net::kMostRing, 'x'));

}  // namespace

TEST_CASE("a client that leaves while its request waits is forgotten at once, however it leaves") {
    const struct {
        const char* what;
        std::string text;
        bool reset;
    } cases[] = {
        {"FIN", Ask{.id = id(100), .deadlineMs = 30'000}.text(), false},
        {"RST", Ask{.id = id(100), .deadlineMs = 30'000}.text(), true},
        {"hundreds of requests at once, then FIN", kFlood, false},
        {"hundreds of requests at once, then RST", kFlood, true},
        {"a full receive ring, then FIN", kHalfBody, false},
        {"a full receive ring, then RST", kHalfBody, true},
    };
    for (const auto& c : cases) {
        CAPTURE(c.what);
        Busy busy;
        auto& rig = busy.rig;
        const auto leaver = busy.waiting(c.text);
        const auto since = std::chrono::steady_clock::now();
        if (c.reset)
            resetNow(*leaver);
        else
            leaver->close();
        rig.until([&] { return rig.engine.counters().disconnected == 1; }, c.what);
        CHECK(std::chrono::steady_clock::now() - since < kForgotten);
        CHECK(rig.engine.openRequests() == Busy::kPlaces);
        busy.nothingOf(100);
        CHECK(rig.front.counters().pipelined == (c.text == kFlood ? 1 : 0));
        CHECK(rig.front.sessionManager().detectHangUp() == (c.text == kHalfBody ? 1 : 0));
    }
}

TEST_CASE("a client that leaves while its attempt's connection comes up: no byte leaves") {
    for (const bool reset : {false, true}) {
        auto config = baseConfig();
        config.connectTimeoutUs = 10'000'000;
        config.settings.drainGraceUs = 0;
        Rig rig(std::move(config));
        Unreachable node(rig.io);
        rig.engine.endpointListReceived(
            {{EndpointListKind::Delta, 2, {{"s-0", "z", 0, 1, NodeState::Ready, 1}}}, {node.address()}});
        const auto client = rig.client();
        client->say(Ask{.deadlineMs = 30'000}.text());
        rig.until([&] { return rig.engine.counters().attempts == 1; });
        REQUIRE(rig.pool.open() == 1);
        if (reset)
            client->reset();
        else
            client->close();
        rig.until([&] { return rig.engine.counters().disconnected == 1; });
        CHECK(rig.engine.counters().withdrawn == 1);
        rig.until([&] { return rig.pool.open() == 0; });  // closed, so nothing can be written on it
        CHECK(rig.outcomes(Outcome::Cancelled) == 1);
        CHECK(rig.engine.counters().written == 0);
    }
}

TEST_CASE("what comes behind a request is served to nobody, and its answer ends the connection") {
    Rig rig;
    const auto client = rig.client(), blank = rig.client();
    client->say(Ask{.id = id(1)}.text() + Ask{.id = id(2)}.text());
    const auto node = rig.nodeHas(id(1));
    client->say(Ask{.id = id(3)}.text());
    node->say(ok("uno"));
    rig.until([&] { return client->has("uno") && client->ended; });
    CHECK(rig.engine.counters().taken == 1);
    CHECK(rig.front.counters().pipelined == 1);
    blank->say(Ask{.kind = "alta", .body = "x"}.text() + "\r\n");  // old clients' habit
    rig.nodeHas("Idempotency-Key")->say(ok("dos"));
    rig.until([&] { return blank->has("dos"); });
    CHECK(!blank->has("Connection: close"));
    CHECK(rig.front.counters().pipelined == 1);
}

TEST_CASE(
    "an idle connection that is ended in order: a request that crosses it is not served and meets no reset") {
    Rig rig;
    tcp::socket client(rig.io);
    client.connect(net::tcpEndpoint(rig.front.sessionManager().address()));
    rig.until([&] { return rig.front.sessionManager().connections() == 1; });
    rig.front.sessionManager().closeIdleGracefully();
    rig.until([&] { return rig.front.sessionManager().connections() == 0; });
    asio::write(client, asio::buffer(Ask{}.text()));  // on its way when the front ended its side
    boost::system::error_code broken;                 // a reset would meet the next bytes
    asio::write(client, asio::buffer("y mas", 5), broken);
    CHECK(!broken);
    rig.until([&] { return rig.front.sessionManager().sessionCount() == 0; });
    std::string got;
    CHECK(endOf(client, got) == asio::error::eof);
    CHECK(got.empty());
    CHECK(rig.engine.counters().taken == 0);
}

TEST_CASE("a close over bytes that were not read is an end to the client, not a reset") {
    const std::function<void(net::SessionManager&)> closes[] = {
        [](net::SessionManager& sessionManager) { sessionManager.stop(); },
        [](net::SessionManager& sessionManager) { sessionManager.stop(), sessionManager.stop(); },
    };
    for (const auto& close : closes) {
        Rig rig;
        tcp::socket client(rig.io);
        client.connect(net::tcpEndpoint(rig.front.sessionManager().address()));
        rig.until([&] { return rig.front.sessionManager().connections() == 1; });
        asio::write(client, asio::buffer(Ask{}.text()));  // in the system, and the loop does not run
        close(rig.front.sessionManager());
        std::string got;
        CHECK(endOf(client, got) == asio::error::eof);
    }
}

TEST_CASE("a stop while a request is half sent: it is refused with an answer") {
    Rig rig;
    const auto half = rig.client();
    asio::write(half->socket, asio::buffer("GET /api HTTP/1.1\r\nReq-Id: ", 26));
    rig.until([&] { return rig.front.sessionManager().connections() == 1; });
    rig.front.startDraining();
    rig.until([&] {
        rig.front.sessionManager()
            .closeIdleGracefully();  // as the program does, every 20 ms; it is quiet after a while
        return half->ended;
    });
    CHECK(half->has("HTTP/1.1 503 "));
    CHECK(half->has("Retry-After: "));
    CHECK(half->has("Connection: close"));
}

TEST_CASE("a full house: a half-sent request that gives way is refused with an answer") {
    Rig rig(baseConfig(), 1, 1);
    const auto half = rig.client();
    half->say("GET /api HTTP/1.1\r\nReq-Id: ");
    rig.until([&] { return rig.front.sessionManager().connections() == 1; });
    const auto next = rig.client();
    next->say("GET /up HTTP/1.1\r\n\r\n");
    rig.until([&] { return next->has(" 200 ") && half->ended; });
    CHECK(half->has("HTTP/1.1 503 "));
}

TEST_CASE("an answer without a length ends with the node's FIN, in both versions of HTTP") {
    for (const auto* head : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"}) {
        CAPTURE(head);
        Rig rig;
        const auto client = rig.client();
        client->say(Ask{}.text());
        const auto node = rig.nodeHas("Req-Id");
        node->say(std::string(head) + "hasta el fin");
        node->socket.shutdown(tcp::socket::shutdown_send);
        rig.until([&] { return client->has("hasta el fin"); });
        CHECK(client->has("HTTP/1.1 200 "));
        CHECK(client->has("Content-Length: 12\r\n"));
        CHECK(rig.node().wires.size() == 1);
        rig.until([&] { return node->ended; });  // and the connection serves no other
    }
}

TEST_CASE("an answer without a length that is reset has not ended: it may have run, and is tried again") {
    for (const auto* head : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"}) {
        CAPTURE(head);
        auto config = baseConfig();
        for (auto& c : config.settings.classes)
            c.latencyObjectiveUs = 20'000'000;  // patience with a pause: 250 ms
        Rig rig(std::move(config));
        const auto client = rig.client();
        client->say(Ask{.deadlineMs = 30'000}.text());
        const auto node = rig.nodeHas("Req-Id");
        asio::write(node->socket, asio::buffer(std::string(head) + "a medias"));
        node->reset();
        rig.until([&] { return rig.outcomes(Outcome::Reset) == 1; }, "a reset");
        rig.until([&] { return rig.node().wires.size() == 2; }, "another attempt");
        rig.node().wires[1]->say(ok("entera"));
        rig.until([&] { return client->has("entera"); });
        CHECK(!client->has("a medias"));
    }
}

TEST_CASE("a list without a length: a FIN ends it, a reset does not") {
    const std::string list =
        "HTTP/1.1 200 OK\r\n\r\n{\n  \"generation\": 9,\n  \"reset\": true,\n  \"instances\": [ ]\n}\n";
    Rig rig;
    const auto asked = [&](std::size_t i) {
        rig.until([&] {
            return rig.discoveryServer.wires.size() == i + 1 && rig.discoveryServer.wires[i]->has("\r\n\r\n");
        });
        return rig.discoveryServer.wires[i];
    };
    auto wire = asked(0);
    asio::write(wire->socket, asio::buffer(list));
    wire->reset();
    rig.until([&] { return rig.discovery.counters().failed == 1; });
    CHECK(rig.engine.listVersion() != 9);
    wire = asked(1);
    wire->say(list);
    wire->socket.shutdown(tcp::socket::shutdown_send);
    rig.until([&] { return rig.discovery.counters().answers == 1; });
    CHECK(rig.engine.listVersion() == 9);
}

namespace {

core::Effects step(core::State& state, Micros now, core::Input input) {
    auto all = core::reduce(state, now, std::move(input));
    for (auto& e : core::reduce(state, now, core::BatchEnded{}))
        all.push_back(std::move(e));
    return all;
}

template <typename T>
std::vector<T> of(const core::Effects& effects) {
    std::vector<T> out;
    for (const auto& e : effects)
        if (const auto* t = std::get_if<T>(&e)) out.push_back(*t);
    return out;
}

}  // namespace

// The class of a key that is honoured for 1 s: the first attempt breaks just before that.
TEST_CASE("a repeat whose last byte would come past its class's window is broken off before it") {
    auto settings = test::settings();
    settings.classes[1].latencyObjectiveUs = 3 * kSecond;  // so that it is still worth a repeat by then
    const Micros window = settings.classes[1].keyWindowUs;
    for (const bool written : {false, true}) {
        core::State state(settings, core::Limits{250 * kMs}, kStart);
        step(state, kStart, EndpointListReceived{nodes({node("n0", 0)})});
        auto asked = request(1, 1, 1, kStart);
        asked.deadlineUs = kStart + 4 * kSecond;
        const auto first = of<core::StartAttempt>(step(state, kStart, RequestReceived{asked}));
        REQUIRE(first.size() == 1);
        CHECK(first[0].lastByteBy == core::StartAttempt::kNever);
        step(state, kStart, core::AttemptRequestSent{1, 0});
        const Micros broke = kStart + window - 20 * kMs;
        const auto repeat =
            of<core::StartAttempt>(step(state, broke, core::AttemptFinished{1, 0, Outcome::Reset, 0, 0, {}}));
        REQUIRE(repeat.size() == 1);
        CHECK(repeat[0].lastByteBy == kStart + window);
        CHECK(repeat[0].firstByteBy <= kStart + window);
        if (written) step(state, kStart + window - kMs, core::AttemptRequestSent{1, 1});
        const auto after = step(state, kStart + window, core::TimerExpired{});
        CHECK(of<core::StopAttempt>(after).size() == (written ? 0 : 1));
        CHECK(of<core::SendFailure>(after).size() == (written ? 0 : 1));  // it may have run: no refusal
        CHECK(state.counters().tooLate == (written ? 0 : 1));
    }
}

TEST_CASE("an attempt past its window writes nothing on a connection that is up") {
    Rig rig;
    const auto message = std::make_shared<http::RequestMessage>(boost::beast::http::verb::get, "/api", 11);
    const auto attempt = std::make_shared<http::NodeAttempt>(
        rig.engine, rig.pool,
        net::AttemptParams{9, 0, rig.node().address(), rig.engine.now() + 1'000'000,
                           rig.engine.now() + 1'000'000, rig.engine.now() - 1},
        message, std::nullopt, std::weak_ptr<http::Downstream>(),
        [](int, http::ResponseMessage, net::ByteBudget::Hold) {});
    attempt->start();
    rig.until([&] { return rig.node().wires.size() == 1 && rig.node().wires[0]->ended; });
    CHECK(rig.node().wires[0]->got.empty());
    CHECK(rig.engine.counters().written == 0);
}

TEST_CASE("a connection rests after an answer: what the node sends twice is not the next one's answer") {
    constexpr milliseconds kRests{100};  // long against what passes between two turns of the loop
    for (const bool twice : {true, false}) {
        CAPTURE(twice);
        asio::io_context io;
        StandIn node(io);
        const auto until = [&](const std::function<bool()>& so) { runUntil(io, so); };
        net::NodePool pool(io,
                           {8, std::chrono::seconds(1), std::chrono::seconds(15), net::kLeastRing, kRests});
        std::shared_ptr<net::Connection> first, second;
        auto ticket = pool.acquire(node.address(), [&](auto c) { first = c; });
        until([&] { return first != nullptr && node.wires.size() == 1; });
        const auto* const was = first.get();
        const auto since = std::chrono::steady_clock::now();
        pool.release(std::exchange(first, nullptr));
        ticket = pool.acquire(node.address(),
                              [&](auto c) { second = c; });  // quiet now; the second answer comes after
        if (twice) asio::write(node.wires[0]->socket, asio::buffer(ok("otra vez")));
        until([&] { return second != nullptr; });
        CHECK(std::chrono::steady_clock::now() - since >= kRests);
        if (twice) until([&] { return node.wires.size() == 2; });
        CHECK((second.get() == was) == !twice);
        pool.clear();
    }
}

TEST_CASE("a request takes a connection that has rested before it waits for one that has not") {
    asio::io_context io;
    StandIn node(io);
    const auto until = [&](const std::function<bool()>& so) { runUntil(io, so); };
    net::NodePool pool(
        io, {8, std::chrono::seconds(1), std::chrono::seconds(15), net::kLeastRing, milliseconds(100)});
    std::shared_ptr<net::Connection> old, fresh, got;
    const auto a = pool.acquire(node.address(), [&](auto c) { old = c; });
    const auto b = pool.acquire(node.address(), [&](auto c) { fresh = c; });
    until([&] { return old && fresh; });
    const auto* const rested = old.get();
    pool.release(std::exchange(old, nullptr));
    const auto by = std::chrono::steady_clock::now() + milliseconds(100);
    until([&] { return std::chrono::steady_clock::now() > by; });  // the rest itself
    pool.release(std::exchange(fresh, nullptr));
    const auto c = pool.acquire(node.address(), [&](auto taken) { got = taken; });
    until([&] { return got != nullptr; });
    CHECK(got.get() == rested);
    pool.clear();
}

// What an agent has counts as told at once: a front that does not hear it sends to a node that drains.
TEST_CASE("pushed lists: an agent that says nothing is asked anew well within the grace of a drain") {
    auto config = baseConfig();
    config.settings.pollsEndpointList = false;
    config.settings.drainGraceUs = 800'000;
    Rig rig(std::move(config));
    const auto since = std::chrono::steady_clock::now();
    rig.until([&] {  // takes the first call and says nothing
        return rig.discoveryServer.wires.size() == 2 && rig.discoveryServer.wires[1]->has("\r\n\r\n");
    });
    CHECK(std::chrono::steady_clock::now() - since < milliseconds(500));
    for (const auto& wire : rig.discoveryServer.wires)
        CHECK(wire->has("&wait_ms=0 "));  // it has it or not
    rig.tellState("s-0", "draining");
    rig.until([&] { return rig.discoveryServer.wires.back()->has("after=2&wait_ms=60000 "); });
}

// The only node of a cell serves on for a part of the grace after its drain was read. Where the call before
// failed the agent may have had that drain for as long: what is read then counts as read too late for that.
TEST_CASE(
    "pushed lists: a drain that is read after a failed call may have been told before: nothing is sent") {
    for (const bool failed : {true, false}) {
        CAPTURE(failed);
        auto config = baseConfig();
        config.settings.pollsEndpointList = false;
        config.settings.drainGraceUs = 10'000'000;  // nothing of it passes while the test runs
        Rig rig(std::move(config));
        rig.until([&] {
            return !rig.discoveryServer.wires.empty() && rig.discoveryServer.wires[0]->has("\r\n\r\n");
        });
        if (failed) {
            rig.discoveryServer.wires[0]->reset();
            rig.until([&] { return rig.discoveryServer.wires.size() == 2; });
        }
        rig.tellState("s-0", "draining");
        const auto client = rig.client();
        client->say(Ask{.deadlineMs = 30'000}.text());
        const auto reached = [&] {
            return std::any_of(rig.node().wires.begin(), rig.node().wires.end(),
                               [](const auto& wire) { return wire->has("Req-Id"); });
        };
        rig.until([&] { return client->has("HTTP/1.1 ") || reached(); });
        CHECK(reached() == !failed);
        CHECK(client->has("HTTP/1.1 503 ") == failed);
    }
}

// The program itself: one request at its node, one that comes on a connection that stays open, and a client
// that rests until the front ends it. All of it is served or ended in order, before the platform may kill.
TEST_CASE(
    "SIGTERM with requests in flight: each is answered, a resting client sees an end, the exit is in time") {
    Platform platform;
    auto& rig = platform.rig;
    auto& process = platform.startReady();
    const auto busy = platform.client(), asks = platform.client();
    tcp::socket resting(rig.io);
    resting.connect(platform.listening.local_endpoint());
    asio::write(resting, asio::buffer(std::string("GET /up HTTP/1.1\r\n\r\n")));
    busy->say(Ask{.id = id(1), .deadlineMs = 3'000}.text());
    const auto node = rig.nodeHas(id(1));
    process.signal(SIGTERM);
    platform.untilSaid(process, "stopping: 1 requests open");
    const auto since = std::chrono::steady_clock::now();
    asks->say(Ask{.id = id(2)}.text());  // after SIGTERM, on a connection that is open
    rig.nodeHas(id(2))->say(ok("dos"));
    rig.until([&] { return asks->has("dos"); });
    CHECK(process.running());
    node->say(ok("uno"));
    rig.until([&] { return busy->has("uno") && busy->has(" 200 "); });
    rig.until([&] { return !process.running(); }, "the exit");
    CHECK(std::chrono::steady_clock::now() - since <
          milliseconds(3'000 + 700));  // the longest deadline and 0.7 s
    CHECK(WIFEXITED(process.status));
    CHECK(WEXITSTATUS(process.status) == 0);
    std::string got;
    CHECK(endOf(resting, got) == asio::error::eof);
    CHECK(got.starts_with("HTTP/1.1 200 "));
}

// The platform may kill after the longest deadline, taken as 3 s where it is longer, and 0.7 s. Clients that
// rest on their connections do not keep the front up beyond that, and none sees a reset.
TEST_CASE("SIGTERM where deadlines are shorter, or longer, than the platform waits: the exit is in time") {
    const struct {
        const char* deadline;
        milliseconds kill;
    } cases[] = {{"\"deadlineUs\":200000", milliseconds(200 + 700)},
                 {"\"deadlineUs\":8000000", milliseconds(3'000 + 700)}};
    for (const auto& c : cases) {
        CAPTURE(c.deadline);
        Platform platform(384,
                          {{"\"deadlineUs\":1500000", c.deadline}, {"\"deadlineUs\":3000000", c.deadline}});
        auto& rig = platform.rig;
        rig.node().greets = [](Wire& wire) { wire.reply = ok("x"); };
        auto& process = platform.startReady();
        tcp::socket resting(rig.io);
        resting.connect(platform.listening.local_endpoint());
        asio::write(resting, asio::buffer(std::string("GET /up HTTP/1.1\r\n\r\n")));
        const auto asks = platform.client();
        platform.serve(asks, id(1));
        const auto since = std::chrono::steady_clock::now();
        process.signal(SIGTERM);
        platform.untilSaid(process, "stopping: 0 requests open");
        platform.serve(asks, id(2));  // it serves on
        rig.until([&] { return !process.running(); }, "the exit");
        CHECK(std::chrono::steady_clock::now() - since < c.kill);
        CHECK(WIFEXITED(process.status));
        CHECK(WEXITSTATUS(process.status) == 0);
        CHECK(process.said("stopped: 1 requests taken since SIGTERM"));
        std::string got;
        CHECK(endOf(resting, got) == asio::error::eof);
        CHECK(got.starts_with("HTTP/1.1 200 "));
    }
}

TEST_CASE("a client that is slow to begin has as long for its head as one that began at once") {
    Rig rig;
    const auto client = rig.client();
    const auto since = std::chrono::steady_clock::now();
    const auto passed = [&](milliseconds span) {  // the client's own pace
        rig.until([&] { return std::chrono::steady_clock::now() - since > span; });
    };
    passed(milliseconds(1'500));
    client->say("GET /up HT");
    passed(milliseconds(3'200));
    CHECK(!client->ended);
    client->say("TP/1.1\r\n\r\n");
    rig.until([&] { return client->has("HTTP/1.1 200 "); });
    CHECK(rig.front.counters().slow == 0);
}

TEST_CASE(
    "what the front refuses by itself advises no longer wait than clients honour, and none where none is") {
    for (const bool advice : {true, false}) {
        auto config = baseConfig();
        config.settings.sendsRetryAfter = advice;
        config.settings.maxRetryAfterUs = 40'000;
        Rig rig(std::move(config), 1, 1);
        const auto half = rig.client();
        half->say("GET /api HTTP/1.1\r\nReq-Id: ");
        rig.until([&] { return rig.front.sessionManager().connections() == 1; });
        const auto next = rig.client();
        rig.until([&] { return half->ended; });
        CHECK(half->has("HTTP/1.1 503 "));
        CHECK(half->has("Retry-After: 0.040\r\n") == advice);
        CHECK(half->has("Retry-After") == advice);
    }
}

TEST_CASE("discovery moves and the first call there fails: the whole list is asked for again") {
    for (const bool onRequest : {true, false}) {
        CAPTURE(onRequest);
        auto config = baseConfig();
        config.settings.pollsEndpointList = onRequest;
        Rig rig(std::move(config));
        rig.until([&] {
            return !rig.discoveryServer.wires.empty() && rig.discoveryServer.wires[0]->has("after=");
        });
        StandIn next(rig.io);
        rig.discovery.moveTo(next.address());
        rig.until([&] { return next.wires.size() == 1 && next.wires[0]->has("\r\n\r\n"); });
        next.wires[0]->say(status(503));  // too many callers
        rig.until([&] { return next.wires.back()->has("GET /discovery/hosts HTTP/1.1\r\n"); });
        next.wires.back()->drop();
        rig.until([&] { return rig.discovery.counters().failed == 1; });
        rig.until([&] { return next.wires.back()->has("GET /discovery/hosts HTTP/1.1\r\n"); }, "asked again");
        next.wires.back()->say(ok(R"({"generation":7,"reset":true,"instances":[]})"));
        rig.until([&] { return rig.engine.listVersion() == 7; });
        CHECK(rig.discoveryServer.wires.size() == 1);
    }
}

TEST_CASE("the pool is full: the longest idle connection makes room, and one in use never does") {
    asio::io_context io;
    StandIn idle(io), wanted(io);
    const auto until = [&](const std::function<bool()>& so) { runUntil(io, so); };
    net::NodePool pool(io, {2, std::chrono::seconds(1), std::chrono::seconds(15), net::kLeastRing});
    std::shared_ptr<net::Connection> used, spare, got;
    bool refused = false;
    const auto a = pool.acquire(idle.address(), [&](auto c) { used = c; });
    const auto b = pool.acquire(idle.address(), [&](auto c) { spare = c; });
    until([&] { return used && spare && idle.wires.size() == 2; });
    const auto full = pool.acquire(wanted.address(), [&](auto c) { refused = c == nullptr; });
    until([&] { return refused; });  // as if the node refused: nobody waits for a place
    pool.release(std::exchange(spare, nullptr));
    idle.wires[1]->say("HTTP/1.1 2");  // half a line, in the moment of the close
    const auto c = pool.acquire(wanted.address(), [&](auto taken) { got = taken; });
    until([&] { return got != nullptr && idle.wires[1]->ended; });
    CHECK(!idle.wires[0]->ended);
    CHECK(pool.open() == 2);
    pool.clear();
}
