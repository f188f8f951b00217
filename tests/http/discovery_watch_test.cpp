// Endpoint list: polling, watches and a draining node.
#include "http/http_test_support.h"
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;
using std::chrono::milliseconds;

TEST_CASE("an endpoint list without a length ends with a FIN and not with a reset") {
    const std::string list =
        "HTTP/1.1 200 OK\r\n\r\n{\n  \"generation\": 9,\n  \"reset\": true,\n  \"instances\": [ ]\n}\n";
    Rig rig;
    const auto nextPoll = [&](std::size_t i) {
        rig.until([&] {
            return rig.discoveryServer.wires.size() == i + 1 && rig.discoveryServer.wires[i]->has("\r\n\r\n");
        });
        return rig.discoveryServer.wires[i];
    };
    auto wire = nextPoll(0);
    asio::write(wire->socket, asio::buffer(list));
    wire->reset();
    rig.until([&] { return rig.discovery.counters().failed == 1; });
    CHECK(rig.engine.listVersion() != 9);
    wire = nextPoll(1);
    wire->say(list);
    wire->socket.shutdown(tcp::socket::shutdown_send);
    rig.until([&] { return rig.discovery.counters().answers == 1; });
    CHECK(rig.engine.listVersion() == 9);
}

// What the agent has counts as published: a front that does not learn of it sends to a draining node.
TEST_CASE("pushed lists: an agent that does not answer is polled again well within the drain grace period") {
    auto config = testConfig();
    config.settings.pollsEndpointList = false;
    config.settings.drainGraceUs = 800'000;
    Rig rig(std::move(config));
    const auto since = std::chrono::steady_clock::now();
    rig.until([&] {  // takes the first call and says nothing
        return rig.discoveryServer.wires.size() == 2 && rig.discoveryServer.wires[1]->has("\r\n\r\n");
    });
    CHECK(std::chrono::steady_clock::now() - since < milliseconds(500));
    for (const auto& wire : rig.discoveryServer.wires)
        CHECK(wire->has("&wait_ms=0 "));  // it has it or not
    rig.tellState("s-0", "draining");
    rig.until([&] { return rig.discoveryServer.wires.back()->has("after=2&wait_ms=60000 "); });
}

// The only node of a cell is used for a part of the grace period after its drain was read. Where the call
// before failed, the agent may have had that drain for as long: it then counts as read too late for that.
TEST_CASE(
    "pushed lists: after a failed call a drain may be older than its answer, and the node gets no request") {
    for (const bool failed : {true, false}) {
        CAPTURE(failed);
        auto config = testConfig();
        config.settings.pollsEndpointList = false;
        config.settings.drainGraceUs = 10'000'000;  // nothing of it passes while the test runs
        Rig rig(std::move(config));
        rig.until([&] {
            return !rig.discoveryServer.wires.empty() && rig.discoveryServer.wires[0]->has("\r\n\r\n");
        });
        if (failed) {
            rig.discoveryServer.wires[0]->reset();
            rig.until([&] { return rig.discoveryServer.wires.size() == 2; });
        }
        rig.tellState("s-0", "draining");
        const auto client = rig.client();
        client->say(Ask{.deadlineMs = 30'000}.text());
        const auto reached = [&] {
            return std::any_of(rig.node().wires.begin(), rig.node().wires.end(),
                               [](const auto& wire) { return wire->has("Req-Id"); });
        };
        rig.until([&] { return client->has("HTTP/1.1 ") || reached(); });
        CHECK(reached() == !failed);
        CHECK(client->has("HTTP/1.1 503 ") == failed);
    }
}

TEST_CASE("a new discovery address whose first call fails is polled for the complete list again") {
    for (const bool onRequest : {true, false}) {
        CAPTURE(onRequest);
        auto config = testConfig();
        config.settings.pollsEndpointList = onRequest;
        Rig rig(std::move(config));
        rig.until([&] {
            return !rig.discoveryServer.wires.empty() && rig.discoveryServer.wires[0]->has("after=");
        });
        StandIn next(rig.io);
        rig.discovery.setAddress(next.address());
        rig.until([&] { return next.wires.size() == 1 && next.wires[0]->has("\r\n\r\n"); });
        next.wires[0]->say(status(503));  // too many callers
        rig.until([&] { return next.wires.back()->has("GET /discovery/hosts HTTP/1.1\r\n"); });
        next.wires.back()->drop();
        rig.until([&] { return rig.discovery.counters().failed == 1; });
        rig.until([&] { return next.wires.back()->has("GET /discovery/hosts HTTP/1.1\r\n"); },
                  "the list is polled again");
        next.wires.back()->say(ok(R"({"generation":7,"reset":true,"instances":[]})"));
        rig.until([&] { return rig.engine.listVersion() == 7; });
        CHECK(rig.discoveryServer.wires.size() == 1);
    }
}

TEST_CASE("the next watch follows each answer, and invalid lists are counted and dropped") {
    Rig rig;
    rig.tellState("s-0", "draining");
    rig.until([&] { return rig.discoveryServer.wires.back()->has("after=2&wait_ms="); });
    const auto wire = rig.discoveryServer.wires.back();
    wire->say(ok("{\"generation\":3,\"instances\":7}"));
    rig.until([&] { return rig.discovery.counters().malformed == 1; });
    CHECK(rig.discovery.counters().failed == 1);  // which the module hears as a call that was lost
    rig.until([&] { return rig.discovery.counters().calls == 3; });  // and it polls again
    CHECK(rig.engine.listVersion() == 2);
}

// A first call may queue behind those of hundreds of fronts: if it were cancelled early, it would be worked
// off there all the same and delay the others. A continued watch queues behind nobody, so that it times out
// sooner.
TEST_CASE("an unanswered watch times out and is repeated, later for a first call than for a continued one") {
    using std::chrono::milliseconds;
    const net::WatchTiming watches{milliseconds(40), milliseconds(40), milliseconds(300)};
    const auto start = std::chrono::steady_clock::now();
    Rig rig(testConfig(), 1, 64, net::kMaxRingBytes, watches);
    const auto& counters = rig.discovery.counters();
    rig.until([&] { return counters.failed == 2 && counters.calls == 3; });
    CHECK(std::chrono::steady_clock::now() - start >= milliseconds(2 * (40 + 300)));
    const auto& wires = rig.discoveryServer.wires;
    rig.until([&] { return wires.size() == 3 && wires.back()->has("&wait_ms=40 "); });
    rig.tellState("s-0", "draining");
    CHECK(counters.calls == 4);  // it goes on, and is not answered
    const auto goesOn = std::chrono::steady_clock::now();
    rig.until([&] { return counters.failed == 3; });
    CHECK(std::chrono::steady_clock::now() - goesOn < milliseconds(40 + 300));
}

// After SIGHUP the old address gets no more calls.
TEST_CASE("a new discovery address is polled for the complete list, while nodes and requests stay") {
    Rig rig;
    rig.until(
        [&] { return !rig.discoveryServer.wires.empty() && rig.discoveryServer.wires[0]->has("after="); });
    const auto client = rig.client(), other = rig.client();
    client->say(Ask{}.text());
    const auto node = rig.nodeHas("Req-Id");
    StandIn next(rig.io);
    rig.discovery.setAddress(next.address());
    rig.until([&] { return rig.discoveryServer.wires[0]->ended && next.wires.size() == 1; });
    rig.until([&] { return next.wires[0]->has("GET /discovery/hosts HTTP/1.1\r\n"); });
    CHECK(rig.discovery.counters().failed == 0);
    node->say(ok("de antes")), other->say(Ask{.id = "00000000000000b2"}.text());  // by the list it has
    rig.nodeHas("00000000000000b2")->say(ok("con la lista vieja"));
    rig.until([&] { return client->has("de antes") && other->has("con la lista vieja"); });
    next.wires[0]->drop();
    next.wires[0]->say(ok(R"({"generation":7,"reset":true,"instances":[]})"));
    rig.until([&] { return next.wires[0]->has("after=7&wait_ms="); });
    CHECK(rig.engine.listVersion() == 7);
    CHECK(rig.discoveryServer.wires.size() == 1);
}

TEST_CASE("pushed lists: the front watches on its own, and again after a failure") {
    auto config = testConfig();
    config.settings.pollsEndpointList = false;
    Rig rig(std::move(config));
    rig.until([&] { return rig.discoveryServer.wires.size() == 1; });
    rig.discoveryServer.wires[0]->reset();
    rig.until([&] { return rig.discovery.counters().calls == 2 && rig.discoveryServer.wires.size() == 2; });
    rig.tellState("s-0", "draining");
}

TEST_CASE("a draining node gets no new requests, and those in flight may end") {
    auto config = testConfig();
    config.settings.drainGraceUs = 0;
    Rig rig(std::move(config));
    const auto client = rig.client(), other = rig.client();
    client->say(Ask{}.text());
    const auto node = rig.nodeHas("Req-Id");
    rig.tellState("s-0", "draining");
    other->say(Ask{.id = "00000000000000b2", .deadlineMs = 300}.text());
    node->say(ok("de antes"));
    rig.until([&] { return client->has("de antes") && other->has("\r\n\r\n"); });
    CHECK(other->has("HTTP/1.1 503 "));
    CHECK(!node->has("00000000000000b2"));
    CHECK(rig.node().wires.size() == 1);
}
