// Requests whose last bytes wait in the system's send buffer, as the node does not read: an attempt that is
// given up must not be delivered afterwards.
#include "http/http_test_support.h"
#include "support/net_support.h"
#include "support/stalled_node.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

// How long after a deadline the front may act: some turns of a busy machine's event loop.
constexpr std::chrono::milliseconds kOneTurn{500};

config::Config configWithWindow(Micros keyWindowUs) {
    auto config = testConfig();
    config.settings.classes[1].keyWindowUs = keyWindowUs;
    return config;
}

PlatformRequest write(std::size_t bodyBytes, int deadlineMs) {
    return {.kind = "alta", .body = std::string(bodyBytes, 'b'), .deadlineMs = deadlineMs};
}

// The front has given up the attempt on `socket`. The node, which reads on now, must not get a whole request.
void checkNotDelivered(GatewayFixture& fixture, tcp::socket socket, const PlatformRequest& request) {
    const auto node = startConnection(std::move(socket));
    fixture.waitUntil([&] { return node->ended; }, "the end of the attempt's connection");
    CHECK(node->endedWith == asio::error::connection_reset);
    const auto bodyStart = node->received.find("\r\n\r\n");
    REQUIRE(bodyStart != std::string::npos);
    CHECK(node->received.size() - bodyStart - 4 < request.body.size());
}

}  // namespace

// Guards against a write that runs twice: the node took the last byte of the retry after it had forgotten the
// key.
TEST_CASE("the last byte of a retry does not reach its node after the idempotency window") {
    const struct {
        std::size_t bodyBytes;
        Micros windowUs;
    } cases[] = {{12'000, 200'000}, {30'000, 400'000}, {64'000, 200'000}};
    for (const auto& c : cases) {
        CAPTURE(c.bodyBytes);
        GatewayFixture fixture(configWithWindow(c.windowUs));
        StalledNode node(fixture);
        const auto request = write(c.bodyBytes, 2000);
        const auto client = fixture.client();
        client->send(request.text());
        const auto first = startConnection(node.nextConnection());
        fixture.waitUntil([&] { return first->received.ends_with(request.body); }, "the first attempt");
        first->reset();
        auto retry = node.nextConnection();
        const auto since = std::chrono::steady_clock::now();
        fixture.waitUntil([&] { return client->hasReceived("\r\n\r\n"); }, "the client's answer");
        CHECK(client->hasReceived(" 500 "));
        CHECK(std::chrono::steady_clock::now() - since < std::chrono::microseconds(c.windowUs) + kOneTurn);
        checkNotDelivered(fixture, std::move(retry), request);
        CHECK(fixture.engine.counters().stoppedUndelivered == 1);
        CHECK(fixture.outcomes(Outcome::Reset) == 2);  // neither is taken for one that never ran
    }
}

// Guards against work that begins at a node long after the client left.
TEST_CASE("an undelivered request is reset when its client disconnects") {
    for (const bool reset : {false, true}) {
        for (const std::size_t bodyBytes : {12'000, 64'000}) {
            CAPTURE(bodyBytes);
            GatewayFixture fixture;
            StalledNode node(fixture);
            const auto request = write(bodyBytes, 3000);
            const auto client = fixture.client();
            client->send(request.text());
            auto attempt = node.nextConnection();
            fixture.waitUntil([&] { return fixture.engine.counters().requestsSent == 1; });
            if (reset)
                client->reset();
            else
                client->close();
            fixture.waitUntil([&] { return fixture.engine.counters().disconnected == 1; });
            checkNotDelivered(fixture, std::move(attempt), request);
            CHECK(fixture.outcomes(Outcome::Cancelled) == 1);
        }
    }
}

// Guards against work that begins at a node after the request's deadline.
TEST_CASE("an undelivered request is reset at its deadline") {
    GatewayFixture fixture;
    StalledNode node(fixture);
    const auto request = write(30'000, 200);
    const auto client = fixture.client();
    client->send(request.text());
    auto attempt = node.nextConnection();
    fixture.waitUntil([&] { return client->hasReceived(" 500 "); });
    checkNotDelivered(fixture, std::move(attempt), request);
}

// The front does not know whether the work has begun, and its outcome is of use.
TEST_CASE("a delivered request goes on after its client disconnected") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    client->send(write(30'000, 3000).text());
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    fixture.waitUntil([&] { return node->received.ends_with(std::string(30'000, 'b')); });
    client->close();
    fixture.waitUntil([&] { return fixture.engine.counters().disconnected == 1; });
    CHECK(fixture.engine.counters().stoppedUndelivered == 0);
    node->send(ok("tarde"));
    fixture.waitUntil([&] { return fixture.outcomes(Outcome::Ok) == 1; });
}
