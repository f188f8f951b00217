// The endpoint list: polls, watches and draining nodes.
#include "http/http_test_support.h"
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;
using std::chrono::milliseconds;

namespace {

// Writes a text in pieces of equal length, with a pause before each but the first.
class PiecewiseWriter {
public:
    PiecewiseWriter(asio::io_context& io, TestConnectionPtr to, std::string text, std::size_t pieces,
                    milliseconds pause)
        : timer_(io),
          to_(std::move(to)),
          text_(std::move(text)),
          length_(text_.size() / pieces + 1),
          pause_(pause) {
        writeNext();
    }

private:
    void writeNext() {
        to_->send(text_.substr(written_, length_));
        written_ += length_;
        if (written_ >= text_.size()) return;
        timer_.expires_after(pause_);
        timer_.async_wait([this](const boost::system::error_code& error) {
            if (!error && !to_->ended) writeNext();
        });
    }

    asio::steady_timer timer_;
    TestConnectionPtr to_;
    std::string text_;
    std::size_t length_;
    std::size_t written_ = 0;
    milliseconds pause_;
};

// The configuration of a front whose lists are polled or pushed, with a grace period of 1 s.
config::Config configFor(bool polls) {
    auto config = testConfig();
    config.settings.pollsEndpointList = polls;
    config.settings.drainGraceUs = 1'000'000;
    return config;
}

// Waits for a call to discovery on the connection that was opened last, and returns that connection.
TestConnectionPtr waitForCall(GatewayFixture& fixture, std::size_t connections = 1) {
    fixture.waitUntil([&] {
        return fixture.discoveryServer.connections.size() >= connections &&
               fixture.discoveryServer.connections.back()->hasReceived("\r\n\r\n");
    });
    const auto connection = fixture.discoveryServer.connections.back();
    connection->clearReceived();
    return connection;
}

// A response of discovery with one draining node, "s-0".
std::string drainingList(const GatewayFixture& fixture) {
    const auto address = fixture.nodes.front()->address();
    return ok(
        fmt::format(R"({{"generation":2,"reset":false,"instances":[{{"instanceId":"s-0","hostPort":"{}:{}",)"
                    R"("zone":"z","cell":0,"lifecycle":"draining","weight":1.0,"startedAtMs":0}}]}})",
                    address.host, address.port));
}

}  // namespace

// Guards against a front that cuts off every answer of a slow discovery, and so never gets a list again.
TEST_CASE("an endpoint list that arrives in pieces is taken, for the first call and for one that waits") {
    constexpr milliseconds kPause{400};
    for (const bool polls : {true, false}) {
        CAPTURE(polls);
        GatewayFixture fixture(configFor(polls), 1, 64, net::kMaxRingBytes, net::WatchTiming{});
        const auto connection = waitForCall(fixture);
        for (const std::uint64_t answers : {1, 2}) {
            const PiecewiseWriter writer(fixture.io, connection, drainingList(fixture), 4, kPause);
            fixture.waitUntil([&] { return fixture.discovery.counters().answers == answers; });
            waitForCall(fixture);
        }
        CHECK(fixture.discovery.counters().failed == 0);
        CHECK(fixture.discoveryServer.connections.size() == 1);
    }
}

// Guards against a request to a node whose drain an agent knew long before its slow answer was complete.
TEST_CASE("pushed lists: a drain that arrived slowly may be old, so the node gets no request") {
    GatewayFixture fixture(configFor(false));
    const PiecewiseWriter writer(fixture.io, waitForCall(fixture), drainingList(fixture), 2,
                                 milliseconds(200));
    fixture.waitUntil([&] { return fixture.discovery.counters().answers == 1; });
    CHECK(fixture.discovery.counters().slow == 1);
    const auto client = fixture.client();
    client->send(PlatformRequest{.deadlineMs = 3'000}.text());
    fixture.waitUntil([&] { return client->hasReceived("HTTP/1.1 "); });
    CHECK(client->hasReceived("HTTP/1.1 503 "));
    CHECK(fixture.node().connections.empty());
}

TEST_CASE("a response of discovery that stops half way is given up, and the list is requested again") {
    for (const bool polls : {true, false}) {
        CAPTURE(polls);
        GatewayFixture fixture(configFor(polls), 1, 64, net::kMaxRingBytes,
                               {.stallTimeout = milliseconds(60)});
        waitForCall(fixture)->send("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{");
        fixture.waitUntil([&] { return fixture.discovery.counters().failed == 1; });
        waitForCall(fixture, 2)->send(drainingList(fixture));
        fixture.waitUntil([&] { return fixture.discovery.counters().answers == 1; });
        CHECK(fixture.engine.listVersion() == 2);
    }
}

TEST_CASE("a response of discovery that never ends is given up, and the list is requested again") {
    for (const bool polls : {true, false}) {
        CAPTURE(polls);
        GatewayFixture fixture(configFor(polls), 1, 64, net::kMaxRingBytes,
                               {.wait = milliseconds(40),
                                .firstTimeout = milliseconds(40),
                                .responseTimeout = milliseconds(300)});
        const PiecewiseWriter writer(fixture.io, waitForCall(fixture), drainingList(fixture), 20,
                                     milliseconds(50));
        fixture.waitUntil([&] { return fixture.discovery.counters().failed == 1; });
        waitForCall(fixture, 2)->send(drainingList(fixture));
        fixture.waitUntil([&] { return fixture.discovery.counters().answers == 1; });
        CHECK(fixture.engine.listVersion() == 2);
    }
}

TEST_CASE("an endpoint list without a length ends with a FIN and not with a reset") {
    const std::string list =
        "HTTP/1.1 200 OK\r\n\r\n{\n  \"generation\": 9,\n  \"reset\": true,\n  \"instances\": [ ]\n}\n";
    GatewayFixture fixture;
    const auto nextPoll = [&](std::size_t i) {
        fixture.waitUntil([&] {
            return fixture.discoveryServer.connections.size() == i + 1 &&
                   fixture.discoveryServer.connections[i]->hasReceived("\r\n\r\n");
        });
        return fixture.discoveryServer.connections[i];
    };
    auto connection = nextPoll(0);
    asio::write(connection->socket, asio::buffer(list));
    connection->reset();
    fixture.waitUntil([&] { return fixture.discovery.counters().failed == 1; });
    CHECK(fixture.engine.listVersion() != 9);
    connection = nextPoll(1);
    connection->send(list);
    connection->socket.shutdown(tcp::socket::shutdown_send);
    fixture.waitUntil([&] { return fixture.discovery.counters().answers == 1; });
    CHECK(fixture.engine.listVersion() == 9);
}

// A front counts as informed of a list as soon as its agent has it: a front that misses the update would go
// on sending requests to a draining node.
TEST_CASE("pushed lists: an agent that does not respond is polled again well within the drain grace period") {
    auto config = testConfig();
    config.settings.pollsEndpointList = false;
    config.settings.drainGraceUs = 800'000;
    GatewayFixture fixture(std::move(config));
    const auto since = std::chrono::steady_clock::now();
    fixture.waitUntil([&] {  // the agent accepts the first call and does not respond
        return fixture.discoveryServer.connections.size() == 2 &&
               fixture.discoveryServer.connections[1]->hasReceived("\r\n\r\n");
    });
    CHECK(std::chrono::steady_clock::now() - since < milliseconds(500));
    // A first call does not wait: the agent either has a list or has none.
    for (const auto& connection : fixture.discoveryServer.connections)
        CHECK(connection->hasReceived("&wait_ms=0 "));
    fixture.announceNodeState("s-0", "draining");
    fixture.waitUntil(
        [&] { return fixture.discoveryServer.connections.back()->hasReceived("after=2&wait_ms=60000 "); });
}

// The only node of a cell is used for a part of the grace period after its drain was received. After a failed
// call the agent may have had that drain since then, so it counts as received too late for that.
TEST_CASE("pushed lists: after a failed call a received drain may be old, so the node gets no request") {
    for (const bool failed : {true, false}) {
        CAPTURE(failed);
        auto config = testConfig();
        config.settings.pollsEndpointList = false;
        config.settings.drainGraceUs = 10'000'000;  // far longer than the test runs
        GatewayFixture fixture(std::move(config));
        fixture.waitUntil([&] {
            return !fixture.discoveryServer.connections.empty() &&
                   fixture.discoveryServer.connections[0]->hasReceived("\r\n\r\n");
        });
        if (failed) {
            fixture.discoveryServer.connections[0]->reset();
            fixture.waitUntil([&] { return fixture.discoveryServer.connections.size() == 2; });
        }
        fixture.announceNodeState("s-0", "draining");
        const auto client = fixture.client();
        client->send(PlatformRequest{.deadlineMs = 30'000}.text());
        const auto reached = [&] {
            return std::any_of(fixture.node().connections.begin(), fixture.node().connections.end(),
                               [](const auto& connection) { return connection->hasReceived("Req-Id"); });
        };
        fixture.waitUntil([&] { return client->hasReceived("HTTP/1.1 ") || reached(); });
        CHECK(reached() == !failed);
        CHECK(client->hasReceived("HTTP/1.1 503 ") == failed);
    }
}

TEST_CASE("a new discovery address whose first call fails is polled for the complete list again") {
    for (const bool onRequest : {true, false}) {
        CAPTURE(onRequest);
        auto config = testConfig();
        config.settings.pollsEndpointList = onRequest;
        GatewayFixture fixture(std::move(config));
        fixture.waitUntil([&] {
            return !fixture.discoveryServer.connections.empty() &&
                   fixture.discoveryServer.connections[0]->hasReceived("after=");
        });
        StubServer next(fixture.io);
        fixture.discovery.setAddress(next.address());
        fixture.waitUntil(
            [&] { return next.connections.size() == 1 && next.connections[0]->hasReceived("\r\n\r\n"); });
        next.connections[0]->send(status(503));  // too many callers
        fixture.waitUntil(
            [&] { return next.connections.back()->hasReceived("GET /discovery/hosts HTTP/1.1\r\n"); });
        next.connections.back()->clearReceived();
        fixture.waitUntil([&] { return fixture.discovery.counters().failed == 1; });
        fixture.waitUntil(
            [&] { return next.connections.back()->hasReceived("GET /discovery/hosts HTTP/1.1\r\n"); },
            "the list is polled again");
        next.connections.back()->send(ok(R"({"generation":7,"reset":true,"instances":[]})"));
        fixture.waitUntil([&] { return fixture.engine.listVersion() == 7; });
        CHECK(fixture.discoveryServer.connections.size() == 1);
    }
}

TEST_CASE("the next watch follows each response, and invalid lists are counted and dropped") {
    GatewayFixture fixture;
    fixture.announceNodeState("s-0", "draining");
    fixture.waitUntil(
        [&] { return fixture.discoveryServer.connections.back()->hasReceived("after=2&wait_ms="); });
    const auto connection = fixture.discoveryServer.connections.back();
    connection->send(ok("{\"generation\":3,\"instances\":7}"));
    fixture.waitUntil([&] { return fixture.discovery.counters().malformed == 1; });
    CHECK(fixture.discovery.counters().failed == 1);  // the policy is told that the call failed
    fixture.waitUntil([&] { return fixture.discovery.counters().calls == 3; });  // and polls again
    CHECK(fixture.engine.listVersion() == 2);
}

// A first call may queue behind those of hundreds of fronts: if it were cancelled early, discovery would
// process it all the same, which delays the others. A continued watch does not queue, so it times out sooner.
TEST_CASE("an unanswered watch times out and is repeated, later for a first call than for a continued one") {
    using std::chrono::milliseconds;
    const net::WatchTiming watches{milliseconds(40), milliseconds(40), milliseconds(300)};
    const auto start = std::chrono::steady_clock::now();
    GatewayFixture fixture(testConfig(), 1, 64, net::kMaxRingBytes, watches);
    const auto& counters = fixture.discovery.counters();
    fixture.waitUntil([&] { return counters.failed == 2 && counters.calls == 3; });
    CHECK(std::chrono::steady_clock::now() - start >= milliseconds(2 * (40 + 300)));
    const auto& connections = fixture.discoveryServer.connections;
    fixture.waitUntil(
        [&] { return connections.size() == 3 && connections.back()->hasReceived("&wait_ms=40 "); });
    fixture.announceNodeState("s-0", "draining");
    CHECK(counters.calls == 4);  // the continued watch, which gets no response
    const auto continuedAt = std::chrono::steady_clock::now();
    fixture.waitUntil([&] { return counters.failed == 3; });
    CHECK(std::chrono::steady_clock::now() - continuedAt < milliseconds(40 + 300));
}

// After a reload (SIGHUP) the old address gets no more calls.
TEST_CASE("a new discovery address is polled for the complete list, while nodes and requests stay") {
    GatewayFixture fixture;
    fixture.waitUntil([&] {
        return !fixture.discoveryServer.connections.empty() &&
               fixture.discoveryServer.connections[0]->hasReceived("after=");
    });
    const auto client = fixture.client(), other = fixture.client();
    client->send(PlatformRequest{}.text());
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    StubServer next(fixture.io);
    fixture.discovery.setAddress(next.address());
    fixture.waitUntil(
        [&] { return fixture.discoveryServer.connections[0]->ended && next.connections.size() == 1; });
    fixture.waitUntil([&] { return next.connections[0]->hasReceived("GET /discovery/hosts HTTP/1.1\r\n"); });
    CHECK(fixture.discovery.counters().failed == 0);
    // The other request is dispatched by the list that the front already has.
    node->send(ok("de antes")), other->send(PlatformRequest{.id = "00000000000000b2"}.text());
    fixture.waitForNodeToReceive("00000000000000b2")->send(ok("con la lista vieja"));
    fixture.waitUntil(
        [&] { return client->hasReceived("de antes") && other->hasReceived("con la lista vieja"); });
    next.connections[0]->clearReceived();
    next.connections[0]->send(ok(R"({"generation":7,"reset":true,"instances":[]})"));
    fixture.waitUntil([&] { return next.connections[0]->hasReceived("after=7&wait_ms="); });
    CHECK(fixture.engine.listVersion() == 7);
    CHECK(fixture.discoveryServer.connections.size() == 1);
}

TEST_CASE("pushed lists: the front starts a watch by itself, and another one after a failure") {
    auto config = testConfig();
    config.settings.pollsEndpointList = false;
    GatewayFixture fixture(std::move(config));
    fixture.waitUntil([&] { return fixture.discoveryServer.connections.size() == 1; });
    fixture.discoveryServer.connections[0]->reset();
    fixture.waitUntil([&] {
        return fixture.discovery.counters().calls == 2 && fixture.discoveryServer.connections.size() == 2;
    });
    fixture.announceNodeState("s-0", "draining");
}

TEST_CASE("a draining node gets no new requests, and those in flight may complete") {
    auto config = testConfig();
    config.settings.drainGraceUs = 0;
    GatewayFixture fixture(std::move(config));
    const auto client = fixture.client(), other = fixture.client();
    client->send(PlatformRequest{}.text());
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    fixture.announceNodeState("s-0", "draining");
    other->send(PlatformRequest{.id = "00000000000000b2", .deadlineMs = 300}.text());
    node->send(ok("de antes"));
    fixture.waitUntil([&] { return client->hasReceived("de antes") && other->hasReceived("\r\n\r\n"); });
    CHECK(other->hasReceived("HTTP/1.1 503 "));
    CHECK(!node->hasReceived("00000000000000b2"));
    CHECK(fixture.node().connections.size() == 1);
}
