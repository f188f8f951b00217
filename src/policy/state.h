// What the decision module keeps: plain types, no decision and no tuned value (those are in policy.cpp).
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

#include "fleet/restart_recovery.h"
#include "policy/peer_message.h"
#include "wingproxy/policy.h"

namespace wingproxy {

constexpr Micros kNever = -1'000'000'000'000'000'000;

struct Rate {  // units a second, exponentially forgotten
    double value = 0;
    Micros at = 0;
    double get(Micros now, Micros memory) const { return value * std::exp(-double(now - at) / double(memory)); }
    void add(Micros now, Micros memory, double units) {
        value = get(now, memory) + units * 1e6 / double(memory);
        at = now;
    }
};

// A volume's use of one cell through this host, and what of its share is left there.
struct Account { Rate own; double share = 0; Micros at = 0; };

struct Loan { int peer; int count; Micros until; std::uint32_t stamp; };             // a grant of ours
struct Borrow {
    int count = 0;
    Micros until = 0;
    std::uint32_t stamp = 0;
    bool open = false;
    Micros askedAt = 0;
};
struct PeerUse { double rate = 0; Micros at = kNever; double served = 0; };  // served: by cold nodes, to all

// What a volume or a cell is asked through this host, what of that was told, and what the others are asked.
struct Shared {
    Rate use, told;
    PeerUse others;
    double borne = 0;                   // units that cold nodes answered here, not told yet
    std::set<int> peers;
    int cell = -1, toldOut = 0, volumes = 0;    // volumes: of this key
};
// Kept by the meeting host of a key.
struct Member { Rate use; int out = 0; };
struct Roll {
    std::map<int, Member> members;
    std::set<int> joined;
    double told = 0, toldServed = 0, waits = 0, outs = 0;
    Rate toldWait, served;              // served: units answered to all, told while a node there is cold
    Micros coldUntil = kNever;
    Member sum(Micros now, Micros memory) const {
        Member all{{0, now}};
        for (const auto& [host, m] : members) all.use.value += m.use.get(now, memory), all.out += m.out;
        return all;
    }
};

struct Volume {
    std::uint64_t hash = 0;
    int plan = -1, hosts = 1;
    Rate own;
    std::map<int, Account> byCell;
    std::vector<Rate> byClass;
    Shared* shared = nullptr;
    int askFrom = -1;                   // the peer last asked: asks go round
    double reserveTokens = 0;
    Micros reserveAt = 0, lastAsk = kNever, tokensAt = 0, neededAt = 0;     // neededAt: asked for, here or by a peer
    bool limited = false;
    double tokens = 0, heldUnits = 0;
    double baseRate = 0, baseCap = 0, chunkRate = 0, chunkCap = 0;
    int home = 0;                       // chunks that live here
    std::vector<Loan> lent;
    // Chunks on loan, but for one peer's: of each the largest grant still running at the last refill, so that
    // a chunk never fills two buckets for the same time.
    int lentChunks(int except = -1) const {
        std::map<int, int> most;
        for (const auto& l : lent)
            if (l.until > tokensAt && l.peer != except) most[l.peer] = std::max(most[l.peer], l.count);
        int sum = 0;
        for (const auto& [peer, count] : most) sum += count;
        return sum;
    }
    std::map<int, Borrow> borrowed;     // by home host
};

struct Node {
    explicit Node(int attemptsOut = 0) : out(attemptsOut) {}
    int out = 0;
    bool listed = false;
    NodeInfo info;
    double bound = 0, latency = 0, units = 1, perUnit = 0;
    double errors = 0;                  // part of its answers, smoothed
    double floorNow = 0, floorOld = 0;
    Micros floorAt = 0, progressAt = 0, shrunkAt = kNever, trickleAt = kNever, heardAt = kNever, newestSent = kNever,
           probedAt = kNever;
    Micros downUntil = kNever, listedAt = kNever, servesUntil = kNever;     // servesUntil: while it drains
    int failures = 0;
    bool ready() const { return listed && info.state == NodeState::Ready; }
    double floor() const { return floorOld > 0 ? std::min(floorOld, floorNow) : floorNow; }
    std::deque<std::pair<Micros, double>> coldSends;
    double coldTurn = 0, coldDraw = 0;  // units; a part of a request, drawn
};

struct Pending {
    Request info;
    const ClassInfo* cls = nullptr;
    Volume* volume = nullptr;
    Micros arrival = 0, due = 0, sentAt = 0, firstMaybeRun = kNever;
    std::uint64_t seq = 0;
    int cell = -1, attempts = 0, out = 0, pinnedNode = -1;
    bool filling = false, worked = false;       // no place at a node: before its last byte, and while only bytes pass
    bool done = false, held = false, inReserve = false, inShare = true, tookTokens = false, maybeRun = false,
         streaming = false;
    std::map<int, int> sentTo;          // attempt number -> node, while out
};

constexpr double kNoLevel = 1e9;        // without end: whatever is asked lies inside the share

struct Cell {
    std::vector<int> nodes;
    std::ptrdiff_t ready = 0;           // of them
    std::map<std::pair<Micros, std::uint64_t>, Pending*> held;  // earliest due first
    Shared* shared = nullptr;           // units due that are asked of it
    std::uint32_t key = 0;
    double most = 0;                    // asked by any volume, as a level
    double level = kNoLevel;            // units a second and weight due here beyond the reserves
};

struct KeyTurn {
    std::deque<RequestId> order;
    int strayOut = 0;
    Micros restUntil = kNever;
    RequestId restBy = 0;
};

// All of it: what one host knows between two batches.
struct Memory {
    Settings set;
    Micros now = 0, startedAt = 0, settledAt = -kNever, lastTell = kNever;
    Micros lastForget = kNever, nextList = 0, listWait = 0, shortestLatencyObjective = 0;
    fleet::RestartRecovery recovery;             // this run of the host, and what is out from the one before
    std::uint64_t nextSeq = 0;
    std::vector<Action> actions;
    std::vector<Node> nodes;
    std::vector<int> unusedNodes;       // places in it
    std::map<std::string, int> nodeIndex;
    std::vector<Cell> cells;
    std::unordered_map<RequestId, Pending> requests;    // never walked where the order could matter
    std::map<std::string, Volume> volumes;
    std::map<std::uint64_t, Volume*> byHash;
    std::map<std::uint32_t, Shared> shared;     // by key, of a volume or a cell
    std::map<std::uint32_t, Roll> rolls;        // of the keys whose meeting host this is
    std::map<int, std::string> outbox;
    double askBytes = 0;                        // that asks may still cost
    std::map<std::string, KeyTurn> turns;
    std::deque<Micros> taken, furtherSends;
    std::vector<std::pair<int, peer::Record>> asks;   // of this batch, served in order of host number
    std::set<int> dirty;                        // cells to look at when the batch ends
    bool handedOver = false;                    // a successor has the rights; what is open here is finished

    Cell& cellAt(int cell) {
        if (std::size_t(cell) >= cells.size()) cells.resize(std::size_t(cell) + 1);
        Cell& c = cells[cell];
        if (!c.shared) {
            c.shared = &shared[c.key = std::uint32_t(peer::hashOf(std::to_string(cell)))];
            c.shared->cell = cell;
        }
        return c;
    }

    KeyTurn* turnOf(const Pending& r) {
        if (!r.cls || !r.cls->fifoByKey || r.info.key.empty()) return nullptr;
        const auto it = turns.find(r.info.key);
        return it == turns.end() ? nullptr : &it->second;
    }

    Pending* find(RequestId id) {
        const auto it = requests.find(id);
        return it == requests.end() ? nullptr : &it->second;
    }

    bool coldNode(const Node& n) const {
        return n.info.startedUs > 0 && now - n.info.startedUs < set.slowStartDurationUs;
    }

    bool sameGroup(const Pending& r, const Node& n) const {
        if (r.pinnedNode < 0 || r.cls->keyScope == KeyScope::Global) return true;
        const NodeInfo& first = nodes.at(r.pinnedNode).info;
        return r.cls->keyScope == KeyScope::Cell ? first.cell == n.info.cell : first.zone == n.info.zone;
    }

    void unhold(Pending& r) {
        if (!r.held) return;
        r.held = false;
        if (!r.tookTokens) r.volume->heldUnits = std::max(0.0, r.volume->heldUnits - r.info.units);
        cellAt(r.cell).held.erase({r.due, r.seq});
    }

    void act(const Action& action) { actions.push_back(action); }

    std::size_t tableEntries() const {                  // entries in all tables
        return nodeIndex.size() + volumes.size() + shared.size() + rolls.size() + requests.size() + turns.size() +
               recovery.tableEntries();
    }
};

}  // namespace wingproxy
