// The budget of client connections: eviction, and shorter keep-alive as it fills up.
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

// Otherwise clients that keep a connection open after one request would exhaust the budget.
TEST_CASE("above 25% of the connection budget idle keep-alive connections are closed after 2 s") {
    GatewayFixture fixture(testConfig(), 1, 12);
    std::vector<TestConnectionPtr> stayed;
    for (int i = 0; i < 4; ++i) {
        stayed.push_back(fixture.client());
        stayed.back()->send("GET /up HTTP/1.1\r\n\r\n");
        fixture.waitUntil([&] { return stayed.back()->hasReceived(" 200 "); });
    }
    const auto silent =
        fixture.client();  // closed after 2 s in any case; the close of one more brings the count back to 25%
    const auto count = [&] {
        return std::count_if(stayed.begin(), stayed.end(), [](auto& w) { return w->ended; });
    };
    fixture.waitUntil([&] { return silent->ended && count() >= 1; });
    CHECK(count() < 4);
    CHECK(fixture.front.sessionManager().activeConnections() <= 3);
}

TEST_CASE("above 50% of the connection budget responses close their connections, except during a shutdown") {
    GatewayFixture fixture(testConfig(), 1, 4);
    const auto first = fixture.client(), second = fixture.client(), third = fixture.client();
    fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() == 3; });
    first->send("GET /up HTTP/1.1\r\n\r\n");
    fixture.waitUntil([&] { return first->hasReceived(" 200 ") && first->ended; });
    CHECK(first->hasReceived("Connection: close\r\n"));
    fixture.front.setResponseDeadline(fixture.engine.now() + 1'000'000);
    const auto fourth = fixture.client();
    fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() >= 3; });
    second->send("GET /up HTTP/1.1\r\n\r\n");
    fixture.waitUntil([&] { return second->hasReceived(" 200 "); });
    CHECK(!second->hasReceived("Connection: close\r\n"));
}

// A client whose connections are all busy, and that cannot open a new one, treats the front as dead.
TEST_CASE("when no new connections can be opened, a queued request is shed to free one, but none in flight") {
    auto config = testConfig();
    for (auto& c : config.settings.classes)
        c.latencyObjectiveUs = 20'000'000;
    GatewayFixture fixture(std::move(config));
    std::vector<TestConnectionPtr> clients;
    for (int i = 0; i < 6; ++i)
        clients.push_back(fixture.client());
    fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() == 6; });
    fixture.front.expectNoNewConnections();
    for (int i = 0; i < 4; ++i) {  // the last is over the node's concurrency limit
        clients[i]->send(PlatformRequest{.id = fmt::format("{:016x}", i), .deadlineMs = 30'000}.text());
        fixture.waitUntil([&] { return fixture.front.counters().requests == std::uint64_t(i + 1); });
    }
    fixture.waitUntil(
        [&] { return clients[3]->hasReceived("HTTP/1.1 503 ") && clients[3]->hasReceived("Retry-After: "); });
    CHECK(!clients[3]->hasReceived("Connection: close"));
    CHECK(fixture.front.counters().crowded >= 1);
    CHECK(fixture.engine.openRequests() == 3);
    fixture.waitForNodeToReceive(fmt::format("{:016x}", 0))->send(ok("hecho"));
    fixture.waitUntil([&] { return clients[0]->hasReceived("hecho"); });
}

TEST_CASE("partial requests are evicted for new clients") {
    GatewayFixture fixture(testConfig(), 1, 2);
    const auto since = std::chrono::steady_clock::now();
    const auto first = fixture.client(), second = fixture.client();
    first->send("GET ");
    second->send("GET ");
    fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() == 2; });
    const auto third = fixture.client();
    third->send("GET /up HTTP/1.1\r\n\r\n");
    fixture.waitUntil([&] { return third->hasReceived(" 200 "); });
    CHECK(std::chrono::steady_clock::now() - since < std::chrono::seconds(1));
}

TEST_CASE("at the connection limit the longest idle connection is evicted for a new client") {
    GatewayFixture fixture(testConfig(), 1, 2);
    const auto first = fixture.client(), second = fixture.client();
    fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() == 2; });
    const auto third = fixture.client();
    third->send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.waitUntil([&] { return third->hasReceived("200") && first->ended; });
    CHECK(!second->ended);
}

TEST_CASE("a partial request that is evicted is rejected with a response") {
    GatewayFixture fixture(testConfig(), 1, 1);
    const auto partial = fixture.client();
    partial->send("GET /api HTTP/1.1\r\nReq-Id: ");
    fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() == 1; });
    const auto next = fixture.client();
    next->send("GET /up HTTP/1.1\r\n\r\n");
    fixture.waitUntil([&] { return next->hasReceived(" 200 ") && partial->ended; });
    CHECK(partial->hasReceived("HTTP/1.1 503 "));
}
