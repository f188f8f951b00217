// The reducer alone: no sockets and no clock, one input at a time.
#include "core/reducer.h"

#include <doctest/doctest.h>

#include "support/policy_support.h"

using namespace wingproxy;
using namespace wingproxy::core;
using test::kMs;

namespace {

// One input and the end of its batch.
Effects step(State& state, Micros now, Input input) {
    auto all = reduce(state, now, std::move(input));
    for (auto& e : reduce(state, now, BatchEnded{}))
        all.push_back(std::move(e));
    return all;
}

struct Machine {
    Machine() : state(test::settings(), Limits{250 * kMs}, test::kStart) {
        put(EndpointListReceived{test::nodes({test::node("n0", 0), test::node("n1", 1)})});
    }
    Effects put(Input input) { return step(state, now, std::move(input)); }
    Effects wakeAt(Micros when) {
        now = when;
        return put(TimerExpired{});
    }
    Effects take(RequestId id, int cls = 0, Micros wait = 2'000 * kMs) {
        auto r = test::request(id, cls, 1, now);
        r.deadlineUs = now + wait;
        return put(RequestReceived{r});
    }
    Micros now = test::kStart;
    State state;
};

template <typename T>
std::vector<T> of(const Effects& effects) {
    std::vector<T> out;
    for (const auto& e : effects)
        if (const auto* t = std::get_if<T>(&e)) out.push_back(*t);
    return out;
}

core::AttemptFinished ended(RequestId id, int attempt, Outcome outcome) {
    return {id, attempt, outcome, 0, 0, {}};
}

}  // namespace

TEST_CASE("the first success is the answer, and only once") {
    Machine m;
    const auto starts = of<StartAttempt>(m.take(1));
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].attempt == 0);
    CHECK(starts[0].node == "n0");
    m.now += 20 * kMs;
    const auto effects = m.put(ended(1, 0, Outcome::Ok));
    CHECK(of<DeliverResponse>(effects).size() == 1);
    CHECK(m.state.openRequests() == 0);
    CHECK(of<DeliverResponse>(m.put(ended(1, 0, Outcome::Ok))).empty());  // told twice
    CHECK(m.state.counters().late == 1);
}

TEST_CASE("attempts are numbered in order and never more than the settings allow") {
    Machine m;
    auto starts = of<StartAttempt>(m.take(1));
    std::vector<int> numbers;
    for (int i = 0; i < 5 && !starts.empty(); ++i) {
        numbers.push_back(starts.back().attempt);
        m.now += 5 * kMs;
        auto effects = m.put(ended(1, starts.back().attempt, Outcome::ConnectFailed));
        starts = of<StartAttempt>(effects);
        for (int t = 0; t < 100 && starts.empty() && m.state.openRequests() > 0; ++t)
            starts = of<StartAttempt>(m.wakeAt(m.now + 10 * kMs));
    }
    REQUIRE(!numbers.empty());
    for (std::size_t i = 0; i < numbers.size(); ++i)
        CHECK(numbers[i] == int(i));
    CHECK(numbers.size() <= 3);
    CHECK(m.state.openRequests() == 0);  // and it had its one final answer
    const auto& c = m.state.counters();
    CHECK(c.all().refused + c.all().failed == 1);
}

TEST_CASE("a time-out stops the attempt, and what comes later is dropped") {
    Machine m;
    m.take(1, 0, 300 * kMs);
    const auto effects = m.wakeAt(m.now + 300 * kMs);
    CHECK(of<StopAttempt>(effects).size() == 1);
    CHECK(of<SendRejection>(effects).size() + of<SendFailure>(effects).size() == 1);
    CHECK(m.state.openRequests() == 0);
    CHECK(m.state.counters().outcomes[std::size_t(Outcome::Timeout)] == 1);
    // A late answer must not reach anybody.
    CHECK(of<DeliverResponse>(m.put(ended(1, 0, Outcome::Ok))).empty());
    CHECK(m.state.counters().late == 1);
}

TEST_CASE("an unsafe request that may have run is neither resent nor refused") {
    Machine m;
    m.take(1, 2);
    const auto effects = m.put(ended(1, 0, Outcome::Reset));
    CHECK(of<StartAttempt>(effects).empty());
    CHECK(of<SendRejection>(effects).empty());
    CHECK(of<SendFailure>(effects).size() == 1);
}

TEST_CASE("a client that left is owed nothing, and its attempt, which is whole at the node, still ends") {
    Machine m;
    m.take(1);
    m.put(AttemptRequestSent{1, 0});
    CHECK(of<StopAttempt>(m.put(ClientDisconnected{1})).empty());
    CHECK(m.state.openRequests() == 0);
    CHECK(m.state.counters().disconnected == 1);
    CHECK(of<DeliverResponse>(m.put(ended(1, 0, Outcome::Ok))).empty());
    CHECK(m.state.counters().outcomes[std::size_t(Outcome::Ok)] == 1);
    m.put(ClientDisconnected{1});
    CHECK(m.state.counters().disconnected == 1);
}

TEST_CASE("a broken stream is the end: its bytes are with the client") {
    Machine m;
    m.take(1);
    m.put(ResponseForwardingStarted{1, 0});
    const auto effects = m.put(ended(1, 0, Outcome::Reset));
    CHECK(of<SendFailure>(effects).size() == 1);
    CHECK(of<StartAttempt>(effects).empty());
    CHECK(m.state.openRequests() == 0);
    CHECK(of<StartAttempt>(m.wakeAt(m.now + 500 * kMs)).empty());
}

TEST_CASE("the first byte may be written only well inside the grace of a drain") {
    Machine m;
    const auto start = of<StartAttempt>(m.take(1)).at(0);
    CHECK(start.firstByteBy - m.now <= test::settings().drainGraceUs / 2);
    CHECK(start.timeoutAt == m.now + 2'000 * kMs);
    // Already told to drain, it serves on for a while: counted from when that was read, again or not.
    const auto told = m.now;
    m.put(EndpointListReceived{
        test::nodes({test::node("n0", 0, NodeState::Draining)}, EndpointListKind::Delta)});
    m.wakeAt(told + test::settings().drainGraceUs / 2);
    m.put(EndpointListReceived{
        test::nodes({test::node("n0", 0, NodeState::Draining)}, EndpointListKind::Delta)});
    const auto last = of<StartAttempt>(m.take(2)).at(0);
    CHECK(last.firstByteBy == told + test::settings().drainGraceUs * 8 / 10);
}

TEST_CASE("nothing new goes to a node that drains or is gone") {
    for (const auto state : {NodeState::Draining, NodeState::Removed}) {
        Machine m;
        m.put(EndpointListReceived{test::nodes({test::node("n0", 0, state)}, EndpointListKind::Delta)});
        m.wakeAt(m.now + test::settings().drainGraceUs);
        CHECK(of<StartAttempt>(m.take(1)).empty());
        for (int t = 0; t < 300; ++t)
            CHECK(of<StartAttempt>(m.wakeAt(m.now + 10 * kMs)).empty());
        CHECK(m.state.openRequests() == 0);  // and yet it was answered
    }
}

// Nodes are replaced under new ids, volumes and clients are always new, and some clients allow an hour.
TEST_CASE("a long day: every table forgets what is gone") {
    Machine m;
    std::size_t most = 0;
    for (RequestId id = 1; id <= 6'000; ++id) {
        m.wakeAt(m.now + 50 * kMs);
        if (id % 20 == 0)
            m.put(EndpointListReceived{test::nodes(
                {test::node(std::string("old-").append(std::to_string(id - 20)), 0, NodeState::Removed),
                 test::node(std::string("old-").append(std::to_string(id)), 0)},
                EndpointListKind::Delta)});
        auto r = test::request(id, 0, id % 2, m.now);
        r.volume = std::string("v").append(std::to_string(id));
        r.deadlineUs = m.now + 3'600'000 * kMs;
        const auto starts = of<StartAttempt>(m.put(RequestReceived{r}));
        for (const auto& start : starts)
            m.put(ended(id, start.attempt, Outcome::Ok));
        if (id == 2'000) most = m.state.tableEntries();
    }
    CHECK(m.state.counters().all().delivered > 5'900);
    CHECK(m.state.tableEntries() <= most + most / 10);
}

// An operator's word outlives lists, restarts and repeats; what comes back is cold whatever the list says.
TEST_CASE("a node out by hand drains for the module until the call back, in every order of lists and calls") {
    Machine m;
    CHECK(!m.state.everListed("n9"));
    CHECK(m.state.everListed("n0"));
    m.put(AdminOverrideChanged{"n0", {true, m.now}});
    m.put(AdminOverrideChanged{"n0", {true, m.now}});
    CHECK(m.state.avoidedNodes() == 1);
    const auto list = [&](NodeState state, Micros started) {
        m.put(EndpointListReceived{
            test::nodes({test::node("n0", 0, state, started)}, EndpointListKind::Delta)});
    };
    m.now += 2'000 * kMs;
    list(NodeState::Removed, 0);
    CHECK(m.state.everListed("n0"));
    list(NodeState::Ready, m.now);
    CHECK(m.state.avoidedNodes() == 1);
    m.put(EndpointListReceived{
        test::nodes({test::node("n0", 0, NodeState::Ready, m.now), test::node("n1", 1)})});
    CHECK(m.state.avoidedNodes() == 1);
    CHECK(of<StartAttempt>(m.take(1)).empty());
    m.put(AdminOverrideChanged{"n0", {false, m.now}});
    CHECK(m.state.avoidedNodes() == 0);
    CHECK(of<StartAttempt>(m.take(2)).size() == 1);
    // Back by hand, it starts as a node that just came up: no more than the rule's units at once.
    int sent = 0;
    for (RequestId id = 10; id < 60; ++id)
        sent += int(of<StartAttempt>(m.take(id)).size());
    CHECK(sent * 2 <= 12);
}

TEST_CASE("the clock never falls for the module") {
    Machine m;
    m.now -= 5 * kMs;  // an input stamped earlier than the last
    CHECK(of<StartAttempt>(m.take(1)).size() == 1);
}

// What is harmless in one of 4 fronts must stay so in one of 300 with 200 nodes: what a front keeps, tells
// and does in a turn follows what it is asked, not the size of the fleet. Checked: a start greets silent
// peers in as many rounds as fit before loans run out; idle turns tell nothing; of 2,000 requests over all
// nodes each costs at most 256 bytes; there are three entries for each node and volume, and two for each
// request that is open.
TEST_CASE("300 fronts and 200 nodes: state and messages follow the work") {
    constexpr int kHosts = 300, kNodes = 200, kRequests = 2'000, kVolumes = 40;
    auto settings = test::settings(0, kHosts);
    settings.cellCount = kNodes;
    State state(settings, Limits{250 * kMs}, test::kStart);
    Micros now = test::kStart;
    std::size_t told = 0, bytes = 0;
    const auto put = [&](Input input) {
        auto all = step(state, now, std::move(input));
        for (const auto& tell : of<SendPeerMessage>(all)) {
            REQUIRE(tell.to >= 0);  // nothing to all at once
            CHECK(tell.bytes.size() <= 256);
            ++told, bytes += tell.bytes.size();
        }
        return all;
    };
    const auto runTo = [&](Micros until) {
        std::size_t turns = 0;
        for (; state.nextWake() <= until; ++turns)
            now = std::max(now, state.nextWake()), put(TimerExpired{});
        now = until;
        return turns;
    };
    std::vector<NodeInfo> list;
    for (int i = 0; i < kNodes; ++i)
        list.push_back(test::node(std::string("n").append(std::to_string(i)), i));
    put(EndpointListReceived{test::nodes(list)});
    runTo(now + 11'000 * kMs);
    // Hellos to silent peers, every 0.5 s: to all for 2 s, to the three holders of a shutdown notice for 10
    // s.
    CHECK(told <= 4 * (kHosts - 1) + 3 * 21);
    told = bytes = 0;
    CHECK(runTo(now + 1'000 * kMs) <= 101);  // one turn a tick, however many nodes there are
    CHECK(told == 0);
    for (RequestId id = 1; id <= kRequests; ++id) {
        auto r = test::request(id, 0, int(id % 2), now, 2, int(id * 7 % kNodes), 3);
        r.volume = std::string("vol-").append(std::to_string(id % kVolumes));
        for (const auto& start : of<StartAttempt>(put(RequestReceived{r}))) {
            now += 2 * kMs;
            put(ended(start.id, start.attempt, Outcome::Ok));
        }
        runTo(now + 20 * kMs);
    }
    CHECK(state.counters().taken == kRequests);
    CHECK(state.counters().all().delivered > kRequests / 2);
    CHECK(bytes <= 256 * kRequests);
    CHECK(state.tableEntries() <= 3 * kNodes + 3 * kVolumes + 2 * state.openRequests() + 16);
}
