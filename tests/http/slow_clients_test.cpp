// Clients that send their requests slowly or not at all.
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;
using std::chrono::milliseconds;

TEST_CASE("silent connections and partial requests are closed within 3 s") {
    GatewayFixture fixture;
    const auto since = std::chrono::steady_clock::now();
    const auto silent = fixture.client(), partial = fixture.client(), body = fixture.client(),
               used = fixture.client();
    partial->send("GET /api HTTP/1.1\r\nReq-Id: ");
    body->send(PlatformRequest{.kind = "alta", .body = std::string(60'000, 'x')}.text().substr(
        0, 50'000));  // truncated
    used->send("GET /up HTTP/1.1\r\n\r\n");
    fixture.waitUntil([&] { return silent->ended; });
    CHECK(std::chrono::steady_clock::now() - since < std::chrono::seconds(3));
    CHECK(!partial->ended);  // the slowest clients take 2 s for a head
    fixture.waitUntil([&] { return partial->ended && body->ended; });
    CHECK(std::chrono::steady_clock::now() - since < std::chrono::seconds(3));
    CHECK(body->hasReceived("HTTP/1.1 408 "));
    CHECK(fixture.engine.counters().received == 0);
    CHECK(silent->received.empty());
    CHECK(partial->hasReceived("HTTP/1.1 408 "));
    CHECK(fixture.front.counters().silent == 1);
    CHECK(fixture.front.counters().slow == 2);
    CHECK(used->hasReceived(" 200 "));
    CHECK(!used->ended);  // kept between requests
}

TEST_CASE("the time for a request's head runs from its first byte") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    const auto since = std::chrono::steady_clock::now();
    const auto waitUntilElapsed = [&](milliseconds span) {  // since the client connected
        fixture.waitUntil([&] { return std::chrono::steady_clock::now() - since > span; });
    };
    waitUntilElapsed(milliseconds(1'500));
    client->send("GET /up HT");
    waitUntilElapsed(milliseconds(3'200));
    CHECK(!client->ended);
    client->send("TP/1.1\r\n\r\n");
    fixture.waitUntil([&] { return client->hasReceived("HTTP/1.1 200 "); });
    CHECK(fixture.front.counters().slow == 0);
}
