// Tests the leases of chunks: three hosts, joined by a network that delays and loses messages, together never
// exceed the limit of a volume, and a busy host borrows the chunks of idle ones.
#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <random>

#include "fleet/restart_recovery.h"
#include "support/policy_support.h"

namespace wingproxy::test {
namespace {

// Hosts joined by a simulated network whose delay, loss and partitions the test sets.
struct Fleet {
    explicit Fleet(int n, std::uint64_t seed = 1) : random(seed) {
        for (int i = 0; i < n; ++i)
            start(i);
    }
    void start(int i) {
        auto s = settings(i, 3);
        s.seed = ++processes * 1000 + static_cast<std::uint64_t>(i);
        hosts[i] = std::make_unique<Host>(s, now);
        deliver(i, {nodes({node("a", 0), node("b", 1)})});
    }
    void deliver(int i, std::vector<AnyEvent> events) {
        hosts[i]->now = now;
        take(i, hosts[i]->batch(std::move(events)));
    }
    void take(int i, const std::vector<Action>& actions) {
        for (const auto& message : only<SendPeerMessage>(actions))
            for (auto& [other, host] : hosts) {
                if (other == i || !(message.to.isEveryPeer() || message.to == HostIndex(other))) continue;
                if (cut || cuts.count({i, other}) || (lossPercent > 0 && int(random() % 100) < lossPercent))
                    continue;
                const Micros delay = minDelay + Micros(random() % std::uint64_t(maxDelay - minDelay + 1));
                inFlight.push_back({now + delay, i, other, message.bytes});
            }
        for (const auto& send : only<ForwardRequest>(actions)) {
            if (charged.insert(send.id).second) spend(units[send.id], i);
            answers.emplace_back(now + 5 * kMs, i, send);
        }
    }
    void spend(double u, int host) {
        reference = std::min(burst, reference + limit * double(now - referenceAt) / 1e6) - u;
        referenceAt = now;
        lowest = std::min(lowest, reference);
        sent[host] += u;
    }
    // Advances the time in steps of 1 ms; host i gets rate[i] units per second in requests of 2 units.
    void run(Micros span, std::map<int, double> rate) {
        for (const Micros end = now + span; now < end;) {
            now += kMs;
            for (std::size_t k = 0; k < inFlight.size();) {
                if (inFlight[k].at > now) {
                    ++k;
                    continue;
                }
                const auto m = inFlight[k];
                inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(k));
                if (hosts.count(m.to)) deliver(m.to, {PeerMessageReceived{HostIndex(m.from), m.bytes}});
            }
            while (!answers.empty() && std::get<0>(answers.front()) <= now) {
                const auto [at, i, send] = answers.front();
                answers.pop_front();
                if (hosts.count(i)) deliver(i, {ended(send.id, 0, send.node, Outcome::Ok, 5 * kMs)});
            }
            for (auto& [i, host] : hosts) {
                take(i, host->runTo(now));
                unsentUnits[i] += rate[i] / 1000;
                while (unsentUnits[i] >= 2) {
                    unsentUnits[i] -= 2;
                    units[++lastId] = 2;
                    deliver(i, {request(lastId, 0, 0, now, 2, 0, 3)});
                }
            }
        }
    }
    struct Message {
        Micros at;
        int from, to;
        std::string bytes;
    };
    std::mt19937_64 random;
    Micros now = kStart, referenceAt = kStart, minDelay = 2 * kMs, maxDelay = 20 * kMs;
    // `reference` is a token bucket with the volume's whole limit; the hosts exceeded it if `lowest` < 0.
    double limit = 20, burst = 48, reference = 48, lowest = 48;
    int lossPercent = 0;
    bool cut = false;
    std::set<std::pair<int, int>> cuts;  // from, to
    std::uint64_t processes = 0;
    RequestId lastId = 0;
    std::map<int, std::unique_ptr<Host>> hosts;
    std::map<int, double> unsentUnits, sent;  // by host: units due but not requested yet, units sent
    std::map<RequestId, double> units;
    std::set<RequestId> charged;
    std::vector<Message> inFlight;
    std::deque<std::tuple<Micros, int, ForwardRequest>> answers;
};

TEST(LeaseAllocator, AVolumeOfOneHostHasTheWholeLimit) {
    Host h(settings(), kStart);
    h.batch({nodes({node("a", 0)})});
    h.runTo(h.now + 4 * kSecond);
    std::vector<AnyEvent> events;
    for (RequestId id = 1; id <= 3; ++id)
        events.emplace_back(request(id, 0, 0, h.now, 6));
    EXPECT_EQ(only<ForwardRequest>(h.batch(events)).size(), 3u);
}

TEST(LeaseAllocator, WithoutPeersAHostSpendsNoMoreThanItsPart) {
    Fleet f(3);
    f.cut = true;
    f.run(10 * kSecond, {{0, 60}});
    EXPECT_LE(f.sent[0], 20.0 / 3 * 10 + 48.0 / 3);
    EXPECT_GT(f.sent[0], 20.0 / 3 * 6);
}

TEST(LeaseAllocator, ABusyHostLeasesChunksOfIdleOnes) {
    Fleet f(3);
    f.run(2 * kSecond, {{0, 2}, {1, 2}, {2, 2}});
    f.sent.clear();
    f.run(10 * kSecond, {{0, 60}, {1, 2}, {2, 2}});
    EXPECT_GT(f.sent[0], 20.0 / 3 * 10 * 1.6);  // far beyond limit / hosts
    EXPECT_GE(f.lowest, 0);
}

TEST(LeaseAllocator, GrantedChunksAreReturnedWhenDemandMoves) {
    Fleet f(3);
    f.run(2 * kSecond, {{0, 2}, {1, 2}, {2, 2}});
    f.run(6 * kSecond, {{0, 60}, {1, 2}, {2, 2}});
    f.run(3 * kSecond, {{0, 2}, {1, 60}, {2, 2}});  // the busy host changes at once
    f.sent.clear();
    f.run(6 * kSecond, {{0, 2}, {1, 60}, {2, 2}});
    EXPECT_GT(f.sent[1], 20.0 / 3 * 6 * 1.5);
    EXPECT_GE(f.lowest, 0);
}

// An owner that grants fewer chunks than before may use the others only once the borrower has returned them.
TEST(LeaseAllocator, AGrantOfFewerChunksFreesTheOthersAtOnce) {
    double sum = 0;
    for (int round = 0; round < 5; ++round) {
        Fleet f(3, 7 + std::uint64_t(round));
        f.run(6 * kSecond, {{0, 60}, {1, 1}, {2, 1}});
        f.sent.clear();
        for (const double rate : {2, 3, 4, 5, 6, 7})
            f.run(kSecond / 2, {{0, 60}, {1, rate}, {2, rate}});
        sum += f.sent[0] + f.sent[1] + f.sent[2];
        EXPECT_GE(f.lowest, 0);
    }
    EXPECT_GT(sum, 5 * 3 * 20 * 0.95);  // of the limit
}

// Lease requests keep a volume in use at hosts that get no client requests for it: they go on granting
// chunks.
TEST(LeaseAllocator, AHostWithoutRequestsForAVolumeKeepsGrantingItsChunks) {
    Fleet f(3);
    f.run(2 * kSecond, {{0, 2}, {1, 2}, {2, 2}});
    f.run(70 * kSecond, {{0, 60}});
    f.sent.clear();
    f.run(10 * kSecond, {{0, 60}});
    EXPECT_GT(f.sent[0], 20.0 / 3 * 10 * 1.6);
    EXPECT_GE(f.lowest, 0);
}

TEST(LeaseAllocator, AVolumeThatWasRemovedReturnsWithItsLimitAndPeers) {
    Fleet f(3);
    for (const int round : {1, 2}) {
        f.run(2 * kSecond, {{0, 2}, {1, 2}, {2, 2}});
        f.sent.clear();
        f.run(10 * kSecond, {{0, 60}, {1, 2}, {2, 2}});
        EXPECT_GT(f.sent[0], 20.0 / 3 * 10 * 1.6) << round;
        f.run(70 * kSecond, {});
        EXPECT_LE(f.hosts[0]->policy.tableEntries(), 8u);  // only nodes and cells are left
    }
    EXPECT_GE(f.lowest, 0);
}

TEST(LeaseAllocator, TheTotalStaysWithinTheLimitThroughLossReorderingPartitionsAndRestarts) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        Fleet f(3, seed);
        f.maxDelay = 400 * kMs;  // messages are reordered
        f.lossPercent = 20;
        std::mt19937_64 random(seed);
        for (int step = 0; step < 40; ++step) {
            const double high = random() % 2 ? 80 : 30;
            f.run(Micros(300 + random() % 900) * kMs,
                  {{int(random() % 3), high}, {int(random() % 3), high / 2}, {2, 3}});
            f.cut = random() % 5 == 0;
            if (random() % 4 == 0) f.start(int(random() % 3));  // killed and restarted at once
        }
        EXPECT_GE(f.lowest, 0) << "seed " << seed;
    }
}

// Covers every way in which a host stops: with a shutdown notice and some time to serve on, with a notice and
// killed at once, or without a notice. Messages, shutdown notices among them, are lost or late by up to 2 s.
// Host 0 holds all chunks and keeps the reference bucket nearly empty, so that a chunk spent by two hosts
// overdraws it, as happens when a host counts as recovered right after its restart.
TEST(LeaseAllocator, TheTotalStaysWithinTheLimitThroughShutdownNoticesAndCrashes) {
    std::map<fleet::RestartRecovery::RecoveryCause, int> by;
    for (std::uint64_t seed = 1; seed <= 120; ++seed) {
        Fleet f(3, seed);
        f.reference = f.lowest = 0;  // as the hosts' buckets: only what accrues from now on may be spent
        std::mt19937_64 random(seed * 31);
        f.run(2 * kSecond, {{0, 4}, {1, 4}, {2, 4}});
        f.run(5 * kSecond, {{0, 80}, {1, 1}, {2, 1}});
        f.maxDelay = random() % 4 == 0 ? 2 * kSecond : 50 * kMs;
        f.lossPercent = int(random() % 3) * 20;
        const int who = 1 + int(random() % 2);
        if (seed % 3 > 0) {
            f.deliver(who, {ShutdownStarted{f.now + Micros(random() % 4'000) * kMs}});
            f.run(Micros(random() % 3'000) * kMs, {{0, 80}});
        }
        if (seed % 5 > 0) f.cuts = {{who, 0}, {0, who}};  // host 0 does not learn that its lender restarted
        f.hosts.erase(who);
        f.run(Micros(random() % 3 == 0 ? random() % 2'000 : 1) * kMs, {{0, 80}});
        f.start(who);
        f.run(3 * kSecond, {{0, 80}, {who, 80}});
        ++by[f.hosts[who]->policy.recovery().recoveryCause()];
        EXPECT_GE(f.lowest, 0) << "seed " << seed;
    }
    EXPECT_GT(by[fleet::RestartRecovery::RecoveryCause::ShutdownNotice], 10);
    EXPECT_GT(by[fleet::RestartRecovery::RecoveryCause::AllPeersReplied], 5);
    EXPECT_GT(by[fleet::RestartRecovery::RecoveryCause::LeaseExpired], 5);
}

TEST(LeaseAllocator, ARestartedHostWaitsUntilItsEarlierLeasesExpired) {
    Fleet f(3);
    f.run(2 * kSecond, {{0, 2}, {1, 2}, {2, 2}});
    f.run(3 * kSecond, {{0, 60}, {1, 2}, {2, 2}});
    f.cut = true;
    f.inFlight.clear();
    f.start(1);  // does not know the chunks that it granted to host 0
    f.sent.clear();
    f.run(1800 * kMs, {{1, 60}});
    EXPECT_LE(f.sent[1], 1.0 / 3 * 2 + 2);  // the base rate alone
    EXPECT_GE(f.lowest, 0);
}

TEST(LeaseAllocator, MalformedMessagesAndUnknownSendersAreIgnored) {
    Fleet f(3);
    f.run(2 * kSecond, {{0, 2}, {1, 2}, {2, 2}});
    f.sent.clear();
    std::mt19937_64 random(5);
    for (int i = 0; i < 300; ++i) {
        std::string junk(random() % 256, '\0');
        for (auto& c : junk)
            c = static_cast<char>(random());
        if (i % 2 && !junk.empty()) junk[0] = static_cast<char>(0xA9);
        f.deliver(0, {PeerMessageReceived{HostIndex(int(random() % 5) - 1), junk}});
        f.run(10 * kMs, {{0, 60}});
    }
    EXPECT_GE(f.lowest, 0);
    EXPECT_GT(f.sent[0], 0);
}

}  // namespace
}  // namespace wingproxy::test
