// The one place where state changes: (State, Input) -> Effects. No I/O, no clock, no wire.
//
// A front brings requests, the node clients bring how attempts ended; the decisions come from the Policy,
// which is fed in batches. What is to be done outside leaves as effects, in order.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::core {

// ---- inputs
struct Arrived {
    Request request;
};              // a front took a request
struct Ended {  // an attempt came to its end outside
    RequestId id = 0;
    int attempt = 0;
    Outcome outcome = Outcome::Ok;
    double usePercent = 0, elsewhere = 0;
    std::vector<double> report;
    bool spent = false;  // the request's bytes are gone: no other attempt can have them
};
// The body's last byte came: the node may start, and the client's time runs until then.
struct Filled {
    RequestId id = 0;
    Micros deadlineUs = 0;
};
struct Written {
    RequestId id = 0;
    int attempt = 0;
};  // its last byte is with the node
struct Answering {
    RequestId id = 0;
    int attempt = 0;
};  // its answer began and is not whole: the node has done its work
struct Streaming {
    RequestId id = 0;
    int attempt = 0;
    bool freely = false;  // without a deadline from here on: the node has done its work, only bytes follow
};                        // its answer began to reach the client
struct ClientDisconnected {
    RequestId id = 0;
};
struct Leaving {
    Micros untilUs = 0;
};  // the process ends in order, without a successor, and serves until then
struct Crowded {
    int places = 0;
};  // the front needs so many of the places that waiting requests hold
struct News {
    NodeList list;
};
// An operator's override of a node: it stands above every list until a newer one.
struct AdminOverride {
    bool out = true;
    Micros at = 0;
    auto operator<=>(const AdminOverride&) const = default;
};
using AdminOverrides = std::map<std::string, AdminOverride, std::less<>>;  // the newest, by node
struct Overridden {
    std::string node;
    AdminOverride order;
};
struct Heard {
    int from = 0;
    std::string bytes;
};
struct Probed {
    std::string node;
    Outcome outcome = Outcome::Ok;
    Micros tookUs = 0;
    std::vector<double> report;
};
struct Wake {};        // some time of State::nextWake has come
struct CloseBatch {};  // all that was ready has been put in
using Input = std::variant<Arrived, Filled, Ended, Written, Answering, Streaming, ClientDisconnected, Leaving,
                           Crowded, News, Overridden, Heard, Probed, Wake, CloseBatch>;

// ---- effects
struct StartAttempt {
    RequestId id = 0;
    int attempt = 0;
    std::string node;
    Micros firstByteBy = 0;      // past this time not a byte may be written
    Micros giveUpAt = 0;         // the time-out, which the reducer keeps
    Micros lastByteBy = kNever;  // past this time its last byte may not be written; the reducer keeps it too
    static constexpr Micros kNever = INT64_MAX;
};
struct StopAttempt {
    RequestId id = 0;
    int attempt = 0;
};  // close its connection; it reports nothing more
struct Deliver {
    RequestId id = 0;
    int attempt = 0;
};  // the final answer is this attempt's
struct RefuseClient {
    RequestId id = 0;
    Micros retryAfterUs = 0;
};
struct FailClient {
    RequestId id = 0;
};
struct Tell {
    int to = 0;
    std::string bytes;
};  // to -1: every peer
struct Watch {
    bool on = true;
};
struct ProbeStart {
    std::string node;
};
struct Say {
    std::string text;
};
using Effect =
    std::variant<StartAttempt, StopAttempt, Deliver, RefuseClient, FailClient, Tell, Watch, ProbeStart, Say>;
using Effects = std::vector<Effect>;

struct Limits {
    Micros connectUs = 250'000;  // a connection that is not up by then has failed
};

// Final answers of one class. What its client left before is in none of them.
struct Answers {
    std::uint64_t delivered = 0, refused = 0, failed = 0;
};
struct Counters {
    std::uint64_t taken = 0, disconnected = 0, overdue = 0, batches = 0;
    std::uint64_t withdrawn = 0;  // attempts stopped as the client left before they were whole at their node
    std::uint64_t tooLate = 0;    // repeats that were not whole at their node within their class's window
    std::uint64_t attempts = 0, written = 0, late = 0;  // written: whole, to a node
    std::vector<Answers> byClass;                       // by class; the last for those of none
    Answers all() const {
        Answers sum;
        for (const auto& c : byClass)
            sum.delivered += c.delivered, sum.refused += c.refused, sum.failed += c.failed;
        return sum;
    }
    std::array<std::uint64_t, 8> outcomes{};  // by Outcome
};

// What a successor process of this front starts from.
struct Handed {
    std::vector<NodeInfo> listed;
    std::map<std::string, Micros, std::less<>> drains;
    std::vector<std::string> seen;
    std::string module;
};

class State {
public:
    State(const Settings& settings, const Limits& limits, Micros now);
    Micros nextWake() const;  // no earlier wake-up is needed; kNoWake: none
    const Counters& counters() const { return counters_; }
    std::size_t open() const { return open_; }  // requests without their final answer
    // Entries in all tables, the module's too, but for the ids of nodes that are gone: of those it keeps
    // kMostSeen, for an operator's call.
    std::size_t kept() const {
        return requests_.size() + alarms_.size() + listed_.size() + drains_.size() + overrides_.size() +
               policy_.kept();
    }
    // Listed nodes that it does not use: by hand, draining, or by choice.
    std::size_t avoided() const { return policy_.avoided(); }
    const fleet::Arrival& arrival() const { return policy_.arrival(); }
    bool everListed(const std::string& node) const { return listed_.contains(node) || seen_.contains(node); }
    const AdminOverrides& overrides() const { return overrides_; }
    std::size_t outByHand() const;
    static constexpr Micros kNoWake = INT64_MAX;
    static constexpr std::size_t kMostSeen = 4'096;  // the oldest go first

private:
    friend Effects reduce(State& state, Micros now, Input input);
    friend Handed handOver(State& state, Micros now);
    friend bool restore(State& state, const Handed& handed);
    struct Attempt {
        std::string node;
        Micros startedAt = 0, giveUpAt = 0, lastByteBy = StartAttempt::kNever;
        bool written = false;  // whole, to its node
    };
    struct Live {
        Micros deadlineUs = 0;
        int cell = -1, classIndex = -1, attempts = 0;
        bool done = false, streaming = false, freely = false;
        bool filling = false, longBody = false;  // its body still comes; it came piece by piece
        std::map<int, Attempt> out;
    };
    enum class Due { Timer, AttemptTimeout, Overdue, LastByte };
    struct Alarm {
        Micros at = 0;
        Due due = Due::Timer;
        std::uint64_t what = 0;  // a token, or a request
        int attempt = 0;
        auto operator<=>(const Alarm&) const = default;
    };
    using Requests = std::unordered_map<RequestId, Live>;

    void take(const Arrived& in);
    void take(const Filled& in);
    void take(Ended in);
    void take(const Written& in);
    void take(const Answering& in);
    void take(const Streaming& in);
    void take(const ClientDisconnected& in);
    void take(const Leaving& in);
    void take(const Crowded& in);
    void take(News in);
    void take(const Overridden& in);
    void take(Heard in);
    void take(Probed in);
    void take(const Wake&);
    void take(const CloseBatch&);
    void act(const Send& a);
    void act(const Refuse& a);
    void act(const Fail& a);
    void act(const Cancel& a);
    void act(const ProbeNode& a);
    void act(const TellPeer& a);
    void act(const SetTimer& a);
    void act(const WatchList& a);
    void act(const Note& a);
    void tell(const Event& event);
    void endAttempt(Requests::iterator it, int attempt, Ended how);
    void stop(Requests::iterator it, int attempt, Outcome how);  // the last of an answered request forgets it
    void answer(RequestId id, std::uint64_t Answers::*kind, Effect effect);  // final, unless there was one
    std::uint64_t& count(const Live& live, std::uint64_t Answers::*kind);
    NodeInfo asTold(NodeInfo listed) const;  // with the operators' override laid over the list's
    void noteDrain(const NodeInfo& told);
    void finish(Live& live);
    void forget(Requests::iterator it);
    void quiet(const Alarm& alarm);
    bool sendable(const Live& live, const std::string& node) const;

    Settings settings_;
    Limits limits_;
    Micros now_;
    Policy policy_;
    Requests requests_;
    std::map<std::string, NodeInfo, std::less<>> listed_;  // as the list says
    std::set<std::string> seen_;                           // ever listed
    std::deque<std::string> seenOrder_;
    AdminOverrides overrides_;  // who is out by hand, and who was called back: cold from there on
    std::map<std::string, Micros, std::less<>> drains_;  // of those that drain: when that was read
    std::multiset<Alarm> alarms_;
    std::vector<Ended> moot_;  // told in the next batch, as the module expects
    Effects effects_;
    Counters counters_;
    std::size_t open_ = 0;
    bool touched_ = true;  // the module's first actions are waiting
};

// Moves the state by one input at a time that never falls, and returns what is to be done outside.
Effects reduce(State& state, Micros now, Input input);
// The rights pass to a successor; what is open here is finished.
Handed handOver(State& state, Micros now);
// Before the first input but operators' overrides. False: the module refused its part, and the rest is taken.
bool restore(State& state, const Handed& handed);

}  // namespace wingproxy::core
