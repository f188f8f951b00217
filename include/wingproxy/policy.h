// wingproxy: the whole interface of the decision module (see src/policy.cpp).
//
// A Policy is one host's scheduler. Feed it the events of a batch with on(), then take the
// actions of that batch with finish(). Time is whatever the caller says it is (microseconds,
// never falling); the module has no clock, no threads and no randomness beyond Settings::seed.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace wingproxy::fleet { class Arrival; }

namespace wingproxy {

using Micros = std::int64_t;
using RequestId = std::uint64_t;

enum class Effect { Idempotent, Deduplicated, AtMostOnce };
enum class Scope { All, Zone, Cell };                       // where repeats of a keyed request are dropped
enum class NodeState { Ready, Draining, Gone };
enum class Outcome { Ok, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, Moot };
enum class ListKind { Delta, Full, Saved, Lost };           // what a NodeList event brings

struct ClassInfo {
    std::string name;
    Micros aimUs = 0, deadlineUs = 0, windowUs = 0;
    double value = 1, lateWorth = 0;
    Effect effect = Effect::Idempotent;
    Scope scope = Scope::All;
    bool stream = false, fifoByKey = false, writes = false;
    bool operator==(const ClassInfo&) const = default;
};

struct PlanInfo {
    std::string name;
    double rate = 0, reserve = 0, weight = 1, factor = 1;   // units a second, for one volume
    double limit = 0, limitBurst = 0, limitSlack = 0;       // limit 0: none
    bool operator==(const PlanInfo&) const = default;
};

struct Settings {
    std::uint64_t seed = 0;
    int host = 0, hosts = 1;
    std::string zone;
    std::vector<ClassInfo> classes;
    std::vector<PlanInfo> plans;
    std::vector<std::string> reportColumns;
    bool reportsOnlyByProbe = false;
    // what the deployment allows
    int maxAttempts = 1;
    bool mayProbe = false, mayTellPeers = false, mayCancel = false, secondCopies = false, retryAdvice = false;
    Micros maxRetryAfterUs = 0;
    bool listOnRequest = false;                             // the node list must be asked for
    // rule figures; 0 where the rule does not hold
    Micros answerSlackUs = 0, drainGraceUs = 0, askEveryUs = 0, keyRestUs = 0;
    double retryShare = 0, retryFree = 0;
    Micros retrySpanUs = 0;                                 // 0: further attempts are not rationed
    double coldStart = 1, coldMultiple = 0, coldUnits = 0;
    Micros warmAfterUs = 0, coldSpanUs = 0;
    // about units of size
    double meanUnits = 1, maxUnits = 1, shareWorth = 1, spareWorth = 1;
    Micros meterUs = 0;
    int cells = 0;
    Micros roundUs = 0;
    Micros shortestAim() const {                            // 0 where no class states one
        Micros least = 0;
        for (const auto& c : classes)
            if (c.aimUs > 0 && (least == 0 || c.aimUs < least)) least = c.aimUs;
        return least;
    }
    bool operator==(const Settings&) const = default;
};

struct NodeInfo {
    std::string id, zone;
    int cell = 0;
    double rating = 1;
    NodeState state = NodeState::Ready;
    Micros startedUs = 0;                                   // 0: long ago
};

// Events
struct NodeList { ListKind kind = ListKind::Full; std::int64_t version = 0; std::vector<NodeInfo> nodes; };
struct Request {
    RequestId id = 0;
    int classIndex = -1, planIndex = -1;                    // into Settings; -1: unknown name
    std::string key, volume;
    Micros deadlineUs = 0;
    double units = 1;
    int cell = -1;                                          // -1: a new object, any node
    int volumeHosts = 1;
    bool retry = false;
    bool filling = false;                                   // its body is still coming
};
// The body's last byte is here: the node may start, and the client's time runs.
struct Filled { RequestId id = 0; Micros deadlineUs = 0; };
struct AttemptEnded {
    RequestId id = 0;
    int attempt = 0;
    std::string node;
    Outcome outcome = Outcome::Ok;
    Micros tookUs = 0;
    bool closed = false;
    double usePercent = 0, elsewhere = 0;
    std::vector<double> report;
    bool spent = false;                                     // no further attempt: its bytes are gone, or it is over
};
// Its answer began. worked: the node's time for it is over, only bytes follow; passing: they go to the client.
struct StreamStarted { RequestId id = 0; int attempt = 0; std::string node; Micros tookUs = 0; bool worked = false,
                       passing = true; };
struct RequestGone { RequestId id = 0; };
struct Leaving { Micros untilUs = 0; };                     // this process ends in order, and serves until then
struct Crowded { int places = 0; };                         // so many of what waits here must leave its place
struct TimerFired { std::uint64_t token = 0; };
struct PeerMessage { int from = 0; std::string bytes; };
struct ProbeAnswered { std::string node; Outcome outcome = Outcome::Ok; Micros tookUs = 0;
                       std::vector<double> report; };
using Event = std::variant<NodeList, Request, Filled, AttemptEnded, StreamStarted, RequestGone, Leaving, Crowded,
                           TimerFired,
                           PeerMessage, ProbeAnswered>;

// Actions
// timeout 0: the request's own. Past writtenByUs (a time; 0: none) its last byte may not be written any more.
struct Send { RequestId id; std::string node; Micros timeoutUs; Micros writtenByUs = 0; };
struct Refuse { RequestId id; Micros retryAfterUs; };
struct Fail { RequestId id; };
struct Cancel { RequestId id; int attempt; };
struct ProbeNode { std::string node; };
struct TellPeer { int to; std::string bytes; };                         // to -1: every peer
struct SetTimer { Micros inUs; std::uint64_t token; };
struct WatchList { bool on; };
struct Note { std::string text; };
using Action = std::variant<Send, Refuse, Fail, Cancel, ProbeNode, TellPeer, SetTimer, WatchList, Note>;

class Policy {
public:
    Policy(const Settings& settings, Micros now);
    ~Policy();
    Policy(Policy&&) noexcept;
    Policy& operator=(Policy&&) noexcept;
    void on(Micros now, const Event& event);                // events in the order they came
    std::vector<Action> finish(Micros now);                 // once, after the batch's last event
    std::size_t kept() const;                               // entries in all its tables
    std::size_t avoided() const;                            // listed nodes that it sends nothing or only trials
    const fleet::Arrival& arrival() const;                  // what it may lend, and what made it clear
    // What it knows, for a successor process of this host, which has all rights from then on. Here what is open
    // is finished with what was kept for it.
    std::string handOver(Micros now);
    bool restore(const std::string& handedOver);            // before the first event; false: refused, nothing changed
private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace wingproxy
