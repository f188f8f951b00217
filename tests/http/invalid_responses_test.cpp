// Node responses that are invalid, stalled, or preceded or followed by other bytes.
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

// Buffering one such response could exhaust the memory in less than a second.
TEST_CASE("a response that announces 3 GB is a reset as soon as its head is read") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    client->send(PlatformRequest{}.text());
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    node->send("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + std::string(2000, 'x'));
    fixture.waitUntil([&] { return node->ended && fixture.node().connections.size() == 2; });
    fixture.node().connections[1]->send(ok("bien"));
    fixture.waitUntil([&] { return client->hasReceived("bien"); });
    CHECK(fixture.outcomes(Outcome::Reset) == 1);
}

TEST_CASE("an invalid response is a reset, closes its connection, and the retry is served") {
    const char* cases[] = {
        "\x10\x91\x85 noise \r\n\r\n",
        "ICY 200 OK\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nno length, and the connection stays",
    };
    GatewayFixture fixture;
    std::uint64_t resets = 0;
    for (const auto* invalid : cases) {
        const auto client = fixture.client();
        client->send(PlatformRequest{}.text());
        const auto node = fixture.waitForNodeToReceive("Req-Id");
        node->clearReceived();
        node->send(invalid);
        ++resets;
        fixture.waitUntil([&] { return node->ended && fixture.outcomes(Outcome::Reset) == resets; }, invalid);
        const auto second = fixture.waitForNodeToReceive("Req-Id");
        second->clearReceived();
        second->send(ok("bien", "Connection: close\r\n"));
        fixture.waitUntil([&] { return client->hasReceived("bien"); }, invalid);
    }
}

TEST_CASE("a response that stalls is a reset long before the deadline") {
    for (const std::string begun :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", "HTTP/1.1 200 OK\r\nX: "}) {
        GatewayFixture fixture;
        const auto client = fixture.client();
        client->send(PlatformRequest{.deadlineMs = 60'000}.text());
        const auto node = fixture.waitForNodeToReceive("Req-Id");
        node->clearReceived();
        node->send(begun);
        fixture.waitUntil([&] { return node->ended; }, begun.c_str());
        CHECK(fixture.outcomes(Outcome::Reset) == 1);
    }
}

// A fixed stall timeout of 250 ms would leave no time for the retry.
TEST_CASE("with short latency objectives a stalled response is a reset sooner, and the retry is served") {
    auto config = testConfig();
    for (auto& c : config.settings.classes)
        c.latencyObjectiveUs = 100'000;
    GatewayFixture fixture(std::move(config));
    const auto client = fixture.client();
    client->send(PlatformRequest{}.text());
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    const auto since = std::chrono::steady_clock::now();
    node->clearReceived();
    node->send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort");
    const auto second = fixture.waitForNodeToReceive("Req-Id");
    CHECK(std::chrono::steady_clock::now() - since < net::HttpExchange::kStallTimeout);
    second->send(ok("bien"));
    fixture.waitUntil([&] { return client->hasReceived("bien"); });
}

// A front that does not get to read for a while must not treat its own pause as a stall of the node.
TEST_CASE("a response with unread bytes in the socket is not treated as stalled") {
    GatewayFixture fixture;
    std::shared_ptr<net::Connection> connection;
    const auto acquisition = fixture.pool.acquire(fixture.node().address(), [&](auto c) { connection = c; });
    fixture.waitUntil([&] { return connection && !fixture.node().connections.empty(); });
    std::optional<net::HttpExchange::Result> result;
    const auto exchange = std::make_shared<net::HttpExchange>(
        connection, "GET /api HTTP/1.1\r\n\r\n", 100, [&](auto how, const auto&) { result = how; },
        std::chrono::milliseconds(50));
    exchange->start();
    auto& node = fixture.node().connections[0]->socket;
    asio::write(node,
                asio::buffer("HTTP/1.1 200", 12));  // the first line stays in the ring until it is complete
    fixture.waitUntil([&] { return connection->in.size() == 12; });
    asio::write(node, asio::buffer(" O", 2));
    for (const auto since = std::chrono::steady_clock::now();
         std::chrono::steady_clock::now() - since < std::chrono::milliseconds(60);) {
    }  // blocks the event loop for longer than the stall timeout of 50 ms
    fixture.waitUntil([&] { return result || connection->in.size() == 14; });
    REQUIRE(!result);
    asio::write(node, asio::buffer("K\r\nContent-Length: 0\r\n\r\n", 24));
    fixture.waitUntil([&] { return result.has_value(); });
    CHECK(*result == net::HttpExchange::Result::Completed);
}

// Interim responses before a response and invalid load fields in its head are ignored; bytes that follow it
// belong to no request, so the connection is not reused.
TEST_CASE(
    "interim responses, invalid load fields and surplus bytes do not affect a response, and serve no other "
    "request") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    client->send(PlatformRequest{}.text());
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    node->send("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" +
               ok("uno", "Srv-Load: =,=\r\nVolume-Load: -\r\nOther-Hosts: nan\r\n") + ok("uno"));
    fixture.waitUntil([&] { return client->hasReceived("uno"); });
    CHECK(fixture.outcomes(Outcome::Ok) == 1);
    client->send(PlatformRequest{.id = "00000000000000b2"}.text());
    const auto second = fixture.waitForNodeToReceive("00000000000000b2");
    CHECK(second != node);
    second->send(ok("dos"));
    fixture.waitUntil([&] { return client->hasReceived("dos"); });
    // Bytes that arrive on an idle connection between its selection and its first use: another one is used.
    std::shared_ptr<net::Connection> got;
    const auto acquisition =
        fixture.pool.acquire(fixture.node().address(), [&](auto connection) { got = connection; });
    boost::asio::write(second->socket, boost::asio::buffer(ok("dos")));
    fixture.waitUntil([&] { return got != nullptr; });
    CHECK(fixture.pool.opened() == 3);
}
