// When a restarted host may spend and lend, in fleets whose datagrams arrive without delay.
// restart_recovery_model_test.cpp explores all interleavings of a small fleet.
#include "fleet/restart_recovery.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <set>

using namespace wingproxy;
using fleet::Micros;
using fleet::RestartRecovery;
using RecoveryCause = RestartRecovery::RecoveryCause;
using fleet::IncarnationStatus;

namespace {

constexpr Micros kMs = 1'000;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kStart = 1'000 * kSecond;
constexpr Micros kLease = 2 * kSecond;

RestartRecovery::Options optionsOf(int host, int hostCount) {
    return {HostIndex(host), hostCount, kLease, true};
}

/// Hosts whose datagrams arrive without delay; those in `dead` neither send nor receive.
struct ConnectedFleet {
    explicit ConnectedFleet(int hostCount) {
        for (int i = 0; i < hostCount; ++i)
            hosts.emplace_back(optionsOf(i, hostCount), now);
    }
    /// Delivers the due datagrams of all hosts and all replies. Returns the number of datagrams sent.
    std::size_t deliverDue() {
        std::deque<Sent> network;
        for (int i = 0; i < int(hosts.size()); ++i) {
            if (dead.contains(i)) continue;
            for (auto& datagram : host(i).dueDatagrams(now))
                network.push_back({i, std::move(datagram)});
        }
        std::size_t sentCount = 0;
        for (; !network.empty(); network.pop_front(), ++sentCount) {
            const Sent sent = network.front();
            largest = std::max(largest, sent.datagram.bytes.size());
            const int to = sent.datagram.to.value();
            if (dead.contains(to)) continue;
            for (auto& reply :
                 host(to).handleDatagram(HostIndex(sent.from), sent.datagram.bytes, now).replies)
                network.push_back({to, std::move(reply)});
        }
        return sentCount;
    }
    /// Advances the time in steps of 10 ms. Returns the number of datagrams sent.
    std::size_t run(Micros duration) {
        std::size_t sentCount = 0;
        for (const auto end = now + duration; now < end; now += 10 * kMs)
            sentCount += deliverDue();
        return sentCount;
    }
    void restart(int i) {
        dead.erase(i);
        host(i) = RestartRecovery(optionsOf(i, int(hosts.size())), now);
    }
    RestartRecovery& host(int i) { return hosts[std::size_t(i)]; }
    bool isRecovered(int i) { return host(i).isRecovered(now); }
    bool mayLend(int i) { return host(i).mayLend(now); }

    struct Sent {
        int from = 0;
        fleet::OutgoingDatagram datagram;
    };
    Micros now = kStart;
    std::size_t largest = 0;
    std::set<int> dead;
    std::vector<RestartRecovery> hosts;
};

}  // namespace

TEST_CASE("restart recovery: a fleet that starts together recovers at once and sends nothing after that") {
    ConnectedFleet fleet(300);
    fleet.run(kSecond);
    for (const auto& host : fleet.hosts)
        REQUIRE((host.isRecovered(fleet.now) && host.mayLend(fleet.now)));
    CHECK(fleet.run(20 * kSecond) == 0);
    CHECK(fleet.largest <= fleet::kMaxRecoveryDatagramBytes);
}

TEST_CASE("restart recovery: a graceful shutdown notifies three notice holders and ends lending in time") {
    ConnectedFleet fleet(300);
    fleet.run(kSecond);
    fleet.host(7).startShutdown(fleet.now + 3 * kSecond, fleet.now);
    CHECK(fleet.mayLend(7));
    CHECK(fleet.run(1'100 * kMs) == 9);  // three holders, every 0.5 s
    CHECK(!fleet.mayLend(7));            // a lease would outlast the shutdown
}

TEST_CASE("restart recovery: after a graceful shutdown a host of 300 recovers with six datagrams") {
    ConnectedFleet fleet(300);
    fleet.run(kSecond);
    fleet.host(7).startShutdown(fleet.now + 3 * kSecond, fleet.now);
    fleet.run(3'100 * kMs);
    fleet.restart(7);
    CHECK(!fleet.isRecovered(7));
    CHECK(fleet.deliverDue() == 6);  // three queries and their replies
    CHECK(fleet.isRecovered(7));
    CHECK(fleet.mayLend(7));
    CHECK(fleet.host(7).recoveryCause() == RecoveryCause::ShutdownNotice);
    CHECK(fleet.run(20 * kSecond) == 0);
    CHECK(fleet.largest <= fleet::kMaxRecoveryDatagramBytes);
}

TEST_CASE("restart recovery: a restart before the notice's time waits for that time, at most for a lease") {
    for (const Micros until : {500 * kMs, 9 * kSecond}) {
        ConnectedFleet fleet(40);
        fleet.run(kSecond);
        fleet.host(0).startShutdown(fleet.now + until, fleet.now);
        fleet.deliverDue();
        const auto shutdownAt = fleet.now;
        fleet.restart(0);
        fleet.deliverDue();
        CHECK(!fleet.isRecovered(0));
        const auto expected = shutdownAt + kLease;
        CHECK(!fleet.host(0).isRecovered(expected - 1));
        CHECK(fleet.host(0).isRecovered(expected + 3 * kMs));  // notices are rounded to whole milliseconds
    }
}

TEST_CASE("restart recovery: each host has three other hosts as its notice holders") {
    ConnectedFleet fleet(40);
    CHECK(fleet.host(5).noticeHolders().size() == 3);
    for (const HostIndex holder : fleet.host(5).noticeHolders())
        CHECK(holder != HostIndex(5));
}

TEST_CASE("restart recovery: after a crash a host recovers once all peers have replied") {
    ConnectedFleet fleet(40);
    fleet.run(kSecond);
    fleet.restart(5);
    fleet.run(100 * kMs);
    CHECK(fleet.host(5).recoveryCause() == RecoveryCause::AllPeersReplied);
    CHECK(fleet.mayLend(5));
}

TEST_CASE("restart recovery: with a dead notice holder a crashed host may spend after a lease but not lend") {
    ConnectedFleet fleet(40);
    fleet.run(kSecond);
    const auto holders = fleet.host(5).noticeHolders();
    fleet.dead = {holders[1].value()};
    fleet.restart(5);
    fleet.run(kLease - 100 * kMs);
    CHECK(!fleet.isRecovered(5));
    fleet.run(200 * kMs);
    CHECK(fleet.isRecovered(5));
    CHECK(!fleet.mayLend(5));
    fleet.restart(holders[1].value());  // it lost any notice, so that it cannot mislead a later incarnation
    fleet.run(600 * kMs);
    CHECK(fleet.mayLend(5));
}

TEST_CASE("restart recovery: a dead notice holder no longer prevents lending when all notices are too old") {
    ConnectedFleet fleet(40);
    fleet.run(kSecond);
    fleet.dead = {fleet.host(5).noticeHolders()[2].value()};
    fleet.restart(5);
    fleet.run(RestartRecovery::kNoticeRetention + 10 * kMs);
    CHECK(fleet.mayLend(5));
}

TEST_CASE("restart recovery: a notice is invalid for the second incarnation after its writer") {
    ConnectedFleet fleet(3);
    fleet.run(kSecond);
    fleet.host(0).startShutdown(fleet.now, fleet.now);
    fleet.deliverDue();
    fleet.now += kLease + kSecond;
    fleet.restart(0);
    fleet.deliverDue();
    CHECK(fleet.host(0).recoveryCause() == RecoveryCause::ShutdownNotice);
    fleet.now += kSecond;
    fleet.dead = {2};  // only one peer replies, which is not enough without a notice
    fleet.restart(0);
    fleet.deliverDue();
    fleet.run(100 * kMs);
    CHECK(!fleet.isRecovered(0));
}

TEST_CASE("restart recovery: a notice is invalid once it is as old as its retention") {
    ConnectedFleet fleet(3);
    fleet.run(kSecond);
    fleet.host(0).startShutdown(fleet.now, fleet.now);
    fleet.deliverDue();
    fleet.now += RestartRecovery::kNoticeRetention;
    fleet.dead = {2};
    fleet.restart(0);
    fleet.deliverDue();
    CHECK(!fleet.isRecovered(0));
}

TEST_CASE(
    "restart recovery: the first query of a peer's incarnation is answered with a reply and one query") {
    RestartRecovery host(optionsOf(0, 3), kStart);
    RestartRecovery started(optionsOf(1, 3), kStart + kMs);
    const auto query = started.dueDatagrams(kStart + kMs).at(0).bytes;
    CHECK(host.handleDatagram(HostIndex(1), query, kStart + kMs).replies.size() == 2);
    CHECK(host.handleDatagram(HostIndex(1), query, kStart + kMs).replies.size() == 1);
}

TEST_CASE(
    "restart recovery: a message of an earlier incarnation is stale until kStaleIncarnationPeriod is over") {
    RestartRecovery host(optionsOf(0, 3), kStart);
    CHECK(host.observeIncarnation(HostIndex(1), 100, kStart) == IncarnationStatus::Known);
    CHECK(host.observeIncarnation(HostIndex(1), 200, kStart + 1) == IncarnationStatus::New);
    CHECK(host.observeIncarnation(HostIndex(1), 100, kStart + 2) == IncarnationStatus::Stale);
    CHECK(host.observeIncarnation(HostIndex(1), 200, kStart + 3) == IncarnationStatus::Known);
    const auto clockSetBack = kStart + 4 + fleet::PeerIncarnations::kStaleIncarnationPeriod;
    CHECK(host.observeIncarnation(HostIndex(1), 100, clockSetBack) == IncarnationStatus::New);
    const std::uint32_t afterWrapAround = 0x80000063u;
    CHECK(host.observeIncarnation(HostIndex(1), afterWrapAround, clockSetBack + 1) == IncarnationStatus::New);
    CHECK(host.counters().stale == 1);
    CHECK(host.counters().newIncarnations == 3);
}

TEST_CASE("restart recovery: datagrams that are malformed or come from no peer are counted and ignored") {
    RestartRecovery host(optionsOf(0, 3), kStart);
    RestartRecovery peer(optionsOf(1, 3), kStart);
    const auto query = peer.dueDatagrams(kStart).at(0).bytes;
    for (std::size_t length = 0; length < query.size(); ++length)
        CHECK(host.handleDatagram(HostIndex(1), query.substr(0, length), kStart).replies.empty());
    CHECK(host.handleDatagram(HostIndex(1), query + "x", kStart).replies.empty());
    for (const int from : {0, -1, 3})
        CHECK(host.handleDatagram(HostIndex(from), query, kStart).replies.empty());
    for (const int tag : {0, 5, 255}) {
        auto wrong = query;
        wrong[5] = char(tag);
        CHECK(host.handleDatagram(HostIndex(1), wrong, kStart).replies.empty());
    }
    CHECK(host.counters().malformed == query.size() + 7);
    CHECK(host.tableEntries() == 0);
}

TEST_CASE("restart recovery: a reply to an earlier incarnation is ignored") {
    RestartRecovery host(optionsOf(0, 3), kStart);
    RestartRecovery peer(optionsOf(1, 3), kStart);
    const auto query = peer.dueDatagrams(kStart).at(0).bytes;
    const auto reply = host.handleDatagram(HostIndex(1), query, kStart).replies.at(0).bytes;
    CHECK(reply.size() < fleet::kMaxRecoveryDatagramBytes);
    RestartRecovery restarted(optionsOf(1, 3), kStart + kSecond);
    restarted.handleDatagram(HostIndex(0), reply, kStart + kSecond);
    restarted.handleDatagram(HostIndex(2), reply, kStart + kSecond);
    CHECK(!restarted.isRecovered(kStart + kSecond));
}

TEST_CASE("restart recovery: a host that may not gossip sends nothing and recovers after a lease") {
    RestartRecovery host({HostIndex(0), 3, kLease, false}, kStart);
    CHECK(host.dueDatagrams(kStart).empty());
    CHECK(!host.isRecovered(kStart + kLease - 1));
    CHECK(host.isRecovered(kStart + kLease));
    CHECK(host.recoveryCause() == RecoveryCause::LeaseExpired);
}

TEST_CASE("restart recovery: a host without peers is recovered from the start") {
    RestartRecovery host({HostIndex(0), 1, kLease, true}, kStart);
    CHECK(host.isRecovered(kStart));
    CHECK(host.mayLend(kStart));
    CHECK(host.dueDatagrams(kStart).empty());
}
