// Draining and SIGTERM: what is answered, and how connections are closed.
#include "http/http_test_support.h"
#include "support/process_support.h"

using namespace wingproxy;
using namespace wingproxy::test;
using std::chrono::milliseconds;

TEST_CASE("a request that crosses the graceful close of its connection is not served and meets no reset") {
    Rig rig;
    tcp::socket client(rig.io);
    client.connect(net::tcpEndpoint(rig.front.sessionManager().address()));
    rig.until([&] { return rig.front.sessionManager().activeConnections() == 1; });
    rig.front.sessionManager().closeIdleGracefully();
    rig.until([&] { return rig.front.sessionManager().activeConnections() == 0; });
    asio::write(client, asio::buffer(Ask{}.text()));  // on its way when the front ended its side
    boost::system::error_code broken;                 // a reset would meet the next bytes
    asio::write(client, asio::buffer("y mas", 5), broken);
    CHECK(!broken);
    rig.until([&] { return rig.front.sessionManager().sessionCount() == 0; });
    std::string got;
    CHECK(readToEnd(client, got) == asio::error::eof);
    CHECK(got.empty());
    CHECK(rig.engine.counters().received == 0);
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
        Rig rig;
        tcp::socket client(rig.io);
        client.connect(net::tcpEndpoint(rig.front.sessionManager().address()));
        rig.until([&] { return rig.front.sessionManager().activeConnections() == 1; });
        asio::write(client, asio::buffer(Ask{}.text()));  // in the system, and the loop does not run
        close(rig.front.sessionManager());
        std::string got;
        CHECK(readToEnd(client, got) == asio::error::eof);
    }
}

TEST_CASE("a partial request is rejected with a response when the front stops") {
    Rig rig;
    const auto partial = rig.client();
    asio::write(partial->socket, asio::buffer("GET /api HTTP/1.1\r\nReq-Id: ", 26));
    rig.until([&] { return rig.front.sessionManager().activeConnections() == 1; });
    rig.front.startDraining();
    rig.until([&] {
        rig.front.sessionManager()
            .closeIdleGracefully();  // as the program does, every 20 ms; it is quiet after a while
        return partial->ended;
    });
    CHECK(partial->has("HTTP/1.1 503 "));
    CHECK(partial->has("Retry-After: "));
    CHECK(partial->has("Connection: close"));
}

TEST_CASE("draining: waiting clients are accepted, responses close their connections, idle ones are closed") {
    Rig rig;
    const auto busy = rig.client(), idle = rig.client();
    busy->say(Ask{}.text());
    const auto node = rig.nodeHas("Req-Id");
    rig.until([&] { return rig.front.sessionManager().activeConnections() == 2; });
    rig.front.startDraining();
    const auto late = rig.client();  // accepted by the system, not yet by the program
    late->say(Ask{.id = "00000000000000b2"}.text());
    rig.front.sessionManager().closeListener();
    node->say(ok("hecho"));
    const auto second = rig.nodeHas("00000000000000b2");
    second->say(ok("tambien"));
    rig.until([&] { return busy->has("hecho") && late->has("tambien") && busy->ended; });
    rig.front.sessionManager().closeIdleGracefully();
    rig.until([&] { return idle->ended; });
    CHECK(busy->has("Connection: close"));
    rig.until([&] {
        return rig.front.sessionManager().activeConnections() == 0 && rig.engine.openRequests() == 0;
    });
}

// The program itself: a request in flight, one that arrives on an open connection, and an idle client. All of
// it is served or closed in order before the platform may kill the process.
TEST_CASE(
    "SIGTERM with requests in flight: each is answered, idle clients see a FIN, and the exit is in time") {
    Platform platform;
    auto& rig = platform.rig;
    auto& process = platform.startReady();
    const auto busy = platform.client(), lateClient = platform.client();
    tcp::socket idle(rig.io);
    idle.connect(platform.listening.local_endpoint());
    asio::write(idle, asio::buffer(std::string("GET /up HTTP/1.1\r\n\r\n")));
    busy->say(Ask{.id = id(1), .deadlineMs = 3'000}.text());
    const auto node = rig.nodeHas(id(1));
    process.signal(SIGTERM);
    platform.untilSaid(process, "stopping: 1 requests open");
    const auto since = std::chrono::steady_clock::now();
    lateClient->say(Ask{.id = id(2)}.text());  // after SIGTERM, on a connection that is open
    rig.nodeHas(id(2))->say(ok("dos"));
    rig.until([&] { return lateClient->has("dos"); });
    CHECK(process.running());
    node->say(ok("uno"));
    rig.until([&] { return busy->has("uno") && busy->has(" 200 "); });
    rig.until([&] { return !process.running(); }, "the exit");
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
        auto& rig = platform.rig;
        rig.node().greets = [](Wire& wire) { wire.reply = ok("x"); };
        auto& process = platform.startReady();
        tcp::socket idle(rig.io);
        idle.connect(platform.listening.local_endpoint());
        asio::write(idle, asio::buffer(std::string("GET /up HTTP/1.1\r\n\r\n")));
        const auto lateClient = platform.client();
        platform.serve(lateClient, id(1));
        const auto since = std::chrono::steady_clock::now();
        process.signal(SIGTERM);
        platform.untilSaid(process, "stopping: 0 requests open");
        platform.serve(lateClient, id(2));  // still served while draining
        rig.until([&] { return !process.running(); }, "the exit");
        CHECK(std::chrono::steady_clock::now() - since < c.kill);
        CHECK(WIFEXITED(process.status));
        CHECK(WEXITSTATUS(process.status) == 0);
        CHECK(process.said("stopped: 1 requests taken since SIGTERM"));
        std::string got;
        CHECK(readToEnd(idle, got) == asio::error::eof);
        CHECK(got.starts_with("HTTP/1.1 200 "));
    }
}
