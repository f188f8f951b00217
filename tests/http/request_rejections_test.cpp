// Requests that the front rejects itself.
#include "http/client_limits.h"
#include "http/http_test_support.h"
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

TEST_CASE("malformed requests are rejected with their status, and nothing reaches a node") {
    const struct {
        std::string text;
        const char *status, *names;
        bool closes;
    } cases[] = {
        {"nonsense\r\n\r\n", "400", "", true},
        {"GET /api HTTP/1.1\r\nHost: x\r\n\r\n", "400", "Req-Id", false},
        {"GET /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400", "", true},
        {"GET /api HTTP/1.1\r\nX: " + std::string(9000, 'a') + "\r\n\r\n", "431", "", true},
        {"PUT /api HTTP/1.1\r\nContent-Length: 70000000\r\n\r\n", "413", "", true},
        // The first bytes of the body follow the head: the announced length alone causes the rejection.
        {"PUT /api HTTP/1.1\r\nContent-Length: 80000000\r\n\r\n" + std::string(1000, 'a'), "413", "", true},
        // Two framings, in either order, would allow request smuggling.
        {"PUT /api HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
             PlatformRequest{}.text(),
         "400", "", true},
        {"PUT /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" +
             PlatformRequest{}.text(),
         "400", "", true},
        {"PUT /api HTTP/1.1\r\nTransfer-Encoding: x\r\nContent-Length: 0\r\n\r\n" + PlatformRequest{}.text(),
         "400", "", true},
        {"PUT /api HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + PlatformRequest{}.text(), "400",
         "", true},
        {"PUT /api HTTP/1.1\r\nContent-Length: -4\r\n\r\n", "400", "", true},
        {"PUT /api HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "501", "Transfer-Encoding", true},
    };
    GatewayFixture fixture;
    for (const auto& c : cases) {
        const auto client = fixture.client();
        client->send(c.text);
        fixture.waitUntil([&] { return client->hasReceived("\r\n\r\n") && client->hasReceived(c.names); },
                          c.status);
        CHECK_MESSAGE(client->hasReceived(std::string("HTTP/1.1 ") + c.status), client->received);
        if (c.closes)
            fixture.waitUntil([&] { return client->ended; });
        else
            CHECK(!client->ended);
    }
    CHECK(fixture.node().connections.empty());
    CHECK(fixture.engine.counters().received == 0);
}

// A close with unread bytes would reset the connection, and the client would lose the response it has not
// read yet.
TEST_CASE("a client that goes on sending a body that is too long receives the 413 response") {
    GatewayFixture fixture;
    tcp::socket client(fixture.io);
    client.connect(net::tcpEndpoint(fixture.front.sessionManager().address()));
    const std::string head = "PUT /api HTTP/1.1\r\nContent-Length: 80000000\r\n\r\n", piece(64 * 1024, 'x');
    asio::write(client, asio::buffer(head));
    asio::steady_timer pace(fixture.io);
    int sent = 0;
    boost::system::error_code broken;
    // 16 pieces 50 ms apart, which is longer than the quiet period of a lingering close (300 ms).
    const std::function<void()> more = [&] {
        pace.expires_after(std::chrono::milliseconds(50));
        pace.async_wait([&](auto) {
            asio::write(client, asio::buffer(piece), broken);
            if (++sent < 16 && !broken) more();
        });
    };
    more();
    fixture.waitUntil([&] { return sent == 16 || broken; });
    CHECK(!broken);
    std::string answer;
    client.shutdown(tcp::socket::shutdown_send, broken);
    asio::async_read(client, asio::dynamic_buffer(answer),
                     [&](const auto& error, std::size_t) { broken = error; });
    fixture.waitUntil([&] { return bool(broken); });
    CHECK(broken == asio::error::eof);
    CHECK(answer.find("HTTP/1.1 413 ") == 0);
}

TEST_CASE("the Req-Id of an open request is rejected with 409, and accepted again after its response") {
    GatewayFixture fixture;
    const auto client = fixture.client(), copy = fixture.client();
    client->send(PlatformRequest{}.text());
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    copy->send(PlatformRequest{.kind = "alta"}.text());
    fixture.waitUntil([&] { return copy->hasReceived("HTTP/1.1 409 "); });
    node->send(ok("propia"));
    fixture.waitUntil([&] { return client->hasReceived("propia"); });
    CHECK(fixture.front.counters().repeated == 1);
    CHECK(fixture.engine.counters().received == 1);
    copy->clearReceived();
    node->clearReceived();
    copy->send(PlatformRequest{}.text());  // the Req-Id may be used again
    fixture.waitForNodeToReceive("Req-Id")->send(ok("otra"));
    fixture.waitUntil([&] { return copy->hasReceived("otra"); });
}

// The memory limit holds however much clients and nodes send at the same time.
TEST_CASE("beyond the memory budget a request is rejected, and a response fails its attempt") {
    auto config = testConfig();
    config.memoryMb = 16;
    GatewayFixture fixture(std::move(config));
    auto otherBodies = fixture.engine.bodyBudget().reserve(6 * 1024 * 1024 - 1000);
    REQUIRE(otherBodies);
    CHECK(!fixture.engine.bodyBudget().reserve(1001));
    const auto writer = fixture.client(), reader = fixture.client();
    writer->send(PlatformRequest{.kind = "alta", .body = std::string(2000, 'x')}.text());
    fixture.waitUntil([&] {
        return writer->hasReceived("HTTP/1.1 503 ") && writer->hasReceived("Retry-After: ") && writer->ended;
    });
    CHECK(fixture.node().connections.empty());
    CHECK(fixture.front.counters().noMemory == 1);
    reader->send(PlatformRequest{}.text());
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    node->clearReceived();
    node->send(ok(std::string(2000, 'y')));
    fixture.waitUntil([&] { return node->ended && fixture.outcomes(Outcome::Reset) == 1; });
    const auto second = fixture.waitForNodeToReceive("Req-Id");
    otherBodies = nullptr;
    second->send(ok(std::string(2000, 'z')));
    fixture.waitUntil([&] { return reader->hasReceived("zzz"); });
    fixture.waitUntil([&] { return fixture.engine.bodyBudget().reservedBytes() == 0; });
}

// Guards against clients that stop in the middle of a body and keep all others from sending one.
TEST_CASE("a request that makes no progress gives its memory up to another one") {
    for (const bool streamed : {false, true}) {
        CAPTURE(streamed);
        auto config = testConfig();
        config.memoryMb = 16;
        GatewayFixture fixture(std::move(config));
        auto& budget = streamed ? fixture.engine.headBudget() : fixture.engine.bodyBudget();
        const auto stalled = fixture.client();
        stalled->send(streamed ? streamedPut("Content-Length: 200000\r\n", id(1)) + "x"
                               : streamedPut("Content-Length: 60000\r\n", id(1)) + "x");
        fixture.waitUntil([&] { return budget.reservedBytes() > 0; });
        budget.setLimit(budget.reservedBytes() + (streamed ? 512 : 0));
        const auto other = fixture.client();
        const auto isRejected = [&] { return other->hasReceived("HTTP/1.1 503 "); };
        const std::string text = PlatformRequest{.id = id(2), .kind = "alta", .body = "short"}.text();
        const auto stalledUntil = std::chrono::steady_clock::now() + http::kPartialRequestIdle;
        fixture.waitUntil([&] { return std::chrono::steady_clock::now() > stalledUntil; });
        other->send(text);
        fixture.waitUntil([&] { return isRejected() || fixture.engine.counters().requestsSent > 0; });
        CHECK(!isRejected());
        fixture.waitUntil([&] { return stalled->ended; });
        CHECK(stalled->hasReceived("HTTP/1.1 503 "));
    }
}

TEST_CASE("Retry-After of the front's own rejections follows the settings") {
    for (const bool sendsRetryAfter : {true, false}) {
        auto config = testConfig();
        config.settings.sendsRetryAfter = sendsRetryAfter;
        config.settings.maxRetryAfterUs = 40'000;
        GatewayFixture fixture(std::move(config), 1, 1);
        const auto partial = fixture.client();
        partial->send("GET /api HTTP/1.1\r\nReq-Id: ");
        fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() == 1; });
        const auto next = fixture.client();
        fixture.waitUntil([&] { return partial->ended; });
        CHECK(partial->hasReceived("HTTP/1.1 503 "));
        CHECK(partial->hasReceived("Retry-After: 0.040\r\n") == sendsRetryAfter);
        CHECK(partial->hasReceived("Retry-After") == sendsRetryAfter);
    }
}

TEST_CASE("a method other than GET and PUT is rejected with 405 and the allowed ones") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    client->send("DELETE /api HTTP/1.1\r\n\r\n");
    fixture.waitUntil(
        [&] { return client->hasReceived("405") && client->hasReceived("Allow: GET, PUT\r\n"); });
}

TEST_CASE(
    "a short body that is announced with Expect gets 100 Continue at once, before a node connection is "
    "opened") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    auto text = PlatformRequest{.kind = "alta", .body = "datos"}.text();
    text.insert(text.find("Req-Id"), "Expect: 100-continue\r\n");
    client->send(text.substr(0, text.size() - 5));
    fixture.waitUntil([&] { return client->hasReceived("HTTP/1.1 100 Continue\r\n\r\n"); });
    CHECK(fixture.node().connections.empty());
    client->send("datos");
    const auto node = fixture.waitForNodeToReceive("datos");
    CHECK(!node->hasReceived("Expect"));
    node->send(ok("hecho"));
    fixture.waitUntil([&] { return client->hasReceived("hecho"); });
}
