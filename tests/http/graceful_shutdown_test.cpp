// Draining and SIGTERM: which requests are served, and how connections are closed.
#include "http/http_test_support.h"
#include "support/process_support.h"

using namespace wingproxy;
using namespace wingproxy::test;
using std::chrono::milliseconds;

TEST_CASE(
    "a request that arrives during the graceful close of its connection causes no reset, and is not served") {
    GatewayFixture fixture;
    tcp::socket client(fixture.io);
    client.connect(net::tcpEndpoint(fixture.front.sessionManager().address()));
    fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() == 1; });
    fixture.front.sessionManager().closeIdleGracefully();
    fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() == 0; });
    asio::write(client, asio::buffer(PlatformRequest{}.text()));  // in transit when the front sent its FIN
    boost::system::error_code broken;                             // the next write would fail after a reset
    asio::write(client, asio::buffer("y mas", 5), broken);
    CHECK(!broken);
    fixture.waitUntil([&] { return fixture.front.sessionManager().sessionCount() == 0; });
    std::string got;
    CHECK(readToEnd(client, got) == asio::error::eof);
    CHECK(got.empty());
    CHECK(fixture.engine.counters().received == 0);
}

TEST_CASE("closing a connection with unread bytes ends it without a reset") {
    const std::function<void(net::SessionManager&)> closes[] = {
        [](net::SessionManager& sessionManager) { sessionManager.stop(); },
        [](net::SessionManager& sessionManager) {
            sessionManager.stop();
            sessionManager.stop();
        },
    };
    for (const auto& close : closes) {
        GatewayFixture fixture;
        tcp::socket client(fixture.io);
        client.connect(net::tcpEndpoint(fixture.front.sessionManager().address()));
        fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() == 1; });
        // The bytes stay in the kernel's buffer, as the event loop does not run.
        asio::write(client, asio::buffer(PlatformRequest{}.text()));
        close(fixture.front.sessionManager());
        std::string got;
        CHECK(readToEnd(client, got) == asio::error::eof);
    }
}

TEST_CASE("a partial request is rejected with a response when the front stops") {
    GatewayFixture fixture;
    const auto partial = fixture.client();
    asio::write(partial->socket, asio::buffer("GET /api HTTP/1.1\r\nReq-Id: ", 26));
    fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() == 1; });
    fixture.front.startDraining();
    fixture.waitUntil([&] {
        // The program calls this every 20 ms; it takes effect once no byte has arrived for 250 ms.
        fixture.front.sessionManager().closeIdleGracefully();
        return partial->ended;
    });
    CHECK(partial->hasReceived("HTTP/1.1 503 "));
    CHECK(partial->hasReceived("Retry-After: "));
    CHECK(partial->hasReceived("Connection: close"));
}

// Guards against answers that SIGKILL cuts off: nothing limits how long a streamed response takes.
TEST_CASE("a request that comes late in a shutdown gets a short response, and no long one") {
    const struct {
        const char* kind;
        const char* status;  // in place of a long response
    } cases[] = {{"lectura", " 503 "}, {"alta", " 500 "}};
    for (const auto& c : cases) {
        for (const bool inChunks : {false, true}) {
            CAPTURE(c.kind);
            CAPTURE(inChunks);
            GatewayFixture fixture;
            fixture.front.setLastUnfinishedArrival(fixture.engine.now() - 1, false);
            const auto client = fixture.client();
            client->send(PlatformRequest{.id = id(1), .kind = c.kind}.text());
            fixture.waitForNodeToReceive(id(1))->send(ok("corta"));
            fixture.waitUntil([&] { return client->hasReceived("corta"); });
            client->clearReceived();
            client->send(PlatformRequest{.id = id(2), .kind = c.kind}.text());
            const auto node = fixture.waitForNodeToReceive(id(2));
            if (inChunks)
                node->send(fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                                       kLongBody.size(), kLongBody));
            else
                node->send(
                    fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\npart", kLongBody.size()));
            fixture.waitUntil([&] { return client->hasReceived("\r\n\r\n"); });
            CHECK(client->hasReceived(c.status));
            CHECK(fixture.engine.counters().attempts == 2);  // another attempt could do no better
            fixture.waitUntil([&] { return node->ended; });
        }
    }
}

TEST_CASE("a request that came in time in a shutdown gets its long response") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    client->send(PlatformRequest{.id = id(1)}.text());
    const auto node = fixture.waitForNodeToReceive(id(1));
    fixture.front.setLastUnfinishedArrival(fixture.engine.now(), true);
    node->send(ok(kLongBody));
    fixture.waitUntil([&] { return client->received.size() > kLongBody.size(); });
    CHECK(client->hasReceived(" 200 "));
}

TEST_CASE("a request that comes late in an upgrade is rejected and reaches no node") {
    GatewayFixture fixture;
    fixture.front.startDraining();
    fixture.front.setLastUnfinishedArrival(fixture.engine.now() - 1, true);
    for (const std::string& text :
         {PlatformRequest{}.text(), streamedPut("Content-Length: 200000\r\n") + "part"}) {
        const auto client = fixture.client();
        client->send(text);
        fixture.waitUntil([&] { return client->hasReceived("\r\n\r\n") && client->ended; });
        CHECK(client->hasReceived(" 503 "));
    }
    CHECK(fixture.front.counters().leftToSuccessor == 2);
    CHECK(fixture.engine.counters().received == 0);
}

TEST_CASE("a body that is not complete when a shutdown has to respond gets a failure") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    client->send(streamedPut("Content-Length: 200000\r\n", id(1), 30'000) + "part");
    fixture.waitForNodeToReceive("part");
    fixture.front.setResponseDeadline(fixture.engine.now() + 200'000);
    fixture.waitUntil([&] { return client->hasReceived(" 500 "); });
    CHECK(fixture.engine.openRequests() == 0);
}

TEST_CASE("draining: waiting clients are accepted, responses close their connections, idle ones are closed") {
    GatewayFixture fixture;
    const auto busy = fixture.client(), idle = fixture.client();
    busy->send(PlatformRequest{}.text());
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() == 2; });
    fixture.front.startDraining();
    const auto late = fixture.client();  // in the accept queue, not accepted by the program yet
    late->send(PlatformRequest{.id = "00000000000000b2"}.text());
    fixture.front.sessionManager().closeListener();
    node->send(ok("hecho"));
    const auto second = fixture.waitForNodeToReceive("00000000000000b2");
    second->send(ok("tambien"));
    fixture.waitUntil(
        [&] { return busy->hasReceived("hecho") && late->hasReceived("tambien") && busy->ended; });
    fixture.front.sessionManager().closeIdleGracefully();
    fixture.waitUntil([&] { return idle->ended; });
    CHECK(busy->hasReceived("Connection: close"));
    fixture.waitUntil([&] {
        return fixture.front.sessionManager().activeConnections() == 0 && fixture.engine.openRequests() == 0;
    });
}

// Runs the program with a request in flight, a request that arrives on an open connection after SIGTERM, and
// an idle client. All must be served or closed gracefully before the platform may send SIGKILL.
TEST_CASE(
    "SIGTERM with requests in flight: each gets its response, idle clients a FIN, and the exit is in time") {
    Platform platform;
    auto& fixture = platform.fixture;
    auto& process = platform.startReady();
    const auto busy = platform.client(), lateClient = platform.client();
    tcp::socket idle(fixture.io);
    idle.connect(platform.listening.local_endpoint());
    asio::write(idle, asio::buffer(std::string("GET /up HTTP/1.1\r\n\r\n")));
    busy->send(PlatformRequest{.id = id(1), .deadlineMs = 3'000}.text());
    const auto node = fixture.waitForNodeToReceive(id(1));
    process.signal(SIGTERM);
    platform.waitUntilLogged(process, "stopping: 1 requests open");
    const auto since = std::chrono::steady_clock::now();
    lateClient->send(PlatformRequest{.id = id(2)}.text());  // after SIGTERM, on an open connection
    fixture.waitForNodeToReceive(id(2))->send(ok("dos"));
    fixture.waitUntil([&] { return lateClient->hasReceived("dos"); });
    CHECK(process.running());
    node->send(ok("uno"));
    fixture.waitUntil([&] { return busy->hasReceived("uno") && busy->hasReceived(" 200 "); });
    fixture.waitUntil([&] { return !process.running(); }, "the exit");
    CHECK(std::chrono::steady_clock::now() - since <
          milliseconds(3'000 + 700));  // SIGKILL: the longest deadline plus 0.7 s
    CHECK(WIFEXITED(process.status));
    CHECK(WEXITSTATUS(process.status) == 0);
    std::string got;
    CHECK(readToEnd(idle, got) == asio::error::eof);
    CHECK(got.starts_with("HTTP/1.1 200 "));
}

// The platform may send SIGKILL after the longest deadline of the classes (3 s at most) plus 0.7 s. Idle
// clients do not delay the exit beyond that, and none sees a reset.
TEST_CASE("SIGTERM with deadlines shorter or longer than the platform waits: the exit is in time") {
    const struct {
        const char* deadline;
        milliseconds kill;
    } cases[] = {{"\"deadlineUs\":200000", milliseconds(200 + 700)},
                 {"\"deadlineUs\":8000000", milliseconds(3'000 + 700)}};
    for (const auto& c : cases) {
        CAPTURE(c.deadline);
        Platform platform(384,
                          {{"\"deadlineUs\":1500000", c.deadline}, {"\"deadlineUs\":3000000", c.deadline}});
        auto& fixture = platform.fixture;
        fixture.node().onConnection = [](TestConnection& connection) { connection.autoResponse = ok("x"); };
        auto& process = platform.startReady();
        tcp::socket idle(fixture.io);
        idle.connect(platform.listening.local_endpoint());
        asio::write(idle, asio::buffer(std::string("GET /up HTTP/1.1\r\n\r\n")));
        const auto lateClient = platform.client();
        platform.serve(lateClient, id(1));
        const auto since = std::chrono::steady_clock::now();
        process.signal(SIGTERM);
        platform.waitUntilLogged(process, "stopping: 0 requests open");
        platform.serve(lateClient, id(2));  // still served while draining
        fixture.waitUntil([&] { return !process.running(); }, "the exit");
        CHECK(std::chrono::steady_clock::now() - since < c.kill);
        CHECK(WIFEXITED(process.status));
        CHECK(WEXITSTATUS(process.status) == 0);
        CHECK(process.hasLogged("stopped: 1 requests taken since SIGTERM"));
        std::string got;
        CHECK(readToEnd(idle, got) == asio::error::eof);
        CHECK(got.starts_with("HTTP/1.1 200 "));
    }
}

// Soak seed 15: a process was suspended when SIGTERM came and measured its shutdown from when it resumed.
// After another suspension it had not sent a response when SIGKILL came. The process must measure from the
// signal, and respond so early that a suspension of 150 ms still fits before SIGKILL.
TEST_CASE("SIGTERM to a suspended process: later requests get a response at least 150 ms before SIGKILL") {
    constexpr milliseconds kKill{400 + 700};
    constexpr milliseconds kSuspension{130};
    constexpr milliseconds kLongestSuspension{150};
    Platform platform(384, {{"\"deadlineUs\":1500000", "\"deadlineUs\":400000"},
                            {"\"deadlineUs\":3000000", "\"deadlineUs\":400000"}});
    auto& fixture = platform.fixture;
    fixture.node().onConnection = [](TestConnection&) {};  // the node never responds
    auto& process = platform.startReady();
    const auto client = platform.client();
    const auto since = std::chrono::steady_clock::now();
    const auto elapsed = [&] { return std::chrono::steady_clock::now() - since; };
    process.signal(SIGSTOP);
    process.signal(SIGTERM);
    fixture.waitUntil([&] { return elapsed() >= kSuspension; }, "the suspension is over");
    process.signal(SIGCONT);
    platform.waitUntilLogged(process, "stopping: 0 requests open");
    fixture.waitUntil([&] { return elapsed() >= kKill / 2; }, "half of the time until SIGKILL is over");
    client->send(PlatformRequest{.id = id(1), .deadlineMs = 2'000}.text());
    fixture.waitUntil([&] { return client->hasReceived("\r\n\r\n"); }, "the answer");
    CHECK(elapsed() < kKill - kLongestSuspension);
}
