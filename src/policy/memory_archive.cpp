#include "policy/memory_archive.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

#include "policy/node_info_archive.h"

namespace wingproxy {

template <typename A>
void serialize(A& a, Rate& r) {
    a(r.value, r.at);
}
template <typename A>
void serialize(A& a, Account& c) {
    a(c.own, c.share, c.at);
}
template <typename A>
void serialize(A& a, Loan& l) {
    a(l.peer, l.count, l.until, l.stamp);
}
template <typename A>
void serialize(A& a, Borrow& b) {
    a(b.count, b.until, b.stamp, b.open, b.askedAt);
}
template <typename A>
void serialize(A& a, PeerUse& u) {
    a(u.rate, u.at, u.served);
}
template <typename A>
void serialize(A& a, Shared& s) {
    a(s.use, s.told, s.others, s.borne, s.peers, s.cell, s.toldOut, s.volumes);
}
template <typename A>
void serialize(A& a, Member& m) {
    a(m.use, m.out);
}
template <typename A>
void serialize(A& a, Roll& r) {
    a(r.members, r.joined, r.told, r.toldServed, r.waits, r.outs, r.toldWait, r.served, r.coldUntil);
}
template <typename A>
void serialize(A& a, Volume& v) {
    a(v.hash, v.plan, v.hosts, v.own, v.byCell, v.byClass, v.askFrom, v.reserveTokens, v.reserveAt, v.lastAsk,
      v.tokensAt, v.neededAt, v.limited, v.tokens, v.baseRate, v.baseCap, v.chunkRate, v.chunkCap, v.home,
      v.lent, v.borrowed);
}
template <typename A>
void serialize(A& a, Node& n) {
    a(n.listed, n.info, n.bound, n.latency, n.units, n.perUnit, n.errors, n.floorNow, n.floorOld, n.floorAt,
      n.progressAt, n.shrunkAt, n.trickleAt, n.heardAt, n.newestSent, n.probedAt, n.downUntil, n.listedAt,
      n.servesUntil, n.failures, n.coldSends, n.coldTurn, n.coldDraw);
}
template <typename A>
void serialize(A& a, Cell& c) {
    a(c.nodes, c.ready, c.key, c.most, c.level);
}
template <typename A>
void serialize(A& a, Memory& m) {
    a(m.startedAt, m.settledAt, m.lastTell, m.lastForget, m.recovery, m.nextSeq, m.nodes, m.unusedNodes,
      m.nodeIndex, m.cells, m.volumes, m.shared, m.rolls, m.askBytes, m.taken, m.furtherSends);
}

namespace {

// Of what serialize() writes: to be raised with every change there, as a process of the version before hands
// over too.
constexpr double kLayout = 2;

// Both processes must mean the same by an index of a plan, a class, a cell or a host, and write the same
// fields.
std::vector<double> fingerprint(const Settings& s) {
    std::vector<double> sum{kLayout, double(s.hostIndex), double(s.hostCount), double(s.cellCount),
                            double(s.classes.size())};
    for (const auto& p : s.plans) sum.insert(sum.end(), {p.baseRate, p.guaranteedRate, p.limit, p.limitBurst});
    return sum;
}

// Nothing that an index reaches may lie outside what it points into.
bool sound(const Memory& m) {
    const auto place = [&](int i) { return i >= 0 && std::size_t(i) < m.nodes.size(); };
    for (const auto& [id, i] : m.nodeIndex)
        if (!place(i)) return false;
    for (const int i : m.unusedNodes)
        if (!place(i)) return false;
    for (const auto& c : m.cells)
        for (const int i : c.nodes)
            if (!place(i)) return false;
    for (const auto& [name, v] : m.volumes)
        if (v.plan >= int(m.set.plans.size()) || v.hosts < 1) return false;
    for (const auto& [key, s] : m.shared)
        if (s.cell >= int(m.cells.size())) return false;
    return true;
}

}  // namespace

std::string saveMemory(const Memory& memory) {
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(fingerprint(memory.set), const_cast<Memory&>(memory));  // one function writes and reads
    return out.str();
}

bool loadMemory(const std::string& bytes, Memory& into) {
    Memory fresh;
    fresh.set = into.set;
    try {
        std::istringstream in(bytes);
        cereal::PortableBinaryInputArchive archive(in);
        std::vector<double> theirs;
        archive(theirs);
        if (theirs != fingerprint(into.set)) return false;
        archive(fresh);
    } catch (const std::exception&) {  // cut short, or sizes that cannot be
        return false;
    }
    if (!sound(fresh)) return false;
    fresh.now = into.now;
    fresh.shortestLatencyObjective = into.shortestLatencyObjective;
    fresh.actions = std::move(into.actions);
    for (auto& c : fresh.cells)
        if (const auto s = fresh.shared.find(c.key); c.key != 0 && s != fresh.shared.end())
            c.shared = &s->second;
    for (auto& [name, v] : fresh.volumes) {
        fresh.byHash.emplace(v.hash, &v);
        v.shared = &fresh.shared[std::uint32_t(v.hash)];
    }
    into = std::move(fresh);  // maps keep their elements: the pointers stay good
    return true;
}

}  // namespace wingproxy
