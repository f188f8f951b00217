// Which failures of an attempt are retried, over sockets.
#include "http/http_test_support.h"
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

TEST_CASE(
    "a request whose streamed body was partly sent is rejected and not retried when the node resets the "
    "connection") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    client->send(streamedPut(fmt::format("Content-Length: {}\r\n", kLongBody.size())) +
                 kLongBody.substr(0, 100'000));
    fixture.waitForNodeToReceive("xxxx")->reset();
    fixture.waitUntil([&] { return client->hasReceived("HTTP/1.1 503 "); });
    client->send(kLongBody.substr(100'000));  // it may go on sending after the response
    fixture.waitUntil([&] { return client->ended; });
    CHECK(fixture.engine.counters().attempts == 1);
    // This outcome allows a retry, but no other attempt can send the part of the body that was consumed.
    CHECK(fixture.outcomes(Outcome::ConnectFailed) == 1);
}

TEST_CASE("a declined 504 is neither retried nor counted against the node") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    for (int i = 1; i < 4; ++i) {
        client->clearReceived();
        client->send(PlatformRequest{.id = fmt::format("{:016x}", i)}.text());
        const auto node = fixture.waitForNodeToReceive("Req-Id");
        node->clearReceived();
        node->send(i == 2 ? ok("x") : status(504, "Srv-Declined: 1\r\n"));
        fixture.waitUntil([&] { return client->hasReceived(i == 2 ? " 200 " : " 503 "); });
        // Retry-After is only 1 ms: the client's next request names the right node, so it meets no backlog.
        CHECK(client->hasReceived("Retry-After: 0.001\r\n") == (i != 2));
    }
    CHECK(fixture.engine.counters().attempts == 3);
    CHECK(fixture.engine.avoidedNodes() == 0);
}

TEST_CASE("a response without a length that is reset is incomplete, and the read is retried") {
    for (const auto* head : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"}) {
        CAPTURE(head);
        auto config = testConfig();
        for (auto& c : config.settings.classes)
            c.latencyObjectiveUs = 20'000'000;  // so that the stall timeout is its maximum, 250 ms
        GatewayFixture fixture(std::move(config));
        const auto client = fixture.client();
        client->send(PlatformRequest{.deadlineMs = 30'000}.text());
        const auto node = fixture.waitForNodeToReceive("Req-Id");
        asio::write(node->socket, asio::buffer(std::string(head) + "a medias"));
        node->reset();
        fixture.waitUntil([&] { return fixture.outcomes(Outcome::Reset) == 1; }, "a reset");
        fixture.waitUntil([&] { return fixture.node().connections.size() == 2; }, "another attempt");
        fixture.node().connections[1]->send(ok("entera"));
        fixture.waitUntil([&] { return client->hasReceived("entera"); });
        CHECK(!client->hasReceived("a medias"));
    }
}

TEST_CASE("a declined 503 is retried, as the node did not run the request") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    client->send(PlatformRequest{.kind = "alta"}.text());
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    node->clearReceived();
    node->send(status(503, "Srv-Declined: 1\r\n"));
    fixture.waitForNodeToReceive("Req-Id")->send(ok("al fin"));
    fixture.waitUntil([&] { return client->hasReceived("al fin"); });
    CHECK(fixture.outcomes(Outcome::Rejected) == 1);
}

TEST_CASE(
    "a connection that breaks after the request was sent is a reset, and a read is retried on a new one") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    client->send(PlatformRequest{}.text());
    fixture.waitForNodeToReceive("Req-Id")->reset();
    fixture.waitUntil([&] { return fixture.node().connections.size() == 2; });
    fixture.node().connections[1]->send(ok("bien"));
    fixture.waitUntil([&] { return client->hasReceived("bien"); });
    CHECK(fixture.outcomes(Outcome::Reset) == 1);
    CHECK(fixture.outcomes(Outcome::ConnectFailed) == 0);
}

TEST_CASE("a request whose node refuses connections is rejected with Retry-After") {
    GatewayFixture fixture;
    fixture.node().acceptor.close();
    const auto client = fixture.client();
    client->send(PlatformRequest{.kind = "alta", .deadlineMs = 400}.text());
    fixture.waitUntil([&] { return client->hasReceived("\r\n\r\n"); });
    CHECK(client->hasReceived("HTTP/1.1 503 "));  // no node ran it, so it is rejected and does not fail
    CHECK(client->hasReceived("Retry-After: "));
    CHECK(fixture.outcomes(Outcome::ConnectFailed) >= 1);
    CHECK(fixture.outcomes(Outcome::Reset) == 0);
}
