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

TEST_CASE("agent check: the front sends its state and closes") {
    Rig rig;
    health::GatewayStatus report{true, false, 0.5};
    const auto agent = health::makeAgentCheckListener(rig.io, {"127.0.0.1", 0}, [&] { return report; });
    const auto up = rig.connect(agent->address());
    rig.until([&] { return up->ended; });
    CHECK(up->got == "ready up 50%\n");
    report.draining = true;
    const auto draining = rig.connect(agent->address());
    rig.until([&] { return draining->ended; });
    CHECK(draining->got == "drain\n");
    stop(*agent);
}

TEST_CASE("HTTP check: the front answers with its readiness and closes") {
    Rig rig;
    health::GatewayStatus report{true, false, 0.5};
    const auto http = health::makeHttpCheckListener(rig.io, {"127.0.0.1", 0}, [&] { return report; });
    const auto ready = rig.connect(http->address());
    ready->say("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    rig.until([&] { return ready->ended; });
    CHECK(ready->has("HTTP/1.1 200 OK\r\n"));
    report.draining = true;
    const auto notReady = rig.connect(http->address());
    notReady->say("GET /ready HTTP/1.1\r\n\r\n");
    rig.until([&] { return notReady->ended; });
    CHECK(notReady->has("HTTP/1.1 503 "));
    stop(*http);
}
