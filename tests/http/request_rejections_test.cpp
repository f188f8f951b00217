// Requests that the front rejects itself.
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
        // With the first bytes of the body right behind the head: the length alone is enough.
        {"PUT /api HTTP/1.1\r\nContent-Length: 80000000\r\n\r\n" + std::string(1000, 'a'), "413", "", true},
        // Two lengths, either way round, may hide a second request.
        {"PUT /api HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
             Ask{}.text(),
         "400", "", true},
        {"PUT /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" +
             Ask{}.text(),
         "400", "", true},
        {"PUT /api HTTP/1.1\r\nTransfer-Encoding: x\r\nContent-Length: 0\r\n\r\n" + Ask{}.text(), "400", "",
         true},
        {"PUT /api HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + Ask{}.text(), "400", "", true},
        {"PUT /api HTTP/1.1\r\nContent-Length: -4\r\n\r\n", "400", "", true},
        {"PUT /api HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "501", "Transfer-Encoding", true},
    };
    Rig rig;
    for (const auto& c : cases) {
        const auto client = rig.client();
        client->say(c.text);
        rig.until([&] { return client->has("\r\n\r\n") && client->has(c.names); }, c.status);
        CHECK_MESSAGE(client->has(std::string("HTTP/1.1 ") + c.status), client->got);
        if (c.closes)
            rig.until([&] { return client->ended; });
        else
            CHECK(!client->ended);
    }
    CHECK(rig.node().wires.empty());
    CHECK(rig.engine.counters().received == 0);
}

// A close with unread bytes resets the connection, and what the client has not read yet is lost.
TEST_CASE("a client that goes on sending a body that is too long receives its 413") {
    Rig rig;
    tcp::socket client(rig.io);
    client.connect(net::tcpEndpoint(rig.front.sessionManager().address()));
    const std::string head = "PUT /api HTTP/1.1\r\nContent-Length: 80000000\r\n\r\n", piece(64 * 1024, 'x');
    asio::write(client, asio::buffer(head));
    asio::steady_timer pace(rig.io);
    int sent = 0;
    boost::system::error_code broken;
    const std::function<void()> more = [&] {  // for longer than a quiet connection would linger
        pace.expires_after(std::chrono::milliseconds(50));
        pace.async_wait([&](auto) {
            asio::write(client, asio::buffer(piece), broken);
            if (++sent < 16 && !broken) more();
        });
    };
    more();
    rig.until([&] { return sent == 16 || broken; });
    CHECK(!broken);
    std::string answer;
    client.shutdown(tcp::socket::shutdown_send, broken);
    asio::async_read(client, asio::dynamic_buffer(answer),
                     [&](const auto& error, std::size_t) { broken = error; });
    rig.until([&] { return bool(broken); });
    CHECK(broken == asio::error::eof);
    CHECK(answer.find("HTTP/1.1 413 ") == 0);
}

TEST_CASE("a Req-Id of an open request is rejected with 409, and free again after its response") {
    Rig rig;
    const auto client = rig.client(), copy = rig.client();
    client->say(Ask{}.text());
    const auto node = rig.nodeHas("Req-Id");
    copy->say(Ask{.kind = "alta"}.text());
    rig.until([&] { return copy->has("HTTP/1.1 409 "); });
    node->say(ok("propia"));
    rig.until([&] { return client->has("propia"); });
    CHECK(rig.front.counters().repeated == 1);
    CHECK(rig.engine.counters().received == 1);
    copy->drop();
    node->drop();
    copy->say(Ask{}.text());  // it is free again
    rig.nodeHas("Req-Id")->say(ok("otra"));
    rig.until([&] { return copy->has("otra"); });
}

// The memory limit holds whatever clients and nodes send at one time.
TEST_CASE("beyond the memory budget a request is rejected, and a response is a reset") {
    auto config = testConfig();
    config.memoryMb = 16;
    Rig rig(std::move(config));
    auto otherBodies = rig.engine.bodyBudget().reserve(6 * 1024 * 1024 - 1000);
    REQUIRE(otherBodies);
    CHECK(!rig.engine.bodyBudget().reserve(1001));
    const auto writer = rig.client(), reader = rig.client();
    writer->say(Ask{.kind = "alta", .body = std::string(2000, 'x')}.text());
    rig.until([&] { return writer->has("HTTP/1.1 503 ") && writer->has("Retry-After: ") && writer->ended; });
    CHECK(rig.node().wires.empty());
    CHECK(rig.front.counters().noMemory == 1);
    reader->say(Ask{}.text());
    const auto node = rig.nodeHas("Req-Id");
    node->drop();
    node->say(ok(std::string(2000, 'y')));
    rig.until([&] { return node->ended && rig.outcomes(Outcome::Reset) == 1; });
    const auto second = rig.nodeHas("Req-Id");
    otherBodies = nullptr;
    second->say(ok(std::string(2000, 'z')));
    rig.until([&] { return reader->has("zzz"); });
    rig.until([&] { return rig.engine.bodyBudget().reservedBytes() == 0; });
}

TEST_CASE("Retry-After of the front's own rejections follows the settings") {
    for (const bool advice : {true, false}) {
        auto config = testConfig();
        config.settings.sendsRetryAfter = advice;
        config.settings.maxRetryAfterUs = 40'000;
        Rig rig(std::move(config), 1, 1);
        const auto partial = rig.client();
        partial->say("GET /api HTTP/1.1\r\nReq-Id: ");
        rig.until([&] { return rig.front.sessionManager().activeConnections() == 1; });
        const auto next = rig.client();
        rig.until([&] { return partial->ended; });
        CHECK(partial->has("HTTP/1.1 503 "));
        CHECK(partial->has("Retry-After: 0.040\r\n") == advice);
        CHECK(partial->has("Retry-After") == advice);
    }
}

TEST_CASE("a method other than GET and PUT is rejected with 405 and the allowed ones") {
    Rig rig;
    const auto client = rig.client();
    client->say("DELETE /api HTTP/1.1\r\n\r\n");
    rig.until([&] { return client->has("405") && client->has("Allow: GET, PUT\r\n"); });
}

TEST_CASE(
    "a short body that is announced with Expect gets 100 Continue at once, before any node is involved") {
    Rig rig;
    const auto client = rig.client();
    auto text = Ask{.kind = "alta", .body = "datos"}.text();
    text.insert(text.find("Req-Id"), "Expect: 100-continue\r\n");
    client->say(text.substr(0, text.size() - 5));
    rig.until([&] { return client->has("HTTP/1.1 100 Continue\r\n\r\n"); });
    CHECK(rig.node().wires.empty());
    client->say("datos");
    const auto node = rig.nodeHas("datos");
    CHECK(!node->has("Expect"));
    node->say(ok("hecho"));
    rig.until([&] { return client->has("hecho"); });
}
