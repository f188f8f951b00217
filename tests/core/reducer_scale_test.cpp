// The reducer over a long time and in large fleets: its tables stay bounded, and the number of messages that
// it sends depends on the number of requests.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "core/reducer_fixture.h"

using namespace wingproxy;
using namespace wingproxy::core;
using namespace wingproxy::test;

// Nodes are replaced by nodes with new ids, each request is for a new volume, and clients allow an hour.
TEST_CASE("reducer at scale: entries of removed nodes, old volumes and ended requests are dropped") {
    ReducerFixture front;
    std::size_t entriesEarly = 0;
    for (RequestId id = 1; id <= 6'000; ++id) {
        front.expireTimersAt(front.now + 50 * kMs);
        if (id % 20 == 0)
            front.put(EndpointListReceived{
                nodes({node(std::string("old-").append(std::to_string(id - 20)), 0, NodeState::Removed),
                       node(std::string("old-").append(std::to_string(id)), 0)},
                      EndpointListKind::Delta)});
        auto received = request(id, 0, id % 2, front.now);
        received.volume = std::string("v").append(std::to_string(id));
        received.deadlineUs = front.now + 3'600'000 * kMs;
        const auto starts = effectsOf<StartAttempt>(front.put(RequestReceived{received}));
        for (const auto& start : starts)
            front.put(finished(id, start.attempt, Outcome::Ok));
        if (id == 2'000) entriesEarly = front.state.tableEntries();
    }
    CHECK(front.state.counters().total().delivered > 5'900);
    CHECK(front.state.tableEntries() <= entriesEarly + entriesEarly / 10);
}

namespace {

constexpr int kHosts = 300;
constexpr int kNodes = 200;
constexpr int kRequests = 2'000;
constexpr int kVolumes = 40;

Settings settingsOfLargeFleet() {
    auto large = settings(0, kHosts);
    large.cellCount = kNodes;
    return large;
}

/// One of 300 fronts, which receives no messages from the others.
struct LargeFleetFront {
    LargeFleetFront() : state(settingsOfLargeFleet(), AttemptLimits{250 * kMs}, kStart) {
        std::vector<NodeInfo> list;
        for (int i = 0; i < kNodes; ++i)
            list.push_back(node(std::string("n").append(std::to_string(i)), i));
        put(EndpointListReceived{nodes(list)});
    }
    Effects put(Input input) {
        auto effects = reduceBatch(state, now, std::move(input));
        for (const auto& message : effectsOf<SendPeerMessage>(effects)) {
            REQUIRE(!message.to.isEveryPeer());
            CHECK(message.bytes.size() <= 256);
            ++messagesSent;
            bytesSent += message.bytes.size();
        }
        return effects;
    }
    /// Expires timers until then. Returns how many times the front woke up.
    std::size_t runTo(Micros until) {
        std::size_t wakeUps = 0;
        for (; state.nextWake() <= until; ++wakeUps) {
            now = std::max(now, state.nextWake());
            put(TimerExpired{});
        }
        now = until;
        return wakeUps;
    }
    /// Runs for 11 s, within which the recovery after the start ends.
    void runThroughRecovery() {
        runTo(now + 11'000 * kMs);
        messagesInRecovery = messagesSent;
        messagesSent = 0;
        bytesSent = 0;
    }
    /// Sends requests that are spread over all nodes and volumes, each answered after 2 ms.
    void serveRequests() {
        for (RequestId id = 1; id <= kRequests; ++id) {
            auto received = request(id, 0, int(id % 2), now, 2, int(id * 7 % kNodes), 3);
            received.volume = std::string("vol-").append(std::to_string(id % kVolumes));
            for (const auto& start : effectsOf<StartAttempt>(put(RequestReceived{received}))) {
                now += 2 * kMs;
                put(finished(start.id, start.attempt, Outcome::Ok));
            }
            runTo(now + 20 * kMs);
        }
    }

    FrontState state;
    Micros now = kStart;
    std::size_t messagesSent = 0;
    std::size_t bytesSent = 0;
    std::size_t messagesInRecovery = 0;
};

}  // namespace

// Peers that do not reply are queried every 0.5 s: all of them for 2 s, the three notice holders for 10 s.
TEST_CASE("reducer at scale: after a start all silent peers are queried only until leases have expired") {
    LargeFleetFront front;
    front.runThroughRecovery();
    CHECK(front.messagesInRecovery <= 4 * (kHosts - 1) + 3 * 21);
}

TEST_CASE("reducer at scale: an idle front of 200 nodes sends nothing and wakes up once per tick") {
    LargeFleetFront front;
    front.runThroughRecovery();
    CHECK(front.runTo(front.now + 1'000 * kMs) <= 101);
    CHECK(front.messagesSent == 0);
}

// Guards against costs that grow with the size of the fleet: what a front stores and sends depends on the
// requests that it gets, also as one of 300 fronts with 200 nodes. Bounds: 256 bytes sent per request, three
// table entries per node and volume, and two per request in flight.
TEST_CASE("reducer at scale: state and messages of one of 300 fronts depend on its requests alone") {
    LargeFleetFront front;
    front.runThroughRecovery();
    front.runTo(front.now + 1'000 * kMs);
    front.serveRequests();
    CHECK(front.state.counters().received == kRequests);
    CHECK(front.state.counters().total().delivered > kRequests / 2);
    CHECK(front.bytesSent <= 256 * kRequests);
    CHECK(front.state.tableEntries() <= 3 * kNodes + 3 * kVolumes + 2 * front.state.openRequests() + 16);
}
