// fleet::Arrival: what a restarted host may spend and lend. Cases by hand, then every interleaving of a small
// fleet: one home that crashes, leaves and starts again, two borrowers, messages lost, late and doubled.
#include "fleet/restart_recovery.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cereal/archives/binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <deque>
#include <sstream>
#include <unordered_set>

using namespace wingproxy;
using fleet::Micros;
using fleet::RestartRecovery;

namespace {

constexpr Micros kSecond = 1'000'000, kMs = 1'000, kStart = 1'000 * kSecond, kLease = 2 * kSecond;

RestartRecovery::Options terms(int host, int hosts) { return {host, hosts, kLease, true}; }

// Hosts whose datagrams arrive at once.
struct Joined {
    explicit Joined(int n) {
        for (int i = 0; i < n; ++i)
            hosts.emplace_back(terms(i, n), now);
    }
    std::size_t settle() {  // returns the datagrams told
        std::deque<std::pair<int, fleet::OutgoingDatagram>> wire;
        for (std::size_t i = 0; i < hosts.size(); ++i)
            if (alive(int(i)))
                for (auto& m : hosts[i].dueDatagrams(now))
                    wire.emplace_back(int(i), m);
        std::size_t told = 0;
        for (; !wire.empty(); wire.pop_front(), ++told) {
            const auto [from, m] = wire.front();
            largest = std::max(largest, m.bytes.size());
            if (!alive(m.to)) continue;
            for (auto& reply : hosts[std::size_t(m.to)].handleDatagram(from, m.bytes, now).replies)
                wire.emplace_back(m.to, reply);
        }
        return told;
    }
    std::size_t run(Micros span) {
        std::size_t told = 0;
        for (const auto end = now + span; now < end; now += 10 * kMs)
            told += settle();
        return told;
    }
    bool alive(int i) const { return !dead.contains(i); }
    void restart(int i) {
        dead.erase(i);
        hosts[std::size_t(i)] = RestartRecovery(terms(i, int(hosts.size())), now);
    }
    Micros now = kStart;
    std::size_t largest = 0;
    std::set<int> dead;
    std::vector<RestartRecovery> hosts;
};

}  // namespace

TEST_CASE("a host that left in order is clear with its first answer, and asks three of 300 for it") {
    Joined fleet(300);
    fleet.run(kSecond);
    for (const auto& h : fleet.hosts)
        REQUIRE((h.isRecovered(fleet.now) && h.mayLend(fleet.now)));
    CHECK(fleet.run(20 * kSecond) == 0);  // and then it is silent
    auto& leaver = fleet.hosts[7];
    leaver.startShutdown(fleet.now + 3 * kSecond, fleet.now);
    CHECK(leaver.mayLend(fleet.now));
    const auto notices = fleet.run(1'100 * kMs);
    CHECK(notices == 9);                // to three, every 0.5 s
    CHECK(!leaver.mayLend(fleet.now));  // a lease would outlast it
    fleet.run(2 * kSecond);
    fleet.restart(7);
    CHECK(!fleet.hosts[7].isRecovered(fleet.now));
    CHECK(fleet.settle() == 6);  // hellos and welcomes
    CHECK(fleet.hosts[7].isRecovered(fleet.now));
    CHECK(fleet.hosts[7].mayLend(fleet.now));
    CHECK(fleet.hosts[7].recoveryCause() == RestartRecovery::RecoveryCause::ShutdownNotice);
    CHECK(fleet.run(20 * kSecond) == 0);
    CHECK(fleet.largest <= RestartRecovery::kMaxDatagramBytes);
}

TEST_CASE(
    "a host that started again before its shutdown notice's time waits for that, and no longer than a "
    "lease") {
    for (const Micros until : {500 * kMs, 9 * kSecond}) {
        Joined fleet(40);
        fleet.run(kSecond);
        fleet.hosts[0].startShutdown(fleet.now + until, fleet.now);
        fleet.settle();
        const auto at = fleet.now;
        fleet.restart(0);
        fleet.settle();
        CHECK(!fleet.hosts[0].isRecovered(fleet.now));
        const auto over = std::min(std::max(at + until, at + kLease), at + kLease);
        CHECK(!fleet.hosts[0].isRecovered(over - 1));
        CHECK(fleet.hosts[0].isRecovered(over + 3 * kMs));  // told in whole milliseconds
    }
}

TEST_CASE(
    "a crash: everyone's answer or a lease, and one dead holder keeps a host from lending, not from "
    "spending") {
    Joined fleet(40);
    fleet.run(kSecond);
    const auto holders = fleet.hosts[5].holders();
    CHECK(holders.size() == 3);
    fleet.restart(5);
    fleet.run(100 * kMs);
    CHECK(fleet.hosts[5].recoveryCause() == RestartRecovery::RecoveryCause::AllPeersReplied);
    CHECK(fleet.hosts[5].mayLend(fleet.now));
    fleet.dead = {holders[1]};
    fleet.restart(5);
    fleet.run(kLease - 100 * kMs);
    CHECK(!fleet.hosts[5].isRecovered(fleet.now));
    fleet.run(200 * kMs);
    CHECK(fleet.hosts[5].isRecovered(fleet.now));
    CHECK(!fleet.hosts[5].mayLend(fleet.now));
    fleet.restart(holders[1]);  // it knows of no shutdown notice, and so can mislead no later life
    fleet.run(600 * kMs);
    CHECK(fleet.hosts[5].mayLend(fleet.now));
    fleet.dead = {holders[2]};
    fleet.restart(5);
    fleet.run(RestartRecovery::kNoticeRetention + 10 * kMs);
    CHECK(fleet.hosts[5].mayLend(fleet.now));  // no shutdown notice from before it counts any more
}

TEST_CASE("a shutdown notice is of the life before: not after a crash in between, not when it is old") {
    Joined fleet(3);
    fleet.run(kSecond);
    fleet.hosts[0].startShutdown(fleet.now, fleet.now);
    fleet.settle();
    fleet.now += kLease + kSecond;
    fleet.restart(0);
    fleet.settle();
    CHECK(fleet.hosts[0].recoveryCause() == RestartRecovery::RecoveryCause::ShutdownNotice);
    fleet.now += kSecond;
    fleet.dead = {2};  // only one holder answers: all others are not everyone
    fleet.restart(0);
    fleet.settle(), fleet.run(100 * kMs);
    CHECK(!fleet.hosts[0].isRecovered(fleet.now));
    fleet.dead.clear();
    fleet.restart(0), fleet.run(100 * kMs);
    fleet.hosts[0].startShutdown(fleet.now, fleet.now);
    fleet.settle();
    fleet.now += RestartRecovery::kNoticeRetention;
    fleet.dead = {2};
    fleet.restart(0);
    fleet.settle();
    CHECK(!fleet.hosts[0].isRecovered(fleet.now));
}

TEST_CASE("what an earlier life said late changes nothing, until the clock was set back for long") {
    RestartRecovery a(terms(0, 3), kStart);
    CHECK(a.observeIncarnation(1, 100, kStart) == RestartRecovery::IncarnationStatus::Known);
    CHECK(a.observeIncarnation(1, 200, kStart + 1) == RestartRecovery::IncarnationStatus::New);
    CHECK(a.observeIncarnation(1, 100, kStart + 2) == RestartRecovery::IncarnationStatus::Stale);
    CHECK(a.observeIncarnation(1, 200, kStart + 3) == RestartRecovery::IncarnationStatus::Known);
    CHECK(a.observeIncarnation(1, 100, kStart + 4 + RestartRecovery::kStaleIncarnationPeriod) ==
          RestartRecovery::IncarnationStatus::New);
    CHECK(a.observeIncarnation(1, 0x80000063u, kStart + 5 + RestartRecovery::kStaleIncarnationPeriod) ==
          RestartRecovery::IncarnationStatus::New);  // numbers go round
    CHECK(a.counters().stale == 1);
    CHECK(a.counters().newIncarnations == 3);
}

// Datagrams cut short, longer, with each byte changed, from nobody: dropped and counted, never half believed.
TEST_CASE("malformed datagrams of the fleet change nothing") {
    RestartRecovery a(terms(0, 3), kStart), b(terms(1, 3), kStart);
    const auto hello = b.dueDatagrams(kStart).at(0).bytes;
    for (std::size_t n = 0; n < hello.size(); ++n)
        CHECK(a.handleDatagram(1, hello.substr(0, n), kStart).replies.empty());
    CHECK(a.handleDatagram(1, hello + "x", kStart).replies.empty());
    for (const int from : {0, -1, 3})
        CHECK(a.handleDatagram(from, hello, kStart).replies.empty());
    for (int tag : {0, 5, 255}) {
        auto wrong = hello;
        wrong[5] = char(tag);
        CHECK(a.handleDatagram(1, wrong, kStart).replies.empty());
    }
    CHECK(a.counters().malformed == hello.size() + 7);
    CHECK(a.tableEntries() == 0);
    const auto welcome = a.handleDatagram(1, hello, kStart).replies.at(0).bytes;
    CHECK(welcome.size() < RestartRecovery::kMaxDatagramBytes);
    // To another life than this one it says nothing.
    RestartRecovery later(terms(1, 3), kStart + kSecond);
    later.handleDatagram(0, welcome, kStart + kSecond);
    later.handleDatagram(2, welcome, kStart + kSecond);
    CHECK(!later.isRecovered(kStart + kSecond));
}

namespace {

// ---- every interleaving. Host 0 is the home of one chunk (with several each could only be lent in fewer
// ways), hosts 1 and 2 borrow and are its holders. Whatever happens, nobody else may hold the chunk when the
// home spends it, nor both borrowers at once.

enum class Kind : std::uint8_t { Fleet, Ask, Grant };
struct Flying {
    Kind kind = Kind::Fleet;
    int from = 0, to = 0;
    std::string bytes;       // Fleet
    std::uint32_t life = 0;  // Grant
    Micros askedAt = 0;      // Ask, Grant
    template <typename A>
    void serialize(A& a) {
        a(kind, from, to, bytes, life, askedAt);
    }
};
struct World {
    Micros now = kStart;
    bool alive = true, leaving = false;
    int starts = 0, leaves = 0, asks = 0;
    RestartRecovery hosts[3] = {RestartRecovery(terms(0, 3), kStart),
                                RestartRecovery(terms(1, 3), kStart - 20 * kSecond),
                                RestartRecovery(terms(2, 3), kStart - 20 * kSecond)};
    int lentTo = 0;  // by the life that runs
    Micros lentUntil = 0;
    Micros askedAt[3] = {}, heldUntil[3] = {};
    std::vector<Flying> wire;
    template <typename A>
    void serialize(A& a) {
        a(now, alive, leaving, starts, leaves, asks, hosts[0], hosts[1], hosts[2], lentTo, lentUntil);
        for (int i = 0; i < 3; ++i)
            a(askedAt[i], heldUntil[i]);
        a(wire);
    }
    std::string key() {
        std::ostringstream out;
        cereal::BinaryOutputArchive archive(out);
        archive(*this);
        return out.str();
    }
};

struct Explorer {
    // Rules left out on purpose, so that what is looked for can be seen to be found.
    bool lendsUnacknowledged = false, believesStale = false, lendsWhileLeaving = false;
    int mostStarts = 2, mostLeaves = 1, mostAsks = 1, borrowers = 1;
    std::size_t mostWire = 1;
    bool doubles = false;
    Micros tick = kSecond, end = kStart + 3 * kSecond;

    std::size_t states = 0;
    std::string broken;

    static bool wrong(const World& w) {
        const bool one = w.heldUntil[1] > w.now, two = w.heldUntil[2] > w.now;
        const bool home = w.alive && w.hosts[0].isRecovered(w.now) && w.lentUntil <= w.now;
        return int(one) + int(two) + int(home) > 1;
    }
    // A message that is told is lost, or there at once, or held for as long as it likes.
    void told(std::vector<World>& from, const Flying& m) const {
        std::vector<World> all;
        for (auto& w : from) {
            for (auto& there : deliver(w, m))
                all.push_back(std::move(there));
            if (w.wire.size() < mostWire) {
                all.push_back(w);
                all.back().wire.push_back(m);
            }
            all.push_back(std::move(w));
        }
        from = std::move(all);
    }
    void told(std::vector<World>& from, int who, const std::vector<fleet::OutgoingDatagram>& all) const {
        for (const auto& m : all)
            if (who == 0 || m.to == 0) told(from, {Kind::Fleet, who, m.to, m.bytes, 0, 0});
    }
    std::vector<World> deliver(World w, const Flying& m) const {
        std::vector<World> out;
        if (m.to == 0 && !w.alive) return {w};
        auto& to = w.hosts[m.to];
        if (m.kind == Kind::Fleet) {
            const auto heard = to.handleDatagram(m.from, m.bytes, w.now);
            if (m.to != 0 && heard.status == RestartRecovery::IncarnationStatus::New) w.heldUntil[m.to] = 0;
            out = {w};
            told(out, m.to, heard.replies);
            return out;
        }
        if (m.kind == Kind::Ask) {
            const bool own = w.hosts[0].isRecovered(w.now) && w.lentUntil <= w.now;
            bool mayLend = w.hosts[0].mayLend(w.now);
            if (lendsUnacknowledged && !w.leaving) mayLend = w.hosts[0].isRecovered(w.now);
            if (lendsWhileLeaving && w.leaving) mayLend = w.hosts[0].isRecovered(w.now);
            const bool again = w.lentTo == m.from && w.lentUntil > w.now;
            out = {w};
            if (!(own || again) || !mayLend) return out;
            out[0].lentTo = m.from;
            out[0].lentUntil = w.now + kLease;
            told(out, {Kind::Grant, 0, m.from, {}, w.hosts[0].incarnation(), m.askedAt});
            return out;
        }
        const auto life = to.observeIncarnation(0, m.life, w.now);
        if (life == RestartRecovery::IncarnationStatus::Stale && !believesStale) return {w};
        if (life == RestartRecovery::IncarnationStatus::New) w.heldUntil[m.to] = 0;
        if (w.askedAt[m.to] == m.askedAt) w.heldUntil[m.to] = std::max(w.heldUntil[m.to], m.askedAt + kLease);
        return {w};
    }
    std::vector<World> next(const World& w) const {
        std::vector<World> all;
        const auto add = [&](std::vector<World> some) {
            for (auto& s : some)
                all.push_back(std::move(s));
        };
        for (std::size_t i = 0; i < w.wire.size(); ++i) {
            auto without = w;
            without.wire.erase(without.wire.begin() + std::ptrdiff_t(i));
            add(deliver(without, w.wire[i]));
            if (doubles) add(deliver(w, w.wire[i]));  // it comes once more
        }
        if (w.now < end) {  // time passes; the home says what is due
            auto later = w;
            later.now += tick;
            for (int b : {1, 2})
                if (later.heldUntil[b] <= later.now) later.heldUntil[b] = 0;
            std::vector<World> out{later};
            if (later.alive) {
                const auto due = out[0].hosts[0].dueDatagrams(out[0].now);
                told(out, 0, due);
            }
            add(out);
        }
        for (int b = 1; b <= borrowers; ++b)
            if (w.asks < mostAsks && w.askedAt[b] < w.now) {
                auto asks = w;
                ++asks.asks;
                asks.askedAt[b] = w.now;
                std::vector<World> out{asks};
                told(out, {Kind::Ask, b, 0, {}, 0, w.now});
                add(out);
            }
        if (w.alive && w.starts < mostStarts) {
            auto crashed = w;
            crashed.alive = crashed.leaving = false;
            all.push_back(crashed);
            if (!w.leaving && w.leaves < mostLeaves) {
                auto leaves = w;
                leaves.leaving = true;
                ++leaves.leaves;
                leaves.hosts[0].startShutdown(w.now + kSecond, w.now);
                all.push_back(leaves);
            }
        }
        if (!w.alive) {
            auto back = w;
            back.alive = true;
            ++back.starts;
            back.hosts[0] = RestartRecovery(terms(0, 3), w.now + back.starts * kMs);
            back.lentTo = 0, back.lentUntil = 0;
            const auto due = back.hosts[0].dueDatagrams(back.now + back.starts * kMs);
            std::vector<World> out{back};
            told(out, 0, due);
            add(out);
        }
        return all;
    }
    void run(std::size_t most) {
        std::unordered_set<std::string> seen;
        std::deque<World> open;
        World first;
        first.hosts[0] = RestartRecovery(terms(0, 3), kStart - 20 * kSecond);  // it has long been there
        open.push_back(first);
        seen.insert(open.front().key());
        for (; !open.empty() && broken.empty() && seen.size() < most; open.pop_front()) {
            for (auto& w : next(open.front())) {
                if (wrong(w)) {
                    broken = fmt::format("at {} ms after {} starts, {} leaves", (w.now - kStart) / kMs,
                                         w.starts, w.leaves);
                    break;
                }
                if (seen.insert(w.key()).second) open.push_back(std::move(w));
            }
        }
        states = seen.size();
        whole = open.empty() && broken.empty();
    }
    bool whole = false;
};

}  // namespace

TEST_CASE("every interleaving of a small fleet: a chunk is never with two") {
    Explorer explorer;
    explorer.run(4'000'000);
    MESSAGE(explorer.states, " states, whole: ", explorer.whole);
    CHECK_MESSAGE(explorer.broken.empty(), explorer.broken);
}

TEST_CASE("the explorer finds what each rule guards against") {
    Explorer stale, leaving, unacknowledged;
    stale.believesStale = true;
    stale.run(4'000'000);
    CHECK(!stale.broken.empty());
    leaving.lendsWhileLeaving = true;
    leaving.run(4'000'000);
    CHECK(!leaving.broken.empty());
    unacknowledged.lendsUnacknowledged = true;
    unacknowledged.run(4'000'000);
    CHECK(!unacknowledged.broken.empty());
    MESSAGE(stale.broken, "; ", leaving.broken, "; ", unacknowledged.broken);
}
