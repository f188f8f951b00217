// The reducer as a whole: how requests, attempts, timers and the endpoint list interact.
#include "core/reducer.h"

#include <doctest/doctest.h>

#include "core/reducer_fixture.h"

using namespace wingproxy;
using namespace wingproxy::core;
using namespace wingproxy::test;

TEST_CASE("reducer: the first successful attempt is delivered as the final answer, and only once") {
    ReducerFixture front;
    const auto starts = effectsOf<StartAttempt>(front.receive(1));
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].attempt == AttemptIndex(0));
    CHECK(starts[0].node == "n0");
    front.now += 20 * kMs;
    const auto effects = front.put(finished(1, 0, Outcome::Ok));
    CHECK(effectsOf<DeliverResponse>(effects).size() == 1);
    CHECK(front.state.openRequests() == 0);
    CHECK(effectsOf<DeliverResponse>(front.put(finished(1, 0, Outcome::Ok))).empty());  // a duplicate result
    CHECK(front.state.counters().lateResults == 1);
}

TEST_CASE("reducer: attempts are numbered in order and never exceed the settings' maximum") {
    ReducerFixture front;
    auto starts = effectsOf<StartAttempt>(front.receive(1));
    std::vector<int> numbers;
    for (int i = 0; i < 5 && !starts.empty(); ++i) {
        numbers.push_back(starts.back().attempt.value());
        front.now += 5 * kMs;
        const auto effects = front.put(finished(1, starts.back().attempt, Outcome::ConnectFailed));
        starts = effectsOf<StartAttempt>(effects);
        for (int t = 0; t < 100 && starts.empty() && front.state.openRequests() > 0; ++t)
            starts = effectsOf<StartAttempt>(front.expireTimersAt(front.now + 10 * kMs));
    }
    REQUIRE(!numbers.empty());
    for (std::size_t i = 0; i < numbers.size(); ++i)
        CHECK(numbers[i] == int(i));
    CHECK(numbers.size() <= 3);
    CHECK(front.state.openRequests() == 0);
    const auto total = front.state.counters().total();
    CHECK(total.rejected + total.failed == 1);  // exactly one final answer
}

TEST_CASE("reducer: a time-out stops the attempt, and its late result is only counted") {
    ReducerFixture front;
    front.receive(1, 0, 300 * kMs);
    const auto effects = front.expireTimersAt(front.now + 300 * kMs);
    CHECK(effectsOf<StopAttempt>(effects).size() == 1);
    CHECK(effectsOf<SendRejection>(effects).size() + effectsOf<SendFailure>(effects).size() == 1);
    CHECK(front.state.openRequests() == 0);
    CHECK(front.state.counters().outcomes[std::size_t(Outcome::Timeout)] == 1);
    CHECK(effectsOf<DeliverResponse>(front.put(finished(1, 0, Outcome::Ok))).empty());
    CHECK(front.state.counters().lateResults == 1);
}

TEST_CASE("reducer: a request that is not idempotent and may have run is neither retried nor rejected") {
    ReducerFixture front;
    front.receive(1, 2);
    const auto effects = front.put(finished(1, 0, Outcome::Reset));
    CHECK(effectsOf<StartAttempt>(effects).empty());
    CHECK(effectsOf<SendRejection>(effects).empty());
    CHECK(effectsOf<SendFailure>(effects).size() == 1);
}

TEST_CASE("reducer: an attempt whose request was sent completely continues after its client disconnected") {
    ReducerFixture front;
    front.receive(1);
    front.put(AttemptRequestSent{1, AttemptIndex(0)});
    const auto effects = front.put(ClientDisconnected{1});
    CHECK(effectsOf<StopAttempt>(effects).empty());
    REQUIRE(effectsOf<StopUndeliveredAttempt>(effects).size() == 1);  // unless the node has the whole request
    CHECK(effectsOf<StopUndeliveredAttempt>(effects)[0].outcome == Outcome::Cancelled);
    CHECK(front.state.openRequests() == 0);
    CHECK(front.state.counters().disconnected == 1);
    CHECK(effectsOf<DeliverResponse>(front.put(finished(1, 0, Outcome::Ok))).empty());
    CHECK(front.state.counters().outcomes[std::size_t(Outcome::Ok)] == 1);
    front.put(ClientDisconnected{1});
    CHECK(front.state.counters().disconnected == 1);
}

TEST_CASE(
    "reducer: an attempt whose request was not sent completely is stopped when its client disconnects") {
    ReducerFixture front;
    front.receive(1);
    const auto effects = front.put(ClientDisconnected{1});
    CHECK(effectsOf<StopAttempt>(effects).size() == 1);
    CHECK(front.state.counters().cancelledBeforeSent == 1);
    CHECK(front.state.counters().outcomes[std::size_t(Outcome::Cancelled)] == 1);
}

TEST_CASE("reducer: a response that breaks off while it is forwarded is a final failure") {
    ReducerFixture front;
    front.receive(1);
    front.put(ResponseForwardingStarted{1, AttemptIndex(0)});
    const auto effects = front.put(finished(1, 0, Outcome::Reset));
    CHECK(effectsOf<SendFailure>(effects).size() == 1);
    CHECK(effectsOf<StartAttempt>(effects).empty());
    CHECK(front.state.openRequests() == 0);
    CHECK(effectsOf<StartAttempt>(front.expireTimersAt(front.now + 500 * kMs)).empty());
}

TEST_CASE("reducer: an unbounded response has no deadline once it is forwarded") {
    ReducerFixture front;
    front.receive(1, 0, 300 * kMs);
    front.put(ResponseForwardingStarted{1, AttemptIndex(0), true});
    CHECK(effectsOf<StopAttempt>(front.expireTimersAt(front.now + 1'000 * kMs)).empty());
    CHECK(front.state.openRequests() == 1);
    CHECK(effectsOf<DeliverResponse>(front.put(finished(1, 0, Outcome::Ok))).size() == 1);
}

TEST_CASE("reducer: a request gets a new deadline when its body is complete") {
    ReducerFixture front;
    auto received = request(1, 0, 1, front.now);
    received.bodyIncomplete = true;
    const auto starts = effectsOf<StartAttempt>(front.put(RequestReceived{received}));
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].timeoutAt > received.deadlineUs);
    const Micros deadline = front.now + 500 * kMs;
    front.put(RequestBodyCompleted{1, deadline});
    CHECK(effectsOf<StopAttempt>(front.expireTimersAt(deadline - 1)).empty());
    CHECK(effectsOf<StopAttempt>(front.expireTimersAt(deadline)).size() == 1);
}

// Guards against a request that is never answered as its node takes no more of its body.
TEST_CASE(
    "reducer: the deadline of a body that is still being forwarded stops the attempt and fails the request") {
    ReducerFixture front;
    auto received = request(1, 1, 1, front.now);
    received.bodyIncomplete = true;
    REQUIRE(effectsOf<StartAttempt>(front.put(RequestReceived{received})).size() == 1);
    const Micros deadline = front.now + 3'000 * kMs;
    front.put(BodyDeadlineChanged{1, deadline - 2'000 * kMs});
    front.put(BodyDeadlineChanged{1, BodyDeadlineChanged::kNone});  // more of the body came
    CHECK(effectsOf<StopAttempt>(front.expireTimersAt(deadline - 1'000 * kMs)).empty());
    front.put(BodyDeadlineChanged{1, deadline});
    CHECK(effectsOf<StopAttempt>(front.expireTimersAt(deadline - 1)).empty());
    const auto effects = front.expireTimersAt(deadline);
    CHECK(effectsOf<StopAttempt>(effects).size() == 1);
    CHECK(effectsOf<SendFailure>(effects).size() == 1);
    CHECK(front.state.counters().outcomes[std::size_t(Outcome::Timeout)] == 1);
}

TEST_CASE("reducer: the body's deadline holds for a retry that starts later") {
    ReducerFixture front;
    auto received = request(1, 0, 1, front.now);
    received.bodyIncomplete = true;
    REQUIRE(effectsOf<StartAttempt>(front.put(RequestReceived{received})).size() == 1);
    const Micros deadline = front.now + 700 * kMs;
    front.put(BodyDeadlineChanged{1, deadline});
    auto starts = effectsOf<StartAttempt>(front.put(finished(1, 0, Outcome::ConnectFailed)));
    for (int i = 0; i < 50 && starts.empty(); ++i)
        starts = effectsOf<StartAttempt>(front.expireTimersAt(front.now + 10 * kMs));
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].timeoutAt == deadline);
}

TEST_CASE("reducer: an attempt must write its first byte within half of the drain grace") {
    ReducerFixture front;
    const auto start = effectsOf<StartAttempt>(front.receive(1)).at(0);
    CHECK(start.firstByteBy - front.now <= settings().drainGraceUs / 2);
    CHECK(start.timeoutAt == front.now + 2'000 * kMs);
}

TEST_CASE("reducer: the drain grace of a node starts when its drain was first read") {
    ReducerFixture front;
    const auto drainRead = front.now;
    front.list(node("n0", 0, NodeState::Draining));
    front.expireTimersAt(drainRead + settings().drainGraceUs / 2);
    front.list(node("n0", 0, NodeState::Draining));
    const auto last = effectsOf<StartAttempt>(front.receive(2)).at(0);
    CHECK(last.firstByteBy == drainRead + settings().drainGraceUs * 8 / 10);
}

TEST_CASE("reducer: no request goes to a node that drains or was removed, and each is answered") {
    for (const auto state : {NodeState::Draining, NodeState::Removed}) {
        ReducerFixture front;
        front.list(node("n0", 0, state));
        front.expireTimersAt(front.now + settings().drainGraceUs);
        CHECK(effectsOf<StartAttempt>(front.receive(1)).empty());
        for (int t = 0; t < 300; ++t)
            CHECK(effectsOf<StartAttempt>(front.expireTimersAt(front.now + 10 * kMs)).empty());
        CHECK(front.state.openRequests() == 0);
    }
}

TEST_CASE("reducer: a node under an administrative drain gets no requests, whatever endpoint lists say") {
    ReducerFixture front;
    front.put(AdminOverrideChanged{"n0", {true, front.now}});
    front.put(AdminOverrideChanged{"n0", {true, front.now}});
    CHECK(front.state.avoidedNodes() == 1);
    front.now += 2'000 * kMs;
    front.list(node("n0", 0, NodeState::Removed));
    front.list(node("n0", 0, NodeState::Ready, front.now));
    CHECK(front.state.avoidedNodes() == 1);
    front.put(EndpointListReceived{nodes({node("n0", 0, NodeState::Ready, front.now), node("n1", 1)})});
    CHECK(front.state.avoidedNodes() == 1);
    CHECK(effectsOf<StartAttempt>(front.receive(1)).empty());
}

TEST_CASE("reducer: a node whose administrative drain ended is in slow start") {
    ReducerFixture front;
    front.put(AdminOverrideChanged{"n0", {true, front.now}});
    front.now += 2'000 * kMs;
    front.receive(1);
    front.put(AdminOverrideChanged{"n0", {false, front.now}});
    CHECK(front.state.avoidedNodes() == 0);
    CHECK(effectsOf<StartAttempt>(front.receive(2)).size() == 1);
    // At 2 units per request, no more than the units that a node in slow start completes within one window.
    std::size_t sent = 0;
    for (RequestId id = 10; id < 60; ++id)
        sent += effectsOf<StartAttempt>(front.receive(id)).size();
    CHECK(sent * 2 <= 12);
}

TEST_CASE("reducer: an input with a time before that of the last input is handled at the last time") {
    ReducerFixture front;
    front.now -= 5 * kMs;
    CHECK(effectsOf<StartAttempt>(front.receive(1)).size() == 1);
}

TEST_CASE("reducer: a snapshot restores the draining nodes, the ever-listed ids and the policy's state") {
    ReducerFixture front;
    front.list(node("n0", 0, NodeState::Draining));
    front.list(node("n9", 0));
    front.list(node("n9", 0, NodeState::Removed));
    const auto snapshot = takeSnapshot(front.state, front.now);
    CHECK(snapshot.endpoints.size() == 2);
    CHECK(snapshot.drainingSince.contains("n0"));
    FrontState successor(settings(), AttemptLimits{250 * kMs}, front.now);
    CHECK(restore(successor, snapshot));
    CHECK(successor.everListed("n9"));
    CHECK(!successor.everListed("n8"));
}

TEST_CASE(
    "reducer: of a snapshot with a damaged policy part the rest is restored, and restore returns false") {
    ReducerFixture front;
    auto snapshot = takeSnapshot(front.state, front.now);
    snapshot.policySnapshot = "damaged";
    FrontState successor(settings(), AttemptLimits{250 * kMs}, front.now);
    CHECK(!restore(successor, snapshot));
    CHECK(successor.everListed("n0"));
}
