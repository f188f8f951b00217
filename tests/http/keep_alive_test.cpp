// Forwarding of requests, and reuse of client and node connections.
#include "http/http_test_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

TEST_CASE("requests are forwarded unchanged, and both connections are reused") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    client->send(PlatformRequest{.kind = "alta", .body = "datos"}.text());
    const auto node = fixture.waitForNodeToReceive("datos");
    CHECK(node->hasReceived("PUT /api?x=1 HTTP/1.1\r\n"));
    CHECK(node->hasReceived("Req-Id: 9b1f03aa5c7e2d41\r\n"));
    CHECK(node->hasReceived("Idempotency-Key: k-1\r\n"));
    node->send(ok("hecho", "Volume-Load: 10\r\nSrv-Load: queue=2\r\n"));
    fixture.waitUntil([&] { return client->hasReceived("hecho"); });
    CHECK(client->hasReceived("HTTP/1.1 200 "));
    client->clearReceived();
    node->clearReceived();
    client->send(PlatformRequest{.id = "00000000000000b2"}.text());
    CHECK(fixture.waitForNodeToReceive("00000000000000b2") == node);  // no second connection on either side
    node->send(ok("otra"));
    fixture.waitUntil([&] { return client->hasReceived("otra"); });
    CHECK(fixture.front.sessionManager().accepted() == 1);
    CHECK(fixture.pool.opened() == 1);
}

TEST_CASE("the longest buffered body and a response in parts pass through buffers of every size") {
    for (const auto ring : {net::kMaxRingBytes, net::kMinRingBytes}) {
        GatewayFixture fixture(testConfig(), 1, 64, ring);
        const auto client = fixture.client();
        const std::string body(64 * 1024, 'x');
        client->send(PlatformRequest{.kind = "alta", .body = body}.text());
        const auto node = fixture.waitForNodeToReceive(body);
        const auto answer = ok(body);
        node->send(answer.substr(0, 30));
        node->send(answer.substr(30));
        fixture.waitUntil([&] { return client->hasReceived(body); });
        client->clearReceived();
        client->send("GET / HTTP/1.1\r\nX: " + std::string(ring, 'a'));  // a head that exceeds the buffer
        fixture.waitUntil([&] { return client->hasReceived("HTTP/1.1 431 ") && client->ended; });
    }
}

TEST_CASE("pipelined requests are not served, and the response closes the connection") {
    GatewayFixture fixture;
    const auto client = fixture.client(), sendsEmptyLine = fixture.client();
    client->send(PlatformRequest{.id = id(1)}.text() + PlatformRequest{.id = id(2)}.text());
    const auto node = fixture.waitForNodeToReceive(id(1));
    client->send(PlatformRequest{.id = id(3)}.text());
    node->send(ok("uno"));
    fixture.waitUntil([&] { return client->hasReceived("uno") && client->ended; });
    CHECK(fixture.engine.counters().received == 1);
    CHECK(fixture.front.counters().pipelined == 1);
    // Some old clients send an empty line after a body.
    sendsEmptyLine->send(PlatformRequest{.kind = "alta", .body = "x"}.text() + "\r\n");
    fixture.waitForNodeToReceive("Idempotency-Key")->send(ok("dos"));
    fixture.waitUntil([&] { return sendsEmptyLine->hasReceived("dos"); });
    CHECK(!sendsEmptyLine->hasReceived("Connection: close"));
    CHECK(fixture.front.counters().pipelined == 1);
}

TEST_CASE("the readiness path responds to a request that arrives in two parts") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    client->send("GET /up HT");
    client->send("TP/1.1\r\nHost: x\r\n\r\n");
    fixture.waitUntil([&] { return client->hasReceived("200"); });
}
