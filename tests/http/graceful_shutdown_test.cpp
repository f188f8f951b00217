// Draining and SIGTERM: what is answered, and how connections are closed.
#include "http/http_test_support.h"
#include "support/process_support.h"

using namespace wingproxy;
using namespace wingproxy::test;
using std::chrono::milliseconds;

TEST_CASE("a request that crosses the graceful close of its connection is not served and meets no reset") {
    GatewayFixture fixture;
    tcp::socket client(fixture.io);
    client.connect(net::tcpEndpoint(fixture.front.sessionManager().address()));
    fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() == 1; });
    fixture.front.sessionManager().closeIdleGracefully();
    fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() == 0; });
    asio::write(client, asio::buffer(PlatformRequest{}.text()));  // on its way when the front ended its side
    boost::system::error_code broken;                             // a reset would meet the next bytes
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
        asio::write(client,
                    asio::buffer(PlatformRequest{}.text()));  // in the system, and the loop does not run
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
        fixture.front.sessionManager()
            .closeIdleGracefully();  // as the program does, every 20 ms; it is quiet after a while
        return partial->ended;
    });
    CHECK(partial->hasReceived("HTTP/1.1 503 "));
    CHECK(partial->hasReceived("Retry-After: "));
    CHECK(partial->hasReceived("Connection: close"));
}

TEST_CASE("draining: waiting clients are accepted, responses close their connections, idle ones are closed") {
    GatewayFixture fixture;
    const auto busy = fixture.client(), idle = fixture.client();
    busy->send(PlatformRequest{}.text());
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() == 2; });
    fixture.front.startDraining();
    const auto late = fixture.client();  // accepted by the system, not yet by the program
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

// The program itself: a request in flight, one that arrives on an open connection, and an idle client. All of
// it is served or closed in order before the platform may kill the process.
TEST_CASE(
    "SIGTERM with requests in flight: each is answered, idle clients see a FIN, and the exit is in time") {
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
    lateClient->send(PlatformRequest{.id = id(2)}.text());  // after SIGTERM, on a connection that is open
    fixture.waitForNodeToReceive(id(2))->send(ok("dos"));
    fixture.waitUntil([&] { return lateClient->hasReceived("dos"); });
    CHECK(process.running());
    node->send(ok("uno"));
    fixture.waitUntil([&] { return busy->hasReceived("uno") && busy->hasReceived(" 200 "); });
    fixture.waitUntil([&] { return !process.running(); }, "the exit");
    CHECK(std::chrono::steady_clock::now() - since <
          milliseconds(3'000 + 700));  // the longest deadline and 0.7 s
    CHECK(WIFEXITED(process.status));
    CHECK(WEXITSTATUS(process.status) == 0);
    std::string got;
    CHECK(readToEnd(idle, got) == asio::error::eof);
    CHECK(got.starts_with("HTTP/1.1 200 "));
}

// The platform may kill after the longest deadline, of which 3 s count at the most, and 0.7 s. Idle clients
// do not delay the exit beyond that, and none sees a reset.
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

// Guards against the soak's seed 15: a process was held up when SIGTERM came, counted its time from the
// moment in which it went on, and still owed an answer at the kill after another hold-up.
TEST_CASE("SIGTERM to a process that is held up: what comes is answered a hold-up's time before the kill") {
    constexpr milliseconds kKill{400 + 700};
    constexpr milliseconds kHoldUp{130};
    constexpr milliseconds kLongestHoldUp{150};
    Platform platform(384, {{"\"deadlineUs\":1500000", "\"deadlineUs\":400000"},
                            {"\"deadlineUs\":3000000", "\"deadlineUs\":400000"}});
    auto& fixture = platform.fixture;
    fixture.node().onConnection = [](TestConnection&) {};  // it answers nothing
    auto& process = platform.startReady();
    const auto client = platform.client();
    const auto since = std::chrono::steady_clock::now();
    const auto elapsed = [&] { return std::chrono::steady_clock::now() - since; };
    process.signal(SIGSTOP);
    process.signal(SIGTERM);
    fixture.waitUntil([&] { return elapsed() >= kHoldUp; }, "the hold-up is over");
    process.signal(SIGCONT);
    platform.waitUntilLogged(process, "stopping: 0 requests open");
    fixture.waitUntil([&] { return elapsed() >= kKill / 2; }, "half of the time is over");
    client->send(PlatformRequest{.id = id(1), .deadlineMs = 2'000}.text());
    fixture.waitUntil([&] { return client->hasReceived("\r\n\r\n"); }, "the answer");
    CHECK(elapsed() < kKill - kLongestHoldUp);
}
