// Tests gossip between a hundred hosts that each receive few requests: the bytes that are sent, how many
// requests a slow node gets, and how many units a node in slow start gets. A message takes 10 ms.
#include <gtest/gtest.h>

#include <memory>
#include <random>

#include "support/policy_support.h"

namespace wingproxy::test {
namespace {

constexpr int kHosts = 100;
constexpr Micros kMessageDelay = 10 * kMs;

// A hundred hosts and the messages between them. The test plays the nodes.
struct Fleet {
    explicit Fleet(bool joined = true) : joined(joined) {
        for (int i = 0; i < kHosts; ++i) {
            hosts.push_back(std::make_unique<Host>(settings(i, kHosts), now));
            give(i, {nodes({node("a", 0), node("b", 1)})});
        }
    }
    std::vector<ForwardRequest> give(int i, std::vector<AnyEvent> events) {
        hosts[std::size_t(i)]->now = now;
        return take(i, hosts[std::size_t(i)]->batch(std::move(events)));
    }
    std::vector<ForwardRequest> take(int i, const std::vector<Action>& actions) {
        for (const auto& message : only<SendPeerMessage>(actions)) {
            bytes += message.bytes.size() * std::size_t(message.to.isEveryPeer() ? kHosts - 1 : 1);
            largest = std::max(largest, message.bytes.size());
            if (joined) wire.push_back({now + kMessageDelay, i, message});
        }
        rejected += only<RejectRequest>(actions).size();
        return only<ForwardRequest>(actions);
    }
    void runTo(Micros until) {
        while (now < until) {
            now += kMs;
            std::vector<Message> due;
            std::erase_if(wire, [&](const Message& m) { return m.at <= now && (due.push_back(m), true); });
            for (const auto& m : due)
                for (int to = 0; to < kHosts; ++to)
                    if (to != m.from && (m.message.to.isEveryPeer() || m.message.to == HostIndex(to)))
                        sentLater +=
                            give(to, {PeerMessageReceived{HostIndex(m.from), m.message.bytes}}).size();
            for (int i = 0; i < kHosts; ++i)
                for (const auto& s : take(i, hosts[std::size_t(i)]->runTo(now)))
                    sentInRun.emplace_back(i, s), ++sentLater;
        }
    }
    struct Message {
        Micros at;
        int from;
        SendPeerMessage message;
    };
    bool joined;
    Micros now = kStart;
    std::size_t bytes = 0, largest = 0, rejected = 0, sentLater = 0;
    RequestId lastId = 0;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<Message> wire;
    std::vector<std::pair<int, ForwardRequest>> sentInRun;  // by host, sent during runTo()
};

TEST(Gossip, BytesDependOnRequestsAndNotOnHosts) {
    Fleet f;
    f.runTo(kStart + 2500 * kMs);  // the exchange of messages after the start is over
    const auto atStart = f.bytes;
    // One exchange per pair of hosts at the start, not repeated.
    EXPECT_LE(atStart, std::size_t(kHosts * kHosts * 40));
    f.runTo(f.now + kSecond);
    EXPECT_EQ(f.bytes, atStart);  // idle hosts send nothing
    for (int second = 0; second < 3; ++second) {
        for (int i = 0; i < kHosts; ++i) {
            auto r = request(++f.lastId, 0, i % 2, f.now, 2, i % 2, 5);
            r.volume = "vol-" + std::to_string(i % 20);  // each volume is used through five hosts
            const auto sends = f.give(i, {r});
            f.runTo(f.now + 10 * kMs);
            for (const auto& s : sends)
                f.give(i, {ended(s.id, 0, s.node, Outcome::Ok, 10 * kMs)});
        }
    }
    EXPECT_LE(double(f.bytes - atStart) / double(f.lastId), 256.0);
    EXPECT_GT(f.bytes, atStart);
    EXPECT_LE(f.largest, 256u);
}

// In four rounds, forty hosts have one request each for a node that responds in 450 ms.
// \return how many of another forty requests, one per host, are then sent to the node at once
std::size_t sentToSlowNode(bool joined) {
    Fleet f(joined);
    f.runTo(kStart + 100 * kMs);
    std::vector<std::pair<int, ForwardRequest>> out;
    for (int round = 0; round < 4; ++round) {
        out.clear();
        for (int i = 0; i < 40; ++i)
            for (const auto& s : f.give(i, {request(++f.lastId, 0, 1, f.now)}))
                out.emplace_back(i, s);
        f.runTo(f.now + 450 * kMs);
        for (const auto& [i, s] : out)
            f.give(i, {ended(s.id, 0, s.node, Outcome::Ok, 450 * kMs)});
        f.runTo(f.now + 50 * kMs);
    }
    std::size_t sent = 0;
    for (int i = 0; i < 40; ++i)
        sent += f.give(i, {request(++f.lastId, 0, 1, f.now)}).size();
    return sent;
}

TEST(Gossip, SharedWaitsKeepAHundredHostsFromOverloadingASlowNode) {
    EXPECT_GT(sentToSlowNode(false), 20u);  // without gossip most hosts send, so the test can fail
    EXPECT_LT(sentToSlowNode(true), 20u);
}

// Units that a hundred hosts send to a node in the 4 s after its start, during which it does not respond.
// Host 0 has as many requests as all the others together.
double unitsToSilentStartingNode(bool joined) {
    Fleet f(joined);
    f.runTo(kStart + 100 * kMs);
    for (int k = 0; k < 2 * kHosts; ++k) {  // before the restart, every host uses the node a little
        const int i = k % kHosts;
        for (const auto& s : f.give(i, {request(++f.lastId, 2, 1, f.now)}))
            f.give(i, {ended(s.id, 0, s.node, Outcome::Ok, 10 * kMs)});
        f.runTo(f.now + 10 * kMs);
    }
    for (int i = 0; i < kHosts; ++i)
        f.give(i, {nodes({node("a", 0, NodeState::Ready, f.now - kMs)}, EndpointListKind::Delta)});
    std::size_t sent = 0;
    for (int step = 0; step < 2 * kHosts; ++step) {
        const auto before = f.sentLater;
        const int host = step % 2 ? step / 2 : 0;  // every other request comes through host 0
        sent += f.give(host, {request(++f.lastId, 2, 1, f.now)}).size();
        f.runTo(f.now + 20 * kMs);
        sent += f.sentLater - before;
    }
    return double(sent) * 2;
}

TEST(Gossip, ANodeInSlowStartIsNeitherOverloadedNorIdle) {
    const auto s = settings(0, kHosts);
    const double sent = unitsToSilentStartingNode(true);
    EXPECT_LE(sent, 2 * s.slowStartUnits * s.slowStartOverloadFactor);  // 4 s are two windows
    EXPECT_GT(sent, 0);
}

// A node responds in 30 ms. During a single pause, with forty attempts outstanding, one response takes 280
// ms: the hosts must not take that for the node's usual latency.
TEST(Gossip, ASinglePauseOfANodeIsNotTakenForItsLatency) {
    Fleet f;
    f.runTo(kStart + 100 * kMs);
    for (int round = 0; round < 20; ++round) {
        std::vector<std::pair<int, ForwardRequest>> out;
        for (int i = 0; i < 10; ++i)
            for (const auto& s : f.give(i, {request(++f.lastId, 0, 1, f.now)}))
                out.emplace_back(i, s);
        f.runTo(f.now + 30 * kMs);
        for (const auto& [i, s] : out)
            f.give(i, {ended(s.id, 0, s.node, Outcome::Ok, 30 * kMs)});
        f.runTo(f.now + 20 * kMs);
    }
    std::vector<ForwardRequest> paused;
    for (int i = 0; i < 40; ++i)
        for (const auto& s : f.give(i, {request(++f.lastId, 0, 1, f.now)}))
            paused.push_back(s);
    ASSERT_EQ(paused.size(), 40u);
    f.runTo(f.now + 280 * kMs);
    f.give(0, {ended(paused[0].id, 0, paused[0].node, Outcome::Ok, 280 * kMs)});
    f.runTo(f.now + 60 * kMs);
    std::size_t sent = 0;
    for (int i = 0; i < 10; ++i)
        sent += f.give(i + 1, {request(++f.lastId, 0, 1, f.now)}).size();
    EXPECT_GE(sent, 9u);
}

// A node is restarted after `usedFor`; each of a hundred hosts has a request for it every 5 s. After the
// restart it completes `strength` * slowStartUnits per window, growing to four times that by the end of slow
// start; requests beyond that queue at the node. Checks that no window overloads the node.
// \return units that it is sent during slow start
double unitsToStartingNode(Micros usedFor, double strength = 1) {
    Fleet f;
    const auto s = settings(0, kHosts);
    const auto capacity = [&](Micros age) {  // units per window
        return strength * s.slowStartUnits *
               (1 + 3 * std::min(1.0, double(age) / double(s.slowStartDurationUs)));
    };
    struct Work {
        Micros sent, done;
        int host;
        ForwardRequest send;
    };
    std::vector<Work> work;
    std::vector<Micros> sentAt;
    const Micros restarted = f.now + usedFor;
    Micros freeAt = 0;
    for (int step = 0; f.now < restarted + s.slowStartDurationUs; ++step) {
        if (f.now == restarted)
            for (int i = 0; i < kHosts; ++i)
                f.give(i, {nodes({node("a", 0, NodeState::Ready, restarted)}, EndpointListKind::Delta)});
        if (step % 5 == 0)  // twenty requests per second, round-robin over the hosts
            for (const auto& send : f.give(step / 5 % kHosts, {request(++f.lastId, 0, 1, f.now)}))
                f.sentInRun.emplace_back(step / 5 % kHosts, send);
        for (const auto& [host, send] : std::exchange(f.sentInRun, {})) {
            // Units per second.
            const double rate = f.now < restarted ? 100 : capacity(f.now - restarted) / 2;
            freeAt = std::max(freeAt, f.now) + Micros(2e6 / rate);
            work.push_back({f.now, freeAt, host, send});
            if (f.now >= restarted) sentAt.push_back(f.now);
        }
        for (const auto& w : std::exchange(work, {}))
            if (w.done > f.now)
                work.push_back(w);
            else
                f.give(w.host, {ended(w.send.id, 0, w.send.node, Outcome::Ok, f.now - w.sent)});
        f.runTo(f.now + 10 * kMs);
    }
    for (std::size_t first = 0, last = 0; last < sentAt.size();
         ++last) {  // every window that ends with a send
        while (sentAt[last] - sentAt[first] > s.slowStartWindowUs)
            ++first;
        EXPECT_LE(2.0 * double(last - first + 1),
                  s.slowStartOverloadFactor * capacity(sentAt[first] - restarted));
    }
    return 2.0 * double(sentAt.size());
}

TEST(Gossip, HostsWithFewRequestsUseANodeInSlowStartAsItsCapacityGrows) {
    EXPECT_GE(unitsToStartingNode(6 * kSecond),
              100);  // of 150 that it can complete; hosts taking turns on a fixed budget sent none
}

// slowStartUnits is the capacity of the weakest node. A stronger one shows only in the units that it
// completes for all hosts together, of which each host sees almost none. It is asked for 400 units and can
// complete nearly all; when each host counted only its own completed units, it was sent 232.
TEST(Gossip, AStrongNodeInSlowStartIsUsedByWhatItCompletesForAllHosts) {
    EXPECT_GE(unitsToStartingNode(6 * kSecond, 4), 265);
}

// What a draining node still completes must not raise the budget of its successor in the same cell.
TEST(Gossip, UnitsOfADrainingNodeDoNotCountForItsSuccessorInSlowStart) {
    Fleet f;
    const auto s = settings(0, kHosts);
    f.runTo(kStart + 100 * kMs);
    std::vector<std::pair<int, ForwardRequest>> out;
    for (int i = 0; i < kHosts; ++i)
        for (const auto& send : f.give(i, {request(++f.lastId, 2, 1, f.now)}))
            out.emplace_back(i, send);
    f.runTo(f.now + 50 * kMs);
    for (int i = 0; i < kHosts; ++i)
        f.give(i, {nodes({node("a", 0, NodeState::Draining), node("c", 0, NodeState::Ready, f.now)},
                         EndpointListKind::Delta)});
    f.runTo(f.now + 100 * kMs);
    for (const auto& [i, send] : out)
        f.give(i, {ended(send.id, 0, "a", Outcome::Ok, 150 * kMs)});
    EXPECT_GE(out.size(), 50u);
    std::size_t sent = 0;
    for (int step = 0; step < 2 * kHosts; ++step) {  // c does not respond
        const auto before = f.sentLater;
        sent += f.give(step % kHosts, {request(++f.lastId, 2, 1, f.now)}).size();
        f.runTo(f.now + 10 * kMs);
        sent += f.sentLater - before;
    }
    const double grown =
        1 + (1 / s.slowStartCapacity - 1) * double(s.slowStartWindowUs) / double(s.slowStartDurationUs);
    EXPECT_LE(2.0 * double(sent),
              s.slowStartUnits * s.slowStartOverloadFactor * grown);  // of the weakest node, over one window
}

TEST(Gossip, AHostThatKnowsNoPeersLeavesThemCapacityOfANodeInSlowStart) {
    EXPECT_GE(unitsToStartingNode(kSecond), 50);  // most hosts first use the node during its slow start
}

TEST(Gossip, WellFormedMessagesWithRandomFieldsAreHarmless) {
    Fleet f;
    f.runTo(kStart + 50 * kMs);
    std::mt19937_64 random(11);
    for (int n = 0; n < 4000; ++n) {  // well formed, with random fields and sender
        std::string m(1, char(0xA9));
        for (int i = 0; i < 4; ++i)
            m += char(random());
        static constexpr int kBytes[] = {0, 9, 13, 15, 13, 4, 4, 9, 8, 6};
        const int tag = 1 + int(random() % 9);
        m += char(tag);
        for (int i = 0; i < kBytes[tag]; ++i)
            m += char(random() % 3 ? random() : 255);
        f.give(3, {PeerMessageReceived{HostIndex(int(random() % 104) - 2), m}});
    }
    f.now += 3 * kSecond;
    EXPECT_EQ(f.give(3, {request(1, 0, 1, f.now)}).size(), 1u);
}

}  // namespace
}  // namespace wingproxy::test
