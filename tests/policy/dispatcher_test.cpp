// Tests which request is sent next and to which node, and which cell a new object goes to.
#include <gtest/gtest.h>

#include "policy/peer_message.h"
#include "policy/policy_test_support.h"

namespace wingproxy::test {
namespace {

TEST(Dispatcher, SendsAtOnceWhileThereIsCapacity) {
    Host h = ready();
    const auto sends = only<ForwardRequest>(h.batch({request(1, 0, 1, h.now)}));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].node, "a");
}

// Guards against a node in slow start that has not answered this host yet and for which a peer has reported a
// short wait: by these figures alone it looks less busy than any other.
TEST(Dispatcher, ANewObjectDoesNotGoToAStartingNodeWhileAnotherIsIdle) {
    Host h(settings(0, 100), kStart);
    h.batch({nodes({node("a", 0), node("b", 1, NodeState::Ready, kStart)})});
    for (RequestId id = 1; id <= 4; ++id) {
        h.now += 100 * kMs;
        const auto sends = only<ForwardRequest>(h.batch({request(id, 0, 1, h.now)}));
        ASSERT_EQ(sends.size(), 1u);
        h.batch({ended(id, 0, "a", Outcome::Ok)});
    }
    auto message = peer::header(1);
    peer::append(message,
                 peer::UsageAggregate{std::uint32_t(peer::hashOf("1")), {16}, {8}, {}});  // a wait of 1 ms
    h.batch({request(5, 0, 1, h.now, 2, 1),
             PeerMessageReceived{HostIndex(1), message}});  // the host has seen demand for the cell
    h.runTo(h.now + kSecond);
    for (RequestId id = 10; id < 20; ++id) {
        const auto sends = only<ForwardRequest>(h.batch({request(id, 2, 1, h.now, 2, -1)}));
        ASSERT_EQ(sends.size(), 1u);
        EXPECT_EQ(sends[0].node, "a");
        h.batch({ended(id, 0, "a", Outcome::Ok)});
        h.now += 100 * kMs;
    }
}

TEST(Dispatcher, NewObjectsAreServedWhereEveryNodeIsStarting) {
    Host h(settings(), kStart);
    h.batch({nodes({node("a", 0, NodeState::Ready, kStart), node("b", 1, NodeState::Ready, kStart)})});
    std::set<std::string> used;
    for (RequestId id = 1; id <= 3; ++id)
        for (const auto& s : only<ForwardRequest>(h.batch({request(id, 2, 1, h.now, 2, -1)})))
            used.insert(s.node);
    EXPECT_EQ(used.size(), 2u);
}

TEST(Dispatcher, QueuedRequestsAreSentEarliestDueFirst) {
    auto s = settings();
    s.classes[0].latencyObjectiveUs = 400 * kMs;
    s.classes[2].latencyObjectiveUs = 300 * kMs;
    Host h = ready(s);
    std::vector<AnyEvent> events;
    for (RequestId id = 1; id <= 3; ++id)
        events.emplace_back(request(id, 0, 1, h.now));
    ASSERT_EQ(only<ForwardRequest>(h.batch(events)).size(), 3u);  // the initial limit
    h.batch({request(10, 0, 1, h.now), request(11, 2, 1, h.now)});
    h.now += 20 * kMs;
    const auto sends = only<ForwardRequest>(h.batch({ended(1, 0, "a", Outcome::Ok)}));
    ASSERT_FALSE(sends.empty());
    EXPECT_EQ(sends[0].id, 11u);
}

// A node that fails at once has a short latency, which must not attract new objects: what fails there can
// only be retried in the node's cell.
TEST(Dispatcher, NewObjectsAvoidANodeThatFails) {
    Host host = ready();
    RequestId id = 0;
    for (int i = 0; i < 8; ++i, host.now += 50 * kMs)
        for (const int cell : {0, 1}) {
            host.batch({request(++id, 2, 1, host.now, 2, cell)});
            host.batch({cell == 0 ? ended(id, 0, "a", Outcome::Error, kMs) : ended(id, 0, "b", Outcome::Ok)});
        }
    for (int i = 0; i < 6; ++i) {
        const auto sent = only<ForwardRequest>(host.batch({request(++id, 1, 1, host.now, 2, -1)}));
        ASSERT_EQ(sent.size(), 1u);
        EXPECT_EQ(sent[0].node, "b");
        host.batch({ended(id, 0, "b", Outcome::Ok)});
    }
}

}  // namespace
}  // namespace wingproxy::test
