// The phases of a graceful shutdown: the actions of each, and its end. No timers and no sockets.
#include "app/shutdown_sequence.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace wingproxy::app;
using namespace std::chrono_literals;
using Calls = std::vector<std::string>;

namespace {

/// Records the calls that it receives; the test sets the numbers that it returns.
struct RecordingTarget : ShutdownTarget {
    void expectNoNewConnections() override { calls.emplace_back("expectNoNewConnections"); }
    void closeListeners() override { calls.emplace_back("closeListeners"); }
    void closeIdleConnections() override {
        calls.emplace_back("closeIdleConnections");
        connections -= idle;
        idle = 0;
    }
    void stop() override { calls.emplace_back("stop"); }
    std::size_t activeClients() override { return clients; }
    std::size_t allConnections() override { return connections; }
    std::size_t openRequests() override { return requests; }

    Calls calls;
    std::size_t clients = 0;
    std::size_t connections = 0;
    std::size_t idle = 0;  ///< connections that are idle
    std::size_t requests = 0;
};

/// A sequence that received SIGTERM at time 0. The deadline of 1 s puts the kill at 1.7 s.
struct Shutdown {
    explicit Shutdown(std::chrono::microseconds longestDeadline = 1s) {
        sequence.schedule(longestDeadline, start);
    }
    ShutdownSequence::NextCall startAt(ShutdownMode mode, std::chrono::milliseconds elapsed = 0ms) {
        return sequence.start(mode, start + elapsed);
    }
    ShutdownSequence::NextCall advanceAt(std::chrono::milliseconds elapsed) {
        return sequence.advance(start + elapsed);
    }
    /// Enters the phase before `ClosingIdle` without clients, and clears the recorded calls.
    void enterClosingListener() {
        startAt(ShutdownMode::Transferred);
        REQUIRE(sequence.phase() == ShutdownPhase::ClosingListener);
        target.calls.clear();
    }

    RecordingTarget target;
    ShutdownSequence sequence{target};
    ShutdownSequence::TimePoint start{1h};
};

}  // namespace

TEST_CASE("shutdown: before SIGTERM the phase is Serving and nothing is scheduled") {
    RecordingTarget target;
    ShutdownSequence sequence(target);
    CHECK(sequence.phase() == ShutdownPhase::Serving);
    CHECK(!sequence.scheduled());
    CHECK(!sequence.advance({}));
    CHECK(target.calls.empty());
}

TEST_CASE(
    "shutdown: the kill is 0.7 s after the longest deadline, and the last times before it are for closing") {
    Shutdown shutdown(1s);
    CHECK(shutdown.sequence.scheduled());
    CHECK(shutdown.sequence.serveFor() == 1250ms);
    CHECK(shutdown.sequence.respondWithin() == 1500ms);
}

TEST_CASE("shutdown: a deadline above 3 s does not postpone the kill") {
    Shutdown shutdown(10s);
    CHECK(shutdown.sequence.serveFor() == 3250ms);
    CHECK(shutdown.sequence.respondWithin() == 3500ms);
}

TEST_CASE("shutdown: a successor that never served stops at once") {
    Shutdown shutdown;
    CHECK(!shutdown.startAt(ShutdownMode::NeverServed));
    CHECK(shutdown.sequence.phase() == ShutdownPhase::Stopped);
    CHECK(shutdown.target.calls == Calls{"stop"});
}

TEST_CASE("shutdown: without clients the listener stays open for 0.6 s") {
    Shutdown shutdown;
    CHECK(shutdown.startAt(ShutdownMode::WithoutSuccessor) == 20ms);
    CHECK(shutdown.sequence.phase() == ShutdownPhase::Draining);
    CHECK(shutdown.advanceAt(599ms) == 20ms);
    CHECK(shutdown.sequence.phase() == ShutdownPhase::Draining);
    CHECK(shutdown.advanceAt(600ms) == 100ms);
    CHECK(shutdown.sequence.phase() == ShutdownPhase::ClosingListener);
    CHECK(shutdown.target.calls.back() == "closeListeners");
}

TEST_CASE("shutdown: after 0.3 s no new connections are expected") {
    Shutdown shutdown;
    shutdown.startAt(ShutdownMode::WithoutSuccessor);
    shutdown.advanceAt(299ms);
    CHECK(shutdown.target.calls.empty());
    shutdown.advanceAt(300ms);
    CHECK(shutdown.target.calls == Calls{"expectNoNewConnections"});
}

TEST_CASE("shutdown: clients are served until 0.45 s before the kill") {
    Shutdown shutdown;
    shutdown.target.clients = 1;
    shutdown.startAt(ShutdownMode::WithoutSuccessor);
    CHECK(shutdown.advanceAt(1249ms) == 20ms);
    CHECK(shutdown.sequence.phase() == ShutdownPhase::Draining);
    CHECK(shutdown.advanceAt(1250ms) == 100ms);
    CHECK(shutdown.sequence.phase() == ShutdownPhase::ClosingListener);
}

TEST_CASE("shutdown: after 0.6 s the listener is closed when the last client disconnects") {
    Shutdown shutdown;
    shutdown.target.clients = 1;
    shutdown.startAt(ShutdownMode::WithoutSuccessor);
    CHECK(shutdown.advanceAt(700ms) == 20ms);
    shutdown.target.clients = 0;
    CHECK(shutdown.advanceAt(720ms) == 100ms);
}

TEST_CASE("shutdown: after a transfer the listener is closed as soon as the last client disconnects") {
    Shutdown shutdown;
    shutdown.target.clients = 1;
    CHECK(shutdown.startAt(ShutdownMode::Transferred) == 20ms);
    shutdown.target.clients = 0;
    CHECK(shutdown.advanceAt(20ms) == 100ms);
    CHECK(shutdown.target.calls == Calls{"closeListeners"});
}

// Guards against answers that SIGKILL cuts off: the old process of an upgrade went on taking requests to the
// end.
TEST_CASE("shutdown: after a transfer clients that stay are left to the successor 0.55 s after SIGTERM") {
    Shutdown shutdown;
    shutdown.target.clients = 1;
    shutdown.target.connections = 1;
    shutdown.target.idle = 1;
    shutdown.startAt(ShutdownMode::Transferred);
    CHECK(shutdown.advanceAt(449ms) == 20ms);
    CHECK(shutdown.advanceAt(450ms) == 100ms);
    CHECK(shutdown.sequence.phase() == ShutdownPhase::ClosingListener);
    CHECK(!shutdown.advanceAt(550ms));
    CHECK(shutdown.target.calls == Calls{"closeListeners", "closeIdleConnections", "stop"});
    CHECK(shutdown.sequence.mayLeaveUnfinishedFor() == 550ms);
}

TEST_CASE("shutdown: after a transfer the target is not told to expect no new connections") {
    Shutdown shutdown;
    shutdown.target.clients = 1;
    shutdown.startAt(ShutdownMode::Transferred);
    shutdown.advanceAt(400ms);
    CHECK(shutdown.target.calls.empty());
}

TEST_CASE("shutdown: idle connections are closed 0.1 s after the listener") {
    Shutdown shutdown;
    shutdown.enterClosingListener();
    shutdown.target.connections = 2;
    shutdown.target.idle = 1;
    CHECK(shutdown.advanceAt(100ms) == 20ms);
    CHECK(shutdown.sequence.phase() == ShutdownPhase::ClosingIdle);
    CHECK(shutdown.target.calls == Calls{"closeIdleConnections"});
}

TEST_CASE("shutdown: it stops as soon as the last connection is closed and nothing is in flight") {
    Shutdown shutdown;
    shutdown.enterClosingListener();
    shutdown.target.connections = 1;
    shutdown.target.idle = 1;
    CHECK(!shutdown.advanceAt(100ms));
    CHECK(shutdown.sequence.phase() == ShutdownPhase::Stopped);
    CHECK(shutdown.target.calls == Calls{"closeIdleConnections", "stop"});
}

TEST_CASE(
    "shutdown: a connection without a request in flight does not delay it beyond 0.12 s before the kill") {
    Shutdown shutdown;
    shutdown.enterClosingListener();
    shutdown.target.connections = 1;
    CHECK(shutdown.advanceAt(1579ms) == 20ms);
    CHECK(!shutdown.advanceAt(1580ms));
    CHECK(shutdown.sequence.phase() == ShutdownPhase::Stopped);
}

TEST_CASE("shutdown: requests in flight are awaited without a time limit") {
    Shutdown shutdown;
    shutdown.enterClosingListener();
    shutdown.target.requests = 1;
    CHECK(shutdown.advanceAt(5s) == 20ms);
    shutdown.target.requests = 0;
    CHECK(!shutdown.advanceAt(5020ms));
}

TEST_CASE("shutdown: a stopped sequence does nothing more") {
    Shutdown shutdown;
    shutdown.startAt(ShutdownMode::NeverServed);
    CHECK(!shutdown.advanceAt(20ms));
    CHECK(shutdown.target.calls == Calls{"stop"});
}
