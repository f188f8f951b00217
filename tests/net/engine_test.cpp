// Tests of the engine without sockets: the tests finish the attempts of its requests.
#include "net/engine.h"

#include <doctest/doctest.h>

#include "support/test_config.h"

using namespace wingproxy;

namespace {

constexpr Micros kSecond = 1'000'000;

struct FakeAttempt : net::Attempt {
    void cancel() override { cancelled = true; }
    bool hasUndeliveredBytes() const override { return undelivered; }
    bool cancelled = false;
    bool undelivered = false;
};

// Records the engine's calls.
struct FakeRequestHandler : net::RequestHandler {
    std::shared_ptr<net::Attempt> startAttempt(const net::AttemptParams& params) override {
        started.push_back(params);
        attempts.push_back(std::make_shared<FakeAttempt>());
        if (onStart) onStart(params);
        return attempts.back();
    }
    void deliverResponse(AttemptIndex attempt) override { delivered.push_back(attempt); }
    void sendRejection(Micros) override { ++rejections; }
    void sendFailure() override { ++failures; }
    std::size_t answers() const { return delivered.size() + rejections + failures; }

    std::function<void(const net::AttemptParams&)> onStart;
    std::vector<net::AttemptParams> started;
    std::vector<std::shared_ptr<FakeAttempt>> attempts;
    std::vector<AttemptIndex> delivered;
    std::size_t rejections = 0;
    std::size_t failures = 0;
};

config::Config configWithOneNode() {
    auto config = test::testConfig();
    config.cachedEndpoints.list.nodes.push_back({"node-0", "z", CellIndex(0), 1, NodeState::Ready, 0});
    config.cachedEndpoints.addresses.push_back({"127.0.0.1", 4711});
    return config;
}

struct RunningEngine {
    RunningEngine() { engine.start(); }
    ~RunningEngine() { engine.stop(); }
    RunningEngine(const RunningEngine&) = delete;
    RunningEngine& operator=(const RunningEngine&) = delete;

    RequestId submit() {
        Request request;
        request.classIndex = ClassIndex(0);
        request.planIndex = PlanIndex(1);
        request.key = "key";
        request.volume = "volume";
        request.deadlineUs = engine.now() + kSecond;
        request.cell = CellIndex(0);
        const auto id = engine.submit(request, handler);
        io.poll();
        return id;
    }
    void finishAttempt(RequestId id, Outcome outcome) {
        core::AttemptFinished result;
        result.id = id;
        result.attempt = handler->started.at(0).attempt;
        result.outcome = outcome;
        engine.attemptFinished(std::move(result));
        io.poll();
    }

    boost::asio::io_context io;
    log::Logger logger{log::Level::Error};
    net::Engine engine{io, configWithOneNode(), logger};
    std::shared_ptr<FakeRequestHandler> handler = std::make_shared<FakeRequestHandler>();
};

}  // namespace

TEST_CASE("engine: a request is attempted at the address of a listed node") {
    RunningEngine running;
    const auto id = running.submit();
    REQUIRE(running.handler->started.size() == 1);
    CHECK(running.handler->started[0].id == id);
    CHECK(running.handler->started[0].node.port == 4711);
    CHECK(running.handler->answers() == 0);
}

TEST_CASE("engine: the response of a successful attempt is delivered once") {
    RunningEngine running;
    const auto id = running.submit();
    REQUIRE(running.handler->started.size() == 1);
    running.finishAttempt(id, Outcome::Ok);
    REQUIRE(running.handler->delivered.size() == 1);
    CHECK(running.handler->delivered[0] == running.handler->started[0].attempt);
    CHECK(running.handler->answers() == 1);
    CHECK(running.engine.openRequests() == 0);
}

TEST_CASE(
    "engine: when the client disconnects, an attempt is stopped only if the node has not all of its "
    "request") {
    for (const bool undelivered : {false, true}) {
        RunningEngine running;
        const auto id = running.submit();
        REQUIRE(running.handler->attempts.size() == 1);
        running.engine.attemptRequestSent(id, running.handler->started[0].attempt);
        running.handler->attempts[0]->undelivered = undelivered;
        running.engine.clientDisconnected(id);
        running.io.poll();
        CHECK(running.handler->attempts[0]->cancelled == undelivered);
        CHECK(running.engine.counters().stoppedUndelivered == (undelivered ? 1 : 0));
        const auto cancelled = running.engine.counters().outcomes[std::size_t(Outcome::Cancelled)];
        CHECK(cancelled == (undelivered ? 1 : 0));
        CHECK(running.handler->answers() == 0);
    }
}

TEST_CASE("engine: an attempt may finish before its start returns") {
    RunningEngine running;
    running.handler->onStart = [&running](const net::AttemptParams& params) {
        core::AttemptFinished result;
        result.id = params.id;
        result.attempt = params.attempt;
        running.engine.attemptFinished(std::move(result));
    };
    running.submit();
    CHECK(running.handler->delivered.size() == 1);
    CHECK(running.engine.openRequests() == 0);
}

TEST_CASE("engine: after its client has disconnected a request gets no answer") {
    RunningEngine running;
    const auto id = running.submit();
    REQUIRE(running.handler->started.size() == 1);
    running.engine.clientDisconnected(id);
    running.io.poll();
    running.finishAttempt(id, Outcome::Ok);
    CHECK(running.handler->answers() == 0);
}

TEST_CASE("engine: a stop cancels all attempts and ignores later inputs") {
    RunningEngine running;
    const auto id = running.submit();
    REQUIRE(running.handler->attempts.size() == 1);
    running.engine.stop();
    CHECK(running.handler->attempts[0]->cancelled);
    running.finishAttempt(id, Outcome::Ok);
    CHECK(running.handler->answers() == 0);
}

TEST_CASE("engine: a delta to the endpoint list adds and removes nodes") {
    RunningEngine running;
    CHECK(running.engine.nodeCount() == 1);
    running.engine.endpointListReceived({{EndpointListKind::Delta,
                                          2,
                                          {{"node-0", "z", CellIndex(0), 1, NodeState::Removed, 0},
                                           {"node-1", "z", CellIndex(0), 1, NodeState::Ready, 0},
                                           {"node-2", "z", CellIndex(0), 1, NodeState::Ready, 0}}},
                                         {{"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}}});
    CHECK(running.engine.nodeCount() == 2);
    CHECK(running.engine.listVersion() == 2);
}

TEST_CASE("engine: a full endpoint list replaces the last one") {
    RunningEngine running;
    running.engine.endpointListReceived(
        {{EndpointListKind::Full, 3, {{"node-1", "z", CellIndex(0), 1, NodeState::Ready, 0}}},
         {{"127.0.0.1", 2}}});
    CHECK(running.engine.nodeCount() == 1);
    running.engine.endpointListUnavailable();
    CHECK(running.engine.nodeCount() == 1);
    CHECK(running.engine.listVersion() == 3);
}

TEST_CASE("engine: only a node that was listed can be drained administratively") {
    RunningEngine running;
    CHECK(!running.engine.setAdminDrain("unknown", true));
    CHECK(running.engine.setAdminDrain("node-0", true));
    CHECK(running.engine.adminDrainedNodes() == 1);
    CHECK(running.engine.overrides().size() == 1);
}

TEST_CASE("engine: a successor starts with the endpoint list of the snapshot") {
    RunningEngine running;
    const auto snapshot = running.engine.takeSnapshot();
    REQUIRE(snapshot.addresses.size() == 1);
    CHECK(snapshot.addresses[0].port == 4711);
    net::Engine successor(running.io, configWithOneNode(), running.logger);
    CHECK(successor.restore(snapshot));
    successor.start();
    CHECK(successor.nodeCount() == 1);
    successor.stop();
}
