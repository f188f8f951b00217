// Tests of the soak's own checks: each rule is broken on purpose and must be reported.
#include "soak/reference_queue.h"
#include "soak/soak_clients.h"
#include "support/process_support.h"

using namespace wingproxy;

namespace {

struct CheckedRequest {
    CheckedRequest() {
        node.id = std::string("n");
        node.startedAt = soak::Clock::now();
        node.startVersion = 1;
        observed.timeout = std::chrono::milliseconds(1'000);
        observed.sentAt = soak::Clock::now();
        observations.requestSent("r", observed);
    }
    Settings settings = config::parseConfig(test::testConfigText()).settings;
    soak::Observations observations{settings, 1};
    soak::ObservedRequest observed;
    soak::ObservedNode node;
    void arrive(int timeout = 1'000, const std::string& id = "r") {
        observations.attemptArrived(node, id, std::chrono::milliseconds(timeout));
    }
    /// The client disconnected so long ago.
    void disconnectClient(std::chrono::milliseconds ago) {
        observed.clientDisconnectedAt = soak::Clock::now() - ago;
        observations.requestSent("r", observed);
    }
    /// The node has just started, and the request has this number of units.
    void startNode(double units) {
        observations.listSent(0, 1);
        node.isStarting = true;
        observed.units = units;
        observations.requestSent("r", observed);
    }
    bool isViolated(const std::string& what) const {
        const auto& all = observations.violations();
        return all.size() == 1 && all[0].what.find(what) != std::string::npos;
    }
};

/// A client whose front is controlled by the test.
struct CheckedClient {
    CheckedClient() {
        while (front.connections.empty() || front.connections.back()->received.empty())
            poll();
    }
    void poll() {
        io.poll();
        client.poll(state, observations, result);
    }
    void endConnection() {
        front.connections.back()->close();
        while (observations.violations().empty() && result.resent == 0)
            poll();
    }
    bool isViolated(const std::string& what) const {
        const auto& all = observations.violations();
        return all.size() == 1 && all[0].what.find(what) != std::string::npos;
    }
    /// The request that the front received arrives at a node.
    void arriveAtNode() {
        const auto message = soak::HttpMessage::in(front.connections.back()->received);
        REQUIRE(message);
        soak::ObservedNode node;
        observations.attemptArrived(node, message->field("Req-Id"), std::chrono::milliseconds(1));
    }
    /// Answers the first request with a rejection, and waits for the next one on the same connection.
    void keepConnection() {
        const auto first = front.connections.back();
        first->clearReceived();
        first->send(test::status(503));
        while (first->received.empty())
            poll();
    }
    soak::asio::io_context io;
    test::StubServer front{io};
    soak::Observations observations{config::parseConfig(test::testConfigText()).settings, 1};
    soak::SoakResult result;
    soak::FrontState state;
    soak::SoakClient client{0,
                            1,
                            {std::chrono::duration<double>(0.001), std::chrono::milliseconds(900), false},
                            {[this] { return test::connectTo(io, front.acceptor.local_endpoint()); },
                             [](const soak::OfferedRequest&) {}}};
};

}  // namespace

TEST_CASE("soak: processes started meanwhile do not keep a closed client connection open") {
    test::Platform platform;
    test::StubServer server(platform.fixture.io);
    const auto client = test::connectTo(platform.fixture.io, server.acceptor.local_endpoint());
    platform.fixture.waitUntil([&] { return !server.connections.empty(); }, "the client is connected");
    platform.startReady();
    client->close();
    platform.fixture.waitUntil([&] { return server.connections.back()->ended; }, "the client is gone");
}

TEST_CASE("soak checker: a valid attempt is no violation") {
    CheckedRequest one;
    one.arrive();
    CHECK(one.observations.violations().empty());
}

TEST_CASE("soak checker: reports a request that no client sent") {
    CheckedRequest one;
    one.arrive(1'000, "other");
    CHECK(one.isViolated("no client sent"));
}

TEST_CASE("soak checker: reports an attempt that names a longer deadline than its client waits") {
    CheckedRequest one;
    one.arrive(1'300);
    CHECK(one.isViolated("names a deadline of 1300 ms"));
}

TEST_CASE("soak checker: reports an attempt that begins 0.3 s after its client disconnected") {
    CheckedRequest one;
    one.disconnectClient(std::chrono::milliseconds(300));
    one.arrive();
    CHECK(one.isViolated("after its client disconnected"));
}

TEST_CASE("soak checker: an attempt within 0.1 s after its client disconnected is no violation") {
    CheckedRequest one;
    one.disconnectClient(std::chrono::milliseconds(99));
    one.arrive();
    CHECK(one.observations.violations().empty());
}

TEST_CASE("soak checker: reports too many attempts") {
    CheckedRequest one;
    for (int i = 0; i <= one.settings.maxAttempts; ++i)
        one.arrive();
    CHECK(one.isViolated("more attempts than allowed"));
}

TEST_CASE("soak checker: reports a request at a draining node") {
    CheckedRequest one;
    one.settings.drainGraceUs = -1'000'000;
    soak::Observations strict(one.settings, 1);
    strict.requestSent("r", one.observed);
    strict.listSent(0, 5);
    one.node.drainVersion = 5;
    strict.attemptArrived(one.node, "r", std::chrono::milliseconds(1'000));
    REQUIRE(strict.violations().size() == 1);
    CHECK(strict.violations()[0].what.find("after its drain was announced") != std::string::npos);
}

TEST_CASE("soak checker: reports an overloaded node in slow start") {
    CheckedRequest one;
    one.startNode(200);
    one.arrive();
    one.observations.nodeEnded(one.node);
    CHECK(one.isViolated("mean-sized requests over its budget"));
}

TEST_CASE("soak checker: checks a node in slow start against its real capacity") {
    CheckedRequest one;
    one.startNode(200);
    one.node.capacityFactor = 4;
    one.arrive();
    one.observations.nodeEnded(one.node);
    CHECK(one.observations.violations().empty());
}

TEST_CASE("soak checker: a kept-alive connection may be closed before its request is read") {
    CheckedClient one;
    one.keepConnection();
    one.endConnection();
    CHECK(one.result.resent == 1);
}

TEST_CASE(
    "soak checker: reports a kept-alive connection that closes unanswered after a node got the request") {
    CheckedClient one;
    one.keepConnection();
    one.arriveAtNode();
    one.endConnection();
    CHECK(one.isViolated("which a node received"));
}

TEST_CASE("soak checker: reports a new connection that closes without an answer") {
    CheckedClient one;
    one.endConnection();
    CHECK(one.isViolated("closed a new connection"));
}

TEST_CASE("soak checker: a front without free descriptors may close a new connection unread") {
    CheckedClient one;
    one.state.descriptorsExhausted = true;
    one.endConnection();
    CHECK(one.result.resent == 1);
}

TEST_CASE("soak checker: reports a front without free descriptors that closes after a node got the request") {
    CheckedClient one;
    one.state.descriptorsExhausted = true;
    one.arriveAtNode();
    one.endConnection();
    CHECK(one.isViolated("which a node received"));
}

TEST_CASE("soak reference: a node answers one request after another") {
    const auto now = soak::Clock::now();
    soak::ReferenceQueue queue;
    queue.assign(0, *queue.answerTime(std::chrono::milliseconds(10), now));
    const auto second = queue.answerTime(std::chrono::milliseconds(10), now);
    REQUIRE(second);
    CHECK(*second == now + std::chrono::milliseconds(20));
    queue.assign(0, *second);
    CHECK(queue.answered(now + std::chrono::milliseconds(10)) == 1);
    CHECK(queue.answered(now + std::chrono::milliseconds(20)) == 2);
}

TEST_CASE("soak reference: a restart loses open requests, and the dispatcher notices the new process late") {
    const auto now = soak::Clock::now();
    soak::ReferenceQueue queue;
    queue.assign(0, *queue.answerTime(std::chrono::milliseconds(10), now));
    queue.restart(now + std::chrono::milliseconds(5));
    CHECK(queue.answered(now + std::chrono::milliseconds(20)) == 0);
    CHECK_FALSE(queue.answerTime(std::chrono::milliseconds(10), now + std::chrono::milliseconds(100)));
    CHECK(queue.answerTime(std::chrono::milliseconds(10), now + std::chrono::milliseconds(600)));
}
