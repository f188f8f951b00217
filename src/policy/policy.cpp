// The decisions of wingproxy, all of them. The interface is include/wingproxy/policy.h.
// docs/design.md says what of the design was kept, what was changed and why.
#include "wingproxy/policy.h"

#include "policy/memory_archive.h"
#include "policy/peer_message.h"
#include "policy/state.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace wingproxy {
namespace {

// -------------- constants: of the network and this program, or parts and multiples of what the settings give

// The design's cut of a limit, rounded per host. Where hosts are many a home is still cut in a few: a host
// with little to send would else keep all of its home for it, and the busy one could borrow nothing.
constexpr int kChunks = 20, kLeastHome = 4;
// Life of a loan: what a dead borrower or a restarted home costs. Long against a message, short for a surge.
constexpr Micros kLease = 2'000'000;
// Spreads a backlog, notices what is due; far below any aim, far above a batch.
constexpr Micros kTick = 10'000;
// Use is told when it has changed by this part of what was told, or by one mean request; not more often than
// this; a steady sum again in kSumTerm, and a word older than kPeerForget counts for nothing.
constexpr double kTellPart = 0.3;
constexpr Micros kTellEvery = 200'000, kTellMemory = 2'000'000, kSumTerm = 3'000'000, kPeerForget = 8'000'000;
constexpr double kBytesPerRequest = 64, kBytesKept = 1024;  // pay for asks: for each taken, and a reserve
constexpr Micros kAskGap = 50'000;        // between two asks for one volume: two crossings of the network
constexpr std::size_t kMessageBytes = 256;  // what the wire carries
constexpr Micros kRateMemory = 1'000'000;   // arrival rates: the reserve's store holds a second too
constexpr double kDemandMargin = 1.25;      // claims follow demand with room for chance
constexpr double kBacklogSpread = 0.5;      // s; a backlog asks for chunks that would clear it in this time
constexpr double kDearerSpan = 0.5;     // s; what a volume's cheaper class leaves of its due to a dearer one

constexpr double kFirstBound = 3;       // requests out at a node: the design's "a few"
constexpr double kCalmBound = 2;        // at the least, from each head, at a node whose wait is short
constexpr double kMostBound = 16;       // never more, however well a node looks
constexpr double kStretch = 1.6;  // latency over the node's floor at which its queue is taken as too long
constexpr double kAimPart = 0.3;  // and this part of the shortest aim: the rest belongs to the wait here
constexpr double kShrink = 0.85;        // on a long queue, at most once in a latency
constexpr Micros kFloorSpan = 5'000'000;    // a floor is the least of two such spans: pauses end well within
constexpr double kSmooth = 0.2;             // weight of the newest latency
constexpr Micros kStallLeast = 400'000;     // silence with work out: beyond an ordinary pause
constexpr double kStallLatencies = 4;       // or this many latencies, where a node is slow by nature
// A node of whose answers all are errors looks so many aims further away to a new object, until it was not
// heard for so long.
constexpr double kErrorAims = 4;
constexpr Micros kErrorMemory = 5'000'000;
// An answer is lost, or its connection fell silent, when the node has answered what was sent later: after
// this part of the shortest aim, for another attempt to be in time, and this multiple of what it takes there.
constexpr double kLostPart = 0.5, kLostTimes = 4;
// So much older, where the node got nothing later from here, it is probed: a probe waits there as a request.
constexpr double kProbeTimes = 1.5;
constexpr Micros kTrickleGap = 300'000;     // a suspect still gets one request this often: shows recovery
// A node's queue is kept short for what is worth more: spare work is sent while an answer takes at most this
// part of the shortest aim, shared work this part, reserved work while it can be answered in time.
constexpr double kSpareWait = 0.7, kShareWait = 1;
// A queue that was seen is worked off meanwhile: by its own length in as much time.
constexpr double kDrain = 1;
// A cell's water level, at each look: slower up than down, as what all heads let in at once fills any queue,
// faster where the node is as good as idle. The most asked is kept: a head may see it seldom.
constexpr double kLevelStep = 0.92, kLevelRise = 1.02, kLevelIdle = 1.08, kMostMemory = 0.97;
// Weight of a report in the time that each request out adds to a wait: over about fifty, so that a pause of
// a node is not taken for its pace. From nothing, so that the first few say little.
constexpr double kPaceSmooth = 0.02;
constexpr double kColdAhead = 0.5;        // of the push beyond its answers that the rule leaves a cold node
constexpr Micros kListRetry = 100'000;      // first wait after a failed call to discovery; doubles
constexpr Micros kListTurn = 25'000;    // calls anew of more hosts than these leave so far apart, on average
constexpr int kFew = 8;             // today's most: it answers in turn, and fails what waits too long
constexpr double kDrainPart = 0.7;          // of its grace a node serves on where its cell has no other yet
constexpr double kKeptPart = 0.25;  // of a bucket, for one more request of each client that is connected
constexpr double kRenewPart = 0.7;          // the list is asked for again in this part of its term
// What was not asked for or listed for so long is forgotten: beyond any loan, any cold start and any word of
// its use that a peer still counts.
constexpr Micros kForget = 30'000'000, kForgetEvery = 1'000'000;
constexpr Micros kLeastAdvice = 50'000;     // coming back sooner meets the same backlog
constexpr Micros kMovedAdvice = 1'000;      // a try that names its object's shard meets none

constexpr std::uint64_t kTickToken = 1;     // the one timer there is
constexpr Micros kNoAim = 1'000'000;         // stands in where no class states one

}  // namespace

struct Policy::Impl : Memory {
    Impl(const Settings& settings, Micros t) {
        set = settings, now = startedAt = t, askBytes = kBytesKept;
        recovery = fleet::RestartRecovery({set.hostIndex, set.hostCount, kLease, set.mayGossip}, t);
        cells.resize(static_cast<std::size_t>(std::max(set.cellCount, 0)));
        shortestLatencyObjective = set.shortestLatencyObjective();
        if (shortestLatencyObjective == 0) shortestLatencyObjective = kNoAim;
        act(SetTimer{kTick, kTickToken});
        nextList = now + spread(listTurn());
        watch(), settle(), greet();
    }


    // ------------------------------------------------------------ leases

    Volume& volumeOf(const Request& r) {
        auto [it, fresh] = volumes.try_emplace(r.volume);
        Volume& v = it->second;
        if (!fresh) return v;
        v.hash = peer::hashOf(r.volume);
        byHash.emplace(v.hash, &v);
        v.plan = r.planIndex;
        v.hosts = std::max(1, r.volumeHosts);
        v.shared = &shared[std::uint32_t(v.hash)];
        ++v.shared->volumes;
        v.reserveAt = v.tokensAt = now;
        if (v.plan < 0) return v;
        const PlanInfo& p = set.plans.at(v.plan);
        v.reserveTokens = p.guaranteedRate / v.hosts + set.maxUnits;
        if (!(v.limited = p.limit > 0)) return v;
        // Base + home = limit / hosts at every host, in rate and burst: the sum needs no message to arrive.
        const double homeRate = p.limit / v.hosts, homeCap = p.limitBurst / v.hosts;
        v.home = std::max(kLeastHome, int(std::lround(double(kChunks) / v.hosts)));
        v.baseRate = std::min(p.guaranteedRate / v.hosts, homeRate);
        v.baseCap = homeCap * v.baseRate / homeRate;
        v.chunkRate = (homeRate - v.baseRate) / v.home;
        v.chunkCap = (homeCap - v.baseCap) / v.home;
        // A bucket starts empty, as an earlier life of this host may have spent it, and fills from there.
        v.tokensAt = v.hosts == 1 ? startedAt : std::min(settledAt, now);
        refill(v);
        if (handedOver) strip(v, 0);
        return v;
    }

    // What a successor has the rights of: these units are left, and it fills, borrows and lends no more.
    void strip(Volume& v, double units) {
        v.tokens = v.baseCap = units;
        v.baseRate = v.chunkRate = v.chunkCap = 0;
        v.lent.clear(), v.borrowed.clear();
    }

    std::string handOver(Micros t) {
        now = t;
        std::map<Volume*, double> kept;
        for (auto& [name, v] : volumes) {
            refill(v);
            kept[&v] = std::clamp(std::max(v.heldUnits, kKeptPart * v.tokens), 0.0, std::max(0.0, v.tokens));
            v.tokens -= kept[&v];
        }
        const auto bytes = saveMemory(*this);
        for (auto& [v, units] : kept) strip(*v, units);
        handedOver = true;
        return bytes;
    }

    // An earlier life may have lent chunks: none is spent or lent until fleet::Arrival is sure they are back.
    bool settled() const { return settledAt <= now; }

    void settle() {
        if (settled() || !recovery.isRecovered(now)) return;
        for (auto& [name, v] : volumes) refill(v);  // up to now without the home
        settledAt = now;
    }

    void greet() {
        for (const auto& m : recovery.dueDatagrams(now)) act(SendPeerMessage{m.to, m.bytes});
    }

    int chunksHeld(const Volume& v) const {
        int n = settled() || v.hosts == 1 ? std::max(0, v.home - v.lentChunks()) : 0;
        for (const auto& [peer, b] : v.borrowed)
            if (b.until > now) n += b.count;
        return n;
    }

    void refill(Volume& v) {
        if (!v.limited) return;
        const int n = chunksHeld(v);
        v.tokens += (v.baseRate + n * v.chunkRate) * double(now - v.tokensAt) / 1e6;
        v.tokens = std::min(v.tokens, v.baseCap + n * v.chunkCap);
        v.tokensAt = now;
    }

    double demandOf(const Volume& v) const {
        return v.own.get(now, kRateMemory) * kDemandMargin +
               std::max(0.0, v.heldUnits - v.tokens) / kBacklogSpread;
    }

    // Records for one host leave in one message when the batch ends, or sooner when it is full.
    void tell(int to, const peer::Record& r) {
        if (to == set.hostIndex) return hear(to, r);
        if (!set.mayGossip || set.hostCount <= 1) return;
        std::string& m = outbox[to];
        if (m.size() + peer::sizeOf(peer::Tag(r.tag)) > kMessageBytes)
            act(SendPeerMessage{to, std::exchange(m, {})});
        if (m.empty()) m = peer::header(recovery.incarnation());
        peer::add(m, r);
    }

    // Asks for chunks where demand passes the claim, returns them where it fell below.
    void lease(Volume& v) {
        if (!v.limited || v.hosts <= 1 || !set.mayGossip || v.chunkRate <= 0) return;
        refill(v);
        std::erase_if(v.lent, [&](const Loan& l) { return l.until <= now; });
        const double demand = demandOf(v);
        const double claim = v.baseRate + chunksHeld(v) * v.chunkRate;
        for (auto& [peer, b] : v.borrowed) {    // what is idle goes home, but for one chunk against chance
            const int idle = int((claim - demand) / v.chunkRate) - 1;
            if (b.count == 0 || b.until <= now || idle < 1) continue;
            b.count = std::max(0, b.count - idle);
            b.open = false;
            tell(peer, {peer::kReturn, v.hash, std::uint64_t(b.count), b.stamp});
            return;
        }
        if (now - v.lastAsk < kAskGap) return;
        int more = std::max(0, int(std::ceil((demand - claim) / v.chunkRate)));
        const std::set<int>& peers = v.shared->peers;
        auto it = peers.upper_bound(v.askFrom);
        for (std::size_t i = 0; i < peers.size() && askBytes > 0; ++i, ++it) {
            if (it == peers.end()) it = peers.begin();
            Borrow& b = v.borrowed[*it];
            const bool running = b.count > 0 && b.until > now;
            const bool renew = running && b.until - now < kLease / 2;
            if ((more == 0 && !renew) || (b.open && now - b.askedAt < kAskGap * 2)) continue;
            if (!renew && running && b.count >= v.home) continue;
            const int had = running ? b.count : 0, want = std::min(v.home, had + more);
            more -= (want - had + 1) / 2;       // a peer may lend less: twice what lacks is asked for
            b.stamp = static_cast<std::uint32_t>(now / 1000) | 1u;
            b.open = true;
            b.askedAt = v.lastAsk = now;
            v.askFrom = *it;
            askBytes -= double(peer::sizeOf(peer::kAsk));
            tell(*it, {peer::kAsk, v.hash, std::uint64_t(want), b.stamp});
        }
    }

    // A home lends what its own demand leaves. The loan runs here from the grant, there from the ask before
    // it, so it ends there first however long either message took.
    void serveAsks() {
        std::stable_sort(asks.begin(), asks.end(),      // clash over a chunk: the lower host number first
                         [](const auto& l, const auto& r) { return l.first < r.first; });
        for (const auto& [peer, ask] : asks) {
            const auto it = byHash.find(ask.a);
            if (it == byHash.end() || it->second->chunkRate <= 0 || !recovery.mayLend(now)) continue;
            Volume& v = *it->second;
            v.neededAt = now;
            refill(v);
            const double own = std::max(0.0, demandOf(v) - v.baseRate);
            const int keep = std::min(v.home, int(std::ceil(own / v.chunkRate)));
            const int toOthers = v.lentChunks(peer), toPeer = v.lentChunks() - toOthers;
            const int grant = std::clamp(v.home - toOthers - keep, 0, int(ask.b));
            if (grant == 0 && toPeer == 0) continue;
            // What a chunk newly lent has saved up goes with it, so that the busy host can use the burst.
            const int fresh = std::max(0, grant - toPeer);
            const double part = fresh * v.chunkCap / (v.baseCap + std::max(1, chunksHeld(v)) * v.chunkCap);
            const auto saved = std::uint64_t(std::clamp(v.tokens * std::min(1.0, part) * 16, 0.0, 65535.0));
            v.tokens -= double(saved) / 16;
            v.lent.push_back({peer, grant, now + kLease, std::uint32_t(ask.c)});
            refill(v);
            tell(peer, {peer::kGrant, v.hash, std::uint64_t(grant) | saved << 8, ask.c});
        }
        asks.clear();
    }

    // ------------------------------------------------------------ peer messages

    void on(const PeerMessageReceived& m) {
        if (m.from == set.hostIndex || m.from < 0 || m.from >= set.hostCount) return;
        std::uint64_t theirLife = 0;
        std::vector<peer::Record> records;      // all or none: malformed, cut or foreign has no effect
        fleet::RestartRecovery::DatagramResult heard;
        if (fleet::RestartRecovery::isRecoveryDatagram(m.bytes)) heard = recovery.handleDatagram(m.from, m.bytes, now);
        else if (peer::read(m.bytes, theirLife, records))
            heard.status = recovery.observeIncarnation(m.from, std::uint32_t(theirLife), now);
        else return recovery.countMalformed();
        if (heard.status == fleet::RestartRecovery::IncarnationStatus::Stale) return;
        // A new life knows nothing of its loans: give them back.
        if (heard.status == fleet::RestartRecovery::IncarnationStatus::New)
            for (auto& [name, v] : volumes) refill(v), v.borrowed.erase(m.from);
        for (const auto& reply : heard.replies) act(SendPeerMessage{reply.to, reply.bytes});
        settle();
        for (const auto& r : records) {
            if (r.tag == peer::kAsk) {
                asks.emplace_back(m.from, r);
            } else if (r.tag != peer::kGrant && r.tag != peer::kReturn) {
                hear(m.from, r);
            } else if (const auto it = byHash.find(r.a); it != byHash.end()) {
                Volume& v = *it->second;
                refill(v);
                if (r.tag == peer::kGrant) {
                    const auto b = v.borrowed.find(m.from);
                    if (b == v.borrowed.end() || !b->second.open || b->second.stamp != r.c) continue;
                    b->second.open = false;
                    // The home counts what it lent before until it hears that no more than this is used.
                    if (b->second.until > now && int(r.b & 255) < b->second.count)
                        tell(m.from, {peer::kReturn, v.hash, r.b & 255, r.c});
                    b->second.count = std::min(int(r.b & 255), v.home);
                    b->second.until = b->second.askedAt + kLease;
                    if (b->second.until > now) v.tokens += double(r.b >> 8) / 16;
                    for (std::size_t i = 0; i < cells.size(); ++i) dirty.insert(int(i));
                } else {
                    // Sent back: every grant up to the ask it names is worth no more than what it keeps.
                    for (auto& l : v.lent)
                        if (l.peer == m.from && std::int32_t(r.c - l.stamp) >= 0)
                            l.count = std::min(l.count, int(r.b));
                }
                refill(v);
            }
        }
    }

    // Hosts do not tell all others. What a volume or a cell is asked of through a host goes to the one host
    // that its key names, when it has changed; that one tells each host concerned what the others ask.
    void tellUse(std::uint32_t key, Shared& s, bool join, double waited = 0, int out = 0) {
        const double rate = s.use.get(now, kTellMemory), known = s.told.get(now, kTellMemory);
        const double step = 0.75 * set.meanUnits * 1e6 / double(kTellMemory);
        const bool changed = std::abs(rate - known) >= std::max(kTellPart * known, step) ||
                             waited > kAimPart * double(shortestLatencyObjective);
        if (now - s.told.at < (out != s.toldOut ? kTellEvery / 4 : changed ? kTellEvery : -kNever)) return;
        s.told = {rate, now};
        s.toldOut = out;
        const auto word = std::uint64_t(std::min(65535.0, rate * 16));
        const auto served = std::uint64_t(std::min(std::exchange(s.borne, 0), 255.0));
        const auto state = peer::waitCode(waited) | std::uint64_t(std::min(out, 255)) << 8 | served << 16;
        tell(int(key % std::uint32_t(set.hostCount)), {join ? peer::kJoin : peer::kUse, key, word, state});
    }

    double aged(const Rate& wait) const { return std::max(0.0, wait.value - kDrain * double(now - wait.at)); }

    void hear(int from, const peer::Record& r) {
        const auto key = std::uint32_t(r.a);
        if (r.tag == peer::kOthers || r.tag == peer::kMember) {
            const auto it = shared.find(key);
            if (it == shared.end()) return;
            Shared& s = it->second;
            if (r.tag == peer::kOthers) s.others = {double(r.b) / 16, now, peer::rateOf(r.c >> 8)};
            else if (int(r.b) < set.hostCount && int(r.b) != set.hostIndex) s.peers.insert(int(r.b));
            for (std::size_t i = 0; s.cell >= 0 && (r.c & 255) > 0 && i < cells[s.cell].nodes.size(); ++i) {
                Node& n = nodes.at(cells[s.cell].nodes[i]);
                n.latency = n.floor() * n.units + peer::waitOf(r.c & 255);
                n.heardAt = now;
            }
            return;
        }
        Roll& roll = rolls[key];
        const bool fresh = !roll.members.count(from);
        roll.members[from] = {{double(r.b) / 16, now}, int(r.c >> 8 & 255)};
        roll.served.add(now, kRateMemory, double(r.c >> 16));
        if (r.tag == peer::kJoin && roll.joined.insert(from).second)
            for (const int other : roll.joined) {
                tell(from, {peer::kMember, key, std::uint64_t(other), 0});
                tell(other, {peer::kMember, key, std::uint64_t(from), 0});
            }
        if (const double waited = peer::waitOf(r.c & 255); waited > 0) {
            roll.waits += kPaceSmooth * (waited - roll.waits);
            roll.outs += kPaceSmooth * (sumOf(roll).out - roll.outs);
        }
        if (fresh) tellOthers(key, roll, from);
    }

    // What is out tells of a queue before any answer can, once answers have told how long each takes.
    double waitFor(const Roll& roll) const { return roll.waits / std::max(1.0, roll.outs) * sumOf(roll).out; }

    void tellOthers(std::uint32_t key, const Roll& roll, int to) {
        const double others = sumOf(roll).use.value - roll.members.at(to).use.get(now, kTellMemory);
        const auto word = std::uint64_t(std::clamp(others * 16, 0.0, 65535.0));
        const auto state = peer::waitCode(waitFor(roll)) | peer::rateCode(bears(roll)) << 8;
        tell(to, {peer::kOthers, key, word, state});
    }

    Member sumOf(const Roll& r) const { return r.sum(now, kTellMemory); }
    double bears(const Roll& r) const { return now < r.coldUntil ? r.served.get(now, kRateMemory) : 0; }

    void tellRolls() {
        const double least = set.meanUnits / 4, calm = kAimPart * double(shortestLatencyObjective);
        for (auto& [key, roll] : rolls) {
            std::erase_if(roll.members,
                          [&](const auto& m) { return m.second.use.get(now, kTellMemory) < least / 8; });
            // One that comes back may have forgotten who else there is, and joins anew.
            std::erase_if(roll.joined, [&, &at = roll.members](int host) { return !at.count(host); });
            const auto sum = sumOf(roll).use.value, wait = std::max(waitFor(roll), calm), bore = bears(roll);
            if (std::abs(sum - roll.told) < std::max(kTellPart * roll.told, least) &&
                std::abs(bore - roll.toldServed) <= std::max(kTellPart * roll.toldServed, least) &&
                std::abs(wait / std::max(aged(roll.toldWait), calm) - 1) < kTellPart &&
                now - roll.toldWait.at < kSumTerm)
                continue;
            roll.told = sum, roll.toldServed = bore;
            roll.toldWait = {waitFor(roll), now};
            for (const auto& [host, m] : roll.members) tellOthers(key, roll, host);
        }
    }

    // ------------------------------------------------------------ node health and bound

    // A draining node serves on for a part of the grace where its cell has no other: what it turns away is no
    // worse off, and its successor is listed a second or two later.
    bool takes(const Node& n) const {
        return n.ready() || (n.listed && now < n.servesUntil && cells[std::size_t(n.info.cell)].ready == 0);
    }

    bool stalled(const Node& n) const {
        const double patience = std::max(double(kStallLeast), kStallLatencies * n.latency);
        return now < n.downUntil || (n.out > 0 && double(now - n.progressAt) > patience);
    }

    double latencyOf(const Node& n) const {
        if (n.latency <= 0) return double(shortestLatencyObjective) / 4;
        const double left = n.latency - kDrain * double(now - n.heardAt);
        return std::max(std::min(n.latency, n.floor() * n.units), left);
    }

    // Whether this host may send a cold node so many units: in the rule's span what it answered and a
    // little ahead. Rejected and unanswered work is not given back, so a node that chokes is left alone.
    bool coldTakes(Node& n, double units) {
        if (!coldNode(n) || set.slowStartWindowUs <= 0) return true;
        if (handedOver) return false;
        while (!n.coldSends.empty() && now - n.coldSends.front().first > set.slowStartWindowUs)
            n.coldSends.pop_front();
        double open = 0, answered = 0;
        for (const auto& [at, sum] : n.coldSends) open += sum, answered -= std::min(0.0, sum);
        const double push = 1 + kColdAhead * (set.slowStartOverloadFactor - 1);
        const double ahead = std::max((push - 1) * answered, std::min(answered, set.maxUnits));
        return n.coldTurn + n.coldDraw * units >= units ||
               std::max(set.slowStartUnits / set.hostCount, ahead) - std::max(0.0, open) >= units;
    }

    // Many heads take turns at what is borne in any case: of all that is asked so much is sent, each head's
    // part of a request rounded by a draw of the seed. It grows as capacity does at the least, and what the
    // node has answered all heads lately it bears again. Not heard, others are taken to ask as much.
    void takeTurn(Node& n, double units) {
        if (!coldNode(n) || set.slowStartWindowUs <= 0) return;
        const Shared& s = *cellAt(n.info.cell).shared;
        const double own = s.use.get(now, kTellMemory);
        const PeerUse others = now - s.others.at < kPeerForget ? s.others : PeerUse{own * (set.hostCount - 1)};
        const double full = 1 / std::max(set.slowStartCapacity, 0.01), push = 1 + kColdAhead * (set.slowStartOverloadFactor - 1);
        const double age = std::max(0.0, double(now - n.info.startedUs) / double(set.slowStartDurationUs));
        const double grown = 1 + (full - 1) * age;      // a start told as yet to come counts as now
        const double least = set.slowStartUnits * grown * 1e6 / double(set.slowStartWindowUs);
        const double borne = std::max(least, others.served), all = std::max(own + others.rate, 1e-9);
        const double mine = push * units * std::min(1.0, borne / all);
        n.coldTurn = std::min(n.coldTurn + mine, set.maxUnits);
    }

    void tellCell(Cell& c, double waited = 0) {
        int out = 0;
        for (const int i : c.nodes) out += nodes.at(i).out;
        tellUse(c.key, *c.shared, false, waited, out);
    }

    double patience(const Pending& r) const {
        const double left = double(r.due - now), aim = double(shortestLatencyObjective);
        if (r.inReserve) return left;
        const Cell& c = cells[std::size_t(r.cell)];     // spare: only where the shares are not contended
        return r.inShare ? std::min(left, kShareWait * aim) : c.level < c.most ? 0 : kSpareWait * aim;
    }

    void learn(Node& n, const Pending& r, Micros took, Outcome outcome) {
        if (outcome != Outcome::Ok && outcome != Outcome::Error) {
            // The node chokes, unless it answered what was sent after this one: then the answer was lost.
            if (outcome == Outcome::Cancelled || now - took < n.newestSent) return;
            // Nor is a lone reset its choking: a spoilt answer came at once. A dead node's follow each other.
            n.failures = std::min(n.failures + 1, 4);
            if (outcome == Outcome::Reset && n.failures == 1) return;
            n.bound = std::max(1.0, n.bound / 2);
            n.downUntil = now + (kTrickleGap << n.failures) / 2;
            // Unanswered is not told as a wait: the answer may have been lost. What is out speaks for itself.
            const bool turnedAway = outcome == Outcome::Rejected || outcome == Outcome::ConnectFailed;
            if (turnedAway) tellCell(cellAt(n.info.cell), 2 * double(shortestLatencyObjective));
            return;
        }
        if (coldNode(n) && outcome == Outcome::Ok)
            n.coldSends.emplace_back(now, -r.info.units), cellAt(n.info.cell).shared->borne += r.info.units;
        n.newestSent = std::max(n.newestSent, now - took);
        n.failures = 0, n.downUntil = kNever;
        n.errors += kSmooth * ((outcome == Outcome::Error ? 1 : 0) - n.errors);
        // A quick failure tells nothing of a node's pace: taken for an answer it draws all new objects to it.
        if (outcome == Outcome::Error) { n.progressAt = now; return; }
        const double old = double(now - n.heardAt) / double(kRateMemory);
        const double weight = std::max(kSmooth, 1 - std::exp2(-old));
        n.progressAt = n.heardAt = now;
        // Told is what it took beyond the least for its size, and never nothing.
        const double waited = double(took) - n.floor() * r.info.units;
        tellCell(cellAt(n.info.cell), std::max(waited, double(kTick) / 100));
        n.latency += (n.latency > 0 ? weight : 1) * (double(took) - n.latency);
        n.units += kSmooth * (r.info.units - n.units);
        n.perUnit = n.latency / n.units;
        if (now - n.floorAt > kFloorSpan) {
            n.floorOld = std::exchange(n.floorNow, 0);
            n.floorAt = now;
        }
        n.floorNow = n.floorNow > 0 ? std::min(n.floorNow, n.perUnit) : n.perUnit;
        if (n.perUnit > kStretch * n.floor() || n.latency > kAimPart * double(shortestLatencyObjective)) {
            if (double(now - n.shrunkAt) < n.latency) return;
            n.bound = std::max(1.0, n.bound * kShrink);
            n.shrunkAt = now;
        } else if (n.out + 2 > boundOf(n)) {
            n.bound = std::min(kMostBound, n.bound + 0.5 / n.bound);
        }
    }

    double othersOf(const Shared& s) const { return now - s.others.at < kPeerForget ? s.others.rate : 0; }

    double partOf(const Shared& s) const {      // of all that is asked of a volume or, being due, of a cell
        const double own = s.use.get(now, kTellMemory), all = own + othersOf(s);
        return all > 1e-9 ? own / all : 1;
    }

    // This host's part of what may be out at a node, by what each head has asked of the cell that is due,
    // and one at the least: what a hundred heads may pile up so is held down by patience(). Where the wait
    // is short one more may be out: a volume's run of reads would else leave one by one and be too late at
    // an idle node. Where all heads find a node calm at once, told waits stop them.
    double boundOf(const Node& n) const {
        if (n.info.cell < 0 || std::size_t(n.info.cell) >= cells.size()) return n.bound;
        const Cell& c = cells[std::size_t(n.info.cell)];
        const double least = latencyOf(n) > kAimPart * double(shortestLatencyObjective) ? 1 : kCalmBound;
        return std::max(least, c.shared ? n.bound * partOf(*c.shared) : n.bound);
    }

    double unitRate(const Node& n) const { return boundOf(n) * std::max(0.5, n.units) * 1e6 / latencyOf(n); }

    // ------------------------------------------------------------ admission and order

    // Marks a request as inside the reserve, inside the weighted share, or spare. This host keeps its part of
    // both, by its part of the volume's use. A cheaper class must leave in them what dearer ones ask for.
    void weigh(Pending& r) {
        Volume& v = *r.volume;
        v.own.add(now, kRateMemory, r.info.units);
        if (v.plan < 0) return;
        v.neededAt = now;
        const PlanInfo& p = set.plans.at(v.plan);
        if (v.hosts > 1) v.shared->use.add(now, kTellMemory, r.info.units);
        const double part = partOf(*v.shared);
        v.byClass.resize(set.classes.size());
        double dearer = 0;
        for (std::size_t i = 0; r.cls && i < set.classes.size(); ++i)
            if (set.classes[i].priorityWeight > r.cls->priorityWeight)
                dearer += v.byClass[i].get(now, kRateMemory) * kDearerSpan;
        if (r.cls) v.byClass[std::size_t(r.info.classIndex)].add(now, kRateMemory, r.info.units);
        double cap = p.guaranteedRate * part + set.maxUnits;
        v.reserveTokens = std::min(v.reserveTokens + p.guaranteedRate * part * double(now - v.reserveAt) / 1e6, cap);
        v.reserveAt = now;
        r.inReserve = p.guaranteedRate > 0 && v.reserveTokens >= std::min(cap, r.info.units + dearer);
        if (r.inReserve) v.reserveTokens -= r.info.units;
        Account& a = v.byCell[r.cell];
        a.own.add(now, kRateMemory, r.info.units);
        const double due = cellAt(r.cell).level * p.shares * part;
        cap = due + set.maxUnits;
        a.share = std::min(a.share + due * double(now - a.at) / 1e6, cap);
        a.at = now;
        Cell& c = cellAt(r.cell);
        c.most = std::max(c.most, a.own.get(now, kRateMemory) / std::max(p.shares * part, 1e-9));
        r.inShare = !r.inReserve && a.share >= std::min(cap, r.info.units + dearer);
        if (r.inShare) a.share -= r.info.units;
        const double duePart = r.inReserve || r.inShare ? 1 : set.spareWeight / std::max(set.shareWeight, 1e-9);
        c.shared->use.add(now, kTellMemory, r.info.units * duePart);
        for (const int i : c.nodes) takeTurn(nodes.at(i), r.info.units * duePart);
        if (v.hosts > 1) tellUse(std::uint32_t(v.hash), *v.shared, v.limited);
    }

    // The water level of each cell: units a second and weight that a volume may ask beyond its reserve and be
    // in its share. It falls while shared work waits too long there and rises while not even spare work does.
    void setLevels() {
        for (auto& c : cells) {
            double wait = kNoLevel, least = 0;
            for (const int i : c.nodes)
                if (const Node& n = nodes.at(i); n.ready() && latencyOf(n) < wait) {
                    wait = latencyOf(n);
                    least = kStretch * n.floor() * n.units;
                }
            const double aim = double(shortestLatencyObjective), rise = wait <= least ? kLevelIdle : kLevelRise;
            c.most *= kMostMemory;
            if (wait == kNoLevel) continue;     // a drained node's successor is not crowded: the level stays
            if (wait > kShareWait * aim) c.level = std::min(c.level, c.most) * kLevelStep;
            if (wait < kSpareWait * aim) c.level = std::min(kNoLevel, c.level * rise);
        }
    }

    static double value(const Pending& r) { return r.cls ? r.cls->priorityWeight : 1; }
    double worth(const Pending& r) const {      // of a unit of work on it, were it answered in time
        const double factor = r.volume->plan < 0 ? 1 : set.plans.at(r.volume->plan).priorityFactor;
        const double part = r.inReserve ? 1 : r.inShare ? set.shareWeight : set.spareWeight;
        return value(r) * factor * part;
    }

    // Where a new object of this size has the shortest wait for an answer. A cold node's room belongs first
    // to what only it can serve: it is taken where it has room for the whole request and warm nodes are an
    // aim behind, so that heads with no answer of it yet do not all choose what looks idle (Lc69f0a).
    int cellForNew(double units) {
        int best = cells.empty() ? 0 : int((nextSeq + std::size_t(set.hostIndex)) % cells.size());
        double least = 1e15;
        for (std::size_t k = 0; k < cells.size(); ++k) {   // from another each time: equals share
            const std::size_t i = (k + nextSeq * 7 + std::size_t(set.hostIndex)) % cells.size();
            double ahead = 0;
            for (const auto& [key, r] : cells[i].held) ahead += r->info.units;
            for (const int index : cells[i].nodes) {
                Node& n = nodes.at(index);
                if (!n.ready()) continue;
                double wait = latencyOf(n) * (1 + std::max(0.0, n.out + 1 - boundOf(n)) / boundOf(n)) +
                              ahead * 1e6 / unitRate(n);
                // What fails there may be tried again in its cell only.
                if (now - n.progressAt < kErrorMemory) wait += kErrorAims * n.errors * double(shortestLatencyObjective);
                if (coldNode(n)) wait = wait / set.slowStartCapacity + double(shortestLatencyObjective);
                if (stalled(n) || !coldTakes(n, ahead + units)) wait += 1e12;     // the last resort
                if (wait < least) { least = wait; best = int(i); }
            }
        }
        return best;
    }

    void hold(Pending& r) {
        if (r.cell < 0) r.cell = cellForNew(r.info.units);
        r.held = true;
        if (!r.tookTokens) r.volume->heldUnits += r.info.units;
        cellAt(r.cell).held.emplace(std::make_pair(r.due, r.seq), &r);
        dirty.insert(r.cell);
    }

    int nodeFor(const Pending& r, const Cell& c) {
        int best = -1;
        double least = 0;
        for (const int i : c.nodes) {
            Node& n = nodes.at(i);
            const bool suspect = stalled(n);
            if (!takes(n)) continue;
            if (suspect ? now - n.trickleAt < kTrickleGap : n.out > 0 && n.out + 1 > boundOf(n)) continue;
            if (latencyOf(n) > patience(r)) continue;
            if (!maySend(r, i)) continue;
            const double wait = latencyOf(n) * (n.out + 1) / boundOf(n) * (suspect ? 100 : 1);
            if (best < 0 || wait < least) { best = i; least = wait; }
        }
        return best;
    }

    void pump(int index) {
        for (bool again = true; again;) {
            again = false;
            for (auto& [key, r] : cellAt(index).held) {
                const int n = nodeFor(*r, cellAt(index));
                if (n < 0) continue;
                send(*r, n);
                again = true;
                break;
            }
        }
    }

    // Sheds what cannot be answered within its aim: in the order of leaving, each request that comes too late
    // costs the least worthy at or before it its place; without tokens, its volume's least class.
    void shed(int index) {
        Cell& c = cellAt(index);
        // In the batch it came in: a client's last try may have only a few ms to live (ia3767d).
        std::vector<Pending*> kept, dropped;
        for (const auto& [key, r] : c.held)
            if (r->info.deadlineUs - now < 2 * kTick) dropped.push_back(r);
        for (Pending* r : std::exchange(dropped, {})) giveUp(*r, 0);
        if (c.held.empty()) return;
        double rate = 1e-3, latency = 0;
        for (const int i : c.nodes) {
            const Node& n = nodes.at(i);
            if (!takes(n)) continue;
            // A suspect answers no sooner than it is tried.
            rate += stalled(n) ? n.units * 1e6 / double(kTrickleGap) : unitRate(n);
            const double wait = latencyOf(n) + std::max(0.0, double(n.downUntil - now));
            latency = latency > 0 ? std::min(latency, wait) : wait;
        }
        std::map<const Volume*, double> need;
        double ahead = 0;
        for (auto& [key, r] : c.held) {
            kept.push_back(r);
            ahead += r->info.units;
            const bool claims = r->volume->limited && !r->tookTokens;
            if (claims) need[r->volume] += r->info.units;
            for (;;) {
                const double left = double(r->due - now) - latency;
                const bool late = (ahead - r->info.units) * 1e6 / rate > left || latency > patience(*r);
                if (!late && !(claims && tokenWait(*r->volume, need[r->volume]) > std::max(0.0, left))) break;
                auto least = kept.end() - 1;
                for (auto it = kept.begin(); it != kept.end(); ++it)
                    if (late ? worth(**it) <= worth(**least) && (worth(**it) < worth(**least) || it > least)
                             : (*it)->volume == r->volume && !(*it)->tookTokens &&
                                   value(**it) < value(**least))
                        least = it;
                ahead -= (*least)->info.units;
                if ((*least)->volume->limited && !(*least)->tookTokens)
                    need[(*least)->volume] -= (*least)->info.units;
                dropped.push_back(*least);
                kept.erase(least);
                if (dropped.back() == r) break;
            }
        }
        for (Pending* r : dropped) giveUp(*r, Micros(ahead * 1e6 / rate));
    }

    // A volume at its limit: the time until its claim covers these units. An ask under way counts as if
    // granted what the other hosts leave of the limit.
    double tokenWait(const Volume& v, double units) const {
        double fill = v.baseRate + chunksHeld(v) * v.chunkRate;
        for (const auto& [peer, b] : v.borrowed)
            if (b.open && now - b.askedAt < 2 * kAskGap)
                fill = std::max(fill, set.plans.at(v.plan).limit - othersOf(*v.shared));
        return std::max(0.0, units - v.tokens) * 1e6 / std::max(fill, 1e-3);
    }

    // ------------------------------------------------------------ attempts and answers

    // The one guard before every send: rules 1 to 7, as far as a send can break them.
    bool maySend(const Pending& r, int index) {
        Node& n = nodes.at(index);
        if (r.done || r.out > 0 || now >= r.info.deadlineUs) return false;                      // 1
        if (r.attempts >= set.maxAttempts) return false;
        const RetrySafety safety = r.cls ? r.cls->retrySafety : RetrySafety::NotIdempotent;
        if (r.maybeRun && safety == RetrySafety::NotIdempotent) return false;                           // 2
        if (r.maybeRun && safety == RetrySafety::IdempotentWithKey && (!sameGroup(r, n) || now >= repeatBy(r)))
            return false;
        if (!takes(n)) return false;                                                            // 3
        if (r.info.cell >= 0 && r.info.cell != n.info.cell) return false;
        if (!coldTakes(n, r.info.units)) return false;                                          // 4
        if (!r.tookTokens && r.volume->limited) {                                               // 5
            refill(*r.volume);
            if (r.volume->tokens < r.info.units) return false;
        }
        if (const KeyTurn* turn = turnOf(r)) {                                                  // 6
            if (turn->order.front() != r.info.id || turn->strayOut > 0) return false;
            if (now < turn->restUntil && turn->restBy != r.info.id) return false;
        }
        if (r.attempts > 0 && set.retryWindowUs > 0) {                                            // 7
            while (!taken.empty() && now - taken.front() >= set.retryWindowUs) taken.pop_front();
            while (!furtherSends.empty() && now - furtherSends.front() > set.retryWindowUs)
                furtherSends.pop_front();
            if (double(furtherSends.size()) + 1 > set.retryAllowance + set.retryRatio * double(taken.size()))
                return false;
        }
        return true;
    }

    // Until when a keyed request may be repeated: from the first attempt that may have run. 0: at any time.
    static Micros repeatBy(const Pending& r) {
        return r.cls && r.cls->retrySafety == RetrySafety::IdempotentWithKey ? r.firstMaybeRun + r.cls->keyWindowUs : 0;
    }

    // The one guard before every refusal: it tells the client that nothing ran.
    bool mayRefuse(const Pending& r) const {
        if (!r.cls) return r.attempts == 0;
        if (r.cls->retrySafety == RetrySafety::Idempotent) return true;
        if (!r.maybeRun && r.out == 0) return true;
        return r.cls->retrySafety == RetrySafety::IdempotentWithKey && r.cls->keyScope == KeyScope::Global;
    }

    void send(Pending& r, int index) {
        Node& n = nodes.at(index);
        unhold(r);
        if (!r.tookTokens) {
            r.tookTokens = true;
            if (r.volume->limited) r.volume->tokens -= r.info.units;
        }
        if (stalled(n)) n.trickleAt = now;
        if (n.out == 0) n.progressAt = now;
        if (!r.filling) ++n.out;
        if (r.attempts > 0 && set.retryWindowUs > 0) furtherSends.push_back(now);
        if (coldNode(n)) {
            n.coldSends.emplace_back(now, r.info.units);
            n.coldTurn = std::max(n.coldTurn - r.info.units, -set.maxUnits);
        }
        if (r.pinnedNode < 0) { r.pinnedNode = index; r.firstMaybeRun = now; }
        r.sentTo[r.attempts++] = index;
        r.sentAt = now;
        ++r.out;
        act(ForwardRequest{r.info.id, n.info.id, 0, r.maybeRun ? repeatBy(r) : 0});
    }

    // What is lost holds a place at its node until its deadline: it is given free, and the time that is left
    // goes to another attempt. Could harm where a node overtakes by far in its own queue.
    void dropLost() {
        std::map<std::uint64_t, CancelAttempt> lost;
        std::set<int> unsure;
        for (const auto& [id, r] : requests) {
            if (r.out != 1 || r.streaming || r.filling || r.worked) continue;
            const auto& [attempt, index] = *r.sentTo.begin();
            const Node& n = nodes[std::size_t(index)];
            const double age = double(now - r.sentAt), usual = std::max(n.latency, n.perUnit * r.info.units);
            const double least = std::max(kLostPart * double(shortestLatencyObjective), kLostTimes * usual);
            const bool overtaken = double(n.newestSent - r.sentAt) > usual, late = overtaken && age > least;
            if (!overtaken && age > kProbeTimes * least && n.probedAt < r.sentAt) unsure.insert(index);
            const bool may = r.attempts < set.maxAttempts && r.cls && r.cls->retrySafety != RetrySafety::NotIdempotent;
            if (late && (may || r.done)) lost.emplace(r.seq, CancelAttempt{id, attempt});
        }
        for (const auto& [seq, cancel] : lost) act(cancel);
        for (const int i : unsure)
            if (Node& n = nodes[i]; set.mayCheckHealth && n.ready())   // 3: nothing new else
                n.probedAt = now, act(StartHealthCheck{n.info.id});
    }

    void giveUp(Pending& r, Micros wait, Micros least = kLeastAdvice) {
        const Micros advice = std::min(std::max(wait, least), set.maxRetryAfterUs);
        if (mayRefuse(r)) act(RejectRequest{r.info.id, set.sendsRetryAfter ? advice : 0});
        else act(FailRequest{r.info.id});
        finishRequest(r);
    }

    void finishRequest(Pending& r) {    // r may be gone afterwards
        if (r.done) return;
        unhold(r);
        r.done = true;
        const bool unspent = !r.maybeRun && r.out == 0;
        if (unspent && r.inReserve) r.volume->reserveTokens += r.info.units;
        if (unspent && r.inShare) r.volume->byCell[r.cell].share += r.info.units;
        if (KeyTurn* turn = turnOf(r)) {
            std::erase(turn->order, r.info.id);
            turn->strayOut += r.out;
            if (turn->order.empty() && turn->strayOut == 0 && now >= turn->restUntil) turns.erase(r.info.key);
        }
        if (r.out == 0) requests.erase(r.info.id);
    }

    void on(const RequestReceived& e) {
        const Request& q = e.request;
        const auto [it, fresh] = requests.try_emplace(q.id);
        if (!fresh) return;
        Pending& r = it->second;
        r.info = q;
        r.filling = q.bodyIncomplete;
        r.cls = q.classIndex < 0 ? nullptr : &set.classes.at(q.classIndex);
        r.volume = &volumeOf(q);
        r.arrival = now;
        r.due = std::min(now + (r.cls && r.cls->latencyObjectiveUs > 0 ? r.cls->latencyObjectiveUs : q.deadlineUs - now), q.deadlineUs);
        r.seq = nextSeq++;
        r.cell = q.cell >= 0 ? q.cell : cellForNew(q.units);
        cellAt(r.cell);
        if (set.retryWindowUs > 0) taken.push_back(now);
        askBytes = std::min(kBytesKept, askBytes + kBytesPerRequest);
        if (r.cls && r.cls->fifoByKey && !q.key.empty()) turns[q.key].order.push_back(q.id);
        weigh(r);
        hold(r);
        pump(r.cell);
        tellCell(cellAt(r.cell));
        if (r.held && r.volume->limited) lease(*r.volume);
    }

    void on(const AttemptOutcome& e) {
        Pending* const open = find(e.id);
        if (!open || !open->sentTo.count(e.attempt)) return;
        Pending& r = *open;
        const auto sent = r.sentTo.find(e.attempt);
        const int index = sent->second;
        Node& n = nodes.at(index);
        r.sentTo.erase(sent);
        --r.out;
        const bool placed = !r.filling && !std::exchange(r.worked, false);
        if (placed) --n.out;
        const auto is = [&](auto... o) { return ((e.outcome == o) || ...); };
        const bool ran = !is(Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotStarted);
        // Of a request that was over, or whose body was on its way, a refusal says nothing.
        const bool says = placed ? !(e.requestSpent && is(Outcome::Rejected)) : !is(Outcome::Ok, Outcome::Error);
        if (says && e.outcome != Outcome::NotStarted) learn(n, r, e.elapsedUs, e.outcome);
        dirty.insert(n.info.cell);
        KeyTurn* turn = turnOf(r);
        if (turn && is(Outcome::Timeout, Outcome::Reset, Outcome::Cancelled)) {
            turn->restUntil = now + set.keyCooldownUs;
            turn->restBy = r.done ? 0 : r.info.id;
        }
        if (r.done) {
            if (turn) turn->strayOut = std::max(0, turn->strayOut - 1);
            if (r.out == 0) requests.erase(e.id);
            return;
        }
        if (ran) r.maybeRun = true;
        else if (!r.maybeRun) r.pinnedNode = -1;
        if (e.requestClosed || e.outcome == Outcome::Ok) { finishRequest(r); return; }
        if (e.requestSpent) { giveUp(r, 0, is(Outcome::Rejected) ? kMovedAdvice : kLeastAdvice); return; }
        again(r);
    }

    // Another attempt where the class, the budget and the time left allow one; else the final answer, now.
    void again(Pending& r) {
        const RetrySafety safety = r.cls ? r.cls->retrySafety : RetrySafety::NotIdempotent;
        const bool barred =
            r.streaming || r.attempts >= set.maxAttempts || (r.maybeRun && safety == RetrySafety::NotIdempotent) ||
            (r.maybeRun && safety == RetrySafety::IdempotentWithKey && now >= repeatBy(r));
        if (barred || double(r.info.deadlineUs - now) < double(2 * kTick)) { giveUp(r, 0); return; }
        if (r.info.cell < 0 && !r.maybeRun) r.cell = -1;    // a new object that never ran: any node again
        hold(r);
    }

    // ------------------------------------------------------------ membership

    void watch() {
        if (!set.pollsEndpointList || now < nextList) return;
        nextList = set.pollIntervalUs > 0 ? now + Micros(kRenewPart * double(set.pollIntervalUs)) : -kNever;
        act(WatchEndpointList{true});
    }

    Micros listTurn() { return std::min(kListTurn * std::max(0, set.hostCount - kFew), set.pollIntervalUs / 2); }
    Micros spread(Micros span) const { return Micros(double(span) * peer::drawOf(set.seed + now)); }

    void on(const EndpointListReceived& e) {
        const EndpointList& list = e.list;
        if (list.kind == EndpointListKind::Unavailable) {
            listWait = std::max({kListRetry, listTurn(), std::min(listWait * 2, set.pollIntervalUs / 4)});
            nextList = now + listWait - spread(std::min(listWait / 2, listTurn()));
            return;
        }
        const bool late = listWait > 0;     // what is told now may count as told before
        if (list.kind != EndpointListKind::Cached) listWait = 0;
        if (list.kind != EndpointListKind::Delta) for (auto& n : nodes) n.listed = false;
        for (const auto& info : list.nodes) {
            if (unusedNodes.empty()) unusedNodes.push_back(int(nodes.size())), nodes.emplace_back();
            const auto [it, fresh] = nodeIndex.try_emplace(info.id, unusedNodes.back());
            if (fresh) {
                unusedNodes.pop_back();
                if (info.cell >= 0) cellAt(info.cell).nodes.push_back(it->second);
            }
            Node& n = nodes.at(it->second);
            if (fresh || n.info.startedUs != info.startedUs) {      // a new process: nothing learnt holds
                n = Node(n.out);
                n.bound = kFirstBound;
                n.progressAt = n.floorAt = now;
                if (info.cell >= 0) {
                    Roll& roll = rolls[cellAt(info.cell).key];
                    roll.served = {}, roll.coldUntil = info.startedUs + set.slowStartDurationUs;
                    cellAt(info.cell).shared->borne = cellAt(info.cell).shared->others.served = 0;
                }
                n.coldDraw = peer::drawOf(info.id + std::to_string(set.seed));
            }
            const bool drains = n.ready() && info.state == NodeState::Draining && !late;
            if (drains) n.servesUntil = now + Micros(kDrainPart * double(set.drainGraceUs));
            n.info = info;
            n.listed = info.state != NodeState::Removed;
        }
        for (std::size_t i = 0; i < cells.size(); ++i) {
            const auto& in = cells[i].nodes;
            cells[i].ready = std::count_if(in.begin(), in.end(), [&](int n) { return nodes[n].ready(); });
            dirty.insert(int(i));
        }
    }

    // ------------------------------------------------------------ the batch

    void on(const HealthCheckCompleted& e) {
        const auto it = nodeIndex.find(e.node);
        if (it == nodeIndex.end() || e.outcome != Outcome::Ok) return;
        nodes[it->second].newestSent = std::max(nodes[it->second].newestSent, now - e.elapsedUs);
    }
    void on(const ShutdownStarted& e) { recovery.startShutdown(e.servesUntilUs, now); }
    void on(const RequestCancelled& e) { if (Pending* r = find(e.id)) finishRequest(*r); }
    void on(const ResponseStarted& e) {
        Pending* const r = find(e.id);
        if (!r || !r->sentTo.count(e.attempt)) return;
        r->streaming = r->streaming || e.forwarding;
        if (!e.nodeDone || r->filling || std::exchange(r->worked, true)) return;
        Node& n = nodes.at(r->sentTo.at(e.attempt));
        learn(n, *r, e.elapsedUs, Outcome::Ok);
        --n.out, dirty.insert(n.info.cell);
    }
    void on(const RequestBodyCompleted& e) {
        Pending* const r = find(e.id);
        if (!r || !r->filling) return;
        const bool waits = r->held;
        unhold(*r);
        r->info.deadlineUs = e.deadlineUs;
        r->due = std::min(now + (r->cls && r->cls->latencyObjectiveUs > 0 ? r->cls->latencyObjectiveUs : kNoAim), e.deadlineUs);
        r->filling = false, r->sentAt = now;
        if (waits) hold(*r);
        for (const auto& [attempt, index] : r->sentTo)
            if (Node& n = nodes.at(index); n.out++ == 0) n.progressAt = now;
    }
    // The front runs out of connections for other requests: of what only waits here the least worthy goes.
    void on(const CapacityNeeded& e) {
        for (int i = 0; i < e.connections; ++i) {
            Pending* least = nullptr;
            for (const auto& c : cells)
                for (const auto& [key, r] : c.held)
                    if (!least || worth(*r) < worth(*least)) least = r;
            if (least) giveUp(*least, 0);
        }
    }
    void on(const TimerFired& e) { if (e.token == kTickToken) tick(); }

    // Volumes and nodes come and go. What an open request needs stays: a keyed one may be resent only near
    // the node where it first ran. A bucket is full again by then: a volume that comes back gains nothing.
    void forget() {
        lastForget = now;
        std::set<const Volume*> open;
        std::set<int> pinned;
        for (const auto& [id, r] : requests) open.insert(r.volume), pinned.insert(r.pinnedNode);
        for (auto it = nodeIndex.begin(); it != nodeIndex.end();) {
            Node& n = nodes[std::size_t(it->second)];
            if (n.listed) n.listedAt = now;
            const bool lately = now - n.listedAt < std::max(kForget, set.slowStartWindowUs);
            if (lately || n.out > 0 || pinned.count(it->second)) { ++it; continue; }
            for (auto& c : cells) std::erase(c.nodes, it->second);
            n = Node();
            unusedNodes.push_back(it->second);
            it = nodeIndex.erase(it);
        }
        for (auto it = volumes.begin(); it != volumes.end();) {
            Volume& v = it->second;
            const double full = v.limited ? set.plans.at(v.plan).limitBurst / set.plans.at(v.plan).limit : 0;
            if (now - v.neededAt < kForget + Micros(full * 1e6) || open.count(&v)) { ++it; continue; }
            if (--v.shared->volumes == 0 && v.shared->cell < 0) shared.erase(std::uint32_t(v.hash));
            byHash.erase(v.hash);
            it = volumes.erase(it);
        }
        std::erase_if(rolls, [](const auto& r) { return r.second.members.empty(); });
        std::erase_if(turns, [&](const auto& t) {
            return t.second.order.empty() && t.second.strayOut == 0 && now >= t.second.restUntil;
        });
    }

    void tick() {
        act(SetTimer{kTick, kTickToken});
        if (now - lastForget >= kForgetEvery) forget();
        settle(), watch(), greet();
        if (set.mayCancel) dropLost();
        for (auto& [name, v] : volumes) lease(v);
        if (now - lastTell >= kTellEvery / 2) {
            lastTell = now, setLevels(), tellRolls();
            for (auto& c : cells) if (c.shared) tellCell(c);
        }
        for (std::size_t i = 0; i < cells.size(); ++i)
            if (!cells[i].held.empty()) dirty.insert(int(i));
    }
};

Policy::Policy(const Settings& settings, Micros now) : impl_(std::make_unique<Impl>(settings, now)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

void Policy::on(Micros now, const Event& event) {
    impl_->now = now;
    std::visit([this](const auto& e) { impl_->on(e); }, event);
}

std::size_t Policy::tableEntries() const { return impl_->Memory::tableEntries(); }
const fleet::RestartRecovery& Policy::recovery() const { return impl_->Memory::recovery; }
std::string Policy::takeSnapshot(Micros now) { return impl_->handOver(now); }
bool Policy::restore(const std::string& bytes) { return loadMemory(bytes, *impl_); }

std::size_t Policy::avoidedNodes() const {
    const Impl& p = *impl_;
    return std::size_t(std::count_if(p.nodes.begin(), p.nodes.end(), [&](const Node& n) {
        const bool tried = p.now - std::max(n.trickleAt, n.progressAt) < kRateMemory;   // or used, of late
        return n.listed && (!n.ready() || (p.stalled(n) && !tried));
    }));
}

std::vector<Action> Policy::finish(Micros now) {
    Impl& p = *impl_;
    p.now = now;
    p.serveAsks();
    while (!p.dirty.empty()) {
        const int cell = *p.dirty.begin();
        p.dirty.erase(p.dirty.begin());
        p.pump(cell);
        p.shed(cell);
    }
    for (auto& [to, bytes] : p.outbox) p.act(SendPeerMessage{to, bytes});
    p.outbox.clear();
    return std::exchange(p.actions, {});
}

}  // namespace wingproxy
