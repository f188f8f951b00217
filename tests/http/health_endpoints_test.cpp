// The health checks that load balancers run against the front.
#include "health/check_listeners.h"
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

void stop(net::SessionManager& sessionManager) {
    sessionManager.closeListener();
    sessionManager.stop();
}

}  // namespace

TEST_CASE("agent check: the front sends its state and closes the connection") {
    GatewayFixture fixture;
    health::GatewayStatus report{true, false, 0.5};
    const auto agent = health::makeAgentCheckListener(fixture.io, {"127.0.0.1", 0}, [&] { return report; });
    const auto up = fixture.connect(agent->address());
    fixture.waitUntil([&] { return up->ended; });
    CHECK(up->received == "ready up 50%\n");
    report.draining = true;
    const auto draining = fixture.connect(agent->address());
    fixture.waitUntil([&] { return draining->ended; });
    CHECK(draining->received == "drain\n");
    stop(*agent);
}

TEST_CASE("HTTP check: the front responds with its readiness and closes the connection") {
    GatewayFixture fixture;
    health::GatewayStatus report{true, false, 0.5};
    const auto http = health::makeHttpCheckListener(fixture.io, {"127.0.0.1", 0}, [&] { return report; });
    const auto ready = fixture.connect(http->address());
    ready->send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.waitUntil([&] { return ready->ended; });
    CHECK(ready->hasReceived("HTTP/1.1 200 OK\r\n"));
    report.draining = true;
    const auto notReady = fixture.connect(http->address());
    notReady->send("GET /ready HTTP/1.1\r\n\r\n");
    fixture.waitUntil([&] { return notReady->ended; });
    CHECK(notReady->hasReceived("HTTP/1.1 503 "));
    stop(*http);
}
