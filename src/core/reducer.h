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

#include "core/effects.h"
#include "core/events.h"
#include "wingproxy/policy.h"

namespace wingproxy::core {

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
struct StateSnapshot {
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
    std::size_t openRequests() const { return open_; }  // requests without their final answer
    // Entries in all tables, the module's too, but for the ids of nodes that are gone: of those it keeps
    // kMostSeen, for an operator's call.
    std::size_t tableEntries() const {
        return requests_.size() + alarms_.size() + listed_.size() + drains_.size() + overrides_.size() +
               policy_.tableEntries();
    }
    // Listed nodes that it does not use: by hand, draining, or by choice.
    std::size_t avoidedNodes() const { return policy_.avoidedNodes(); }
    const fleet::RestartRecovery& recovery() const { return policy_.recovery(); }
    bool everListed(const std::string& node) const { return listed_.contains(node) || seen_.contains(node); }
    const AdminOverrides& overrides() const { return overrides_; }
    std::size_t adminDrainedNodes() const;
    static constexpr Micros kNoWake = INT64_MAX;
    static constexpr std::size_t kMostSeen = 4'096;  // the oldest go first

private:
    friend Effects reduce(State& state, Micros now, Input input);
    friend StateSnapshot takeSnapshot(State& state, Micros now);
    friend bool restore(State& state, const StateSnapshot& snapshot);
    struct Attempt {
        std::string node;
        Micros startedAt = 0, timeoutAt = 0, lastByteBy = StartAttempt::kNever;
        bool written = false;  // whole, to its node
    };
    struct Live {
        Micros deadlineUs = 0;
        int cell = -1, classIndex = -1, attempts = 0;
        bool done = false, streaming = false, unbounded = false;
        bool bodyIncomplete = false, longBody = false;  // its body still comes; it came piece by piece
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

    void take(const RequestReceived& in);
    void take(const RequestBodyCompleted& in);
    void take(AttemptFinished in);
    void take(const AttemptRequestSent& in);
    void take(const ResponseHeadReceived& in);
    void take(const ResponseForwardingStarted& in);
    void take(const ClientDisconnected& in);
    void take(const ShutdownStarted& in);
    void take(const CapacityNeeded& in);
    void take(EndpointListReceived in);
    void take(const AdminOverrideChanged& in);
    void take(PeerMessageReceived in);
    void take(HealthCheckCompleted in);
    void take(const TimerExpired&);
    void take(const BatchEnded&);
    void act(const ForwardRequest& a);
    void act(const RejectRequest& a);
    void act(const FailRequest& a);
    void act(const CancelAttempt& a);
    void act(const StartHealthCheck& a);
    void act(const SendPeerMessage& a);
    void act(const SetTimer& a);
    void act(const WatchEndpointList& a);
    void act(const LogLine& a);
    void tell(const Event& event);
    void endAttempt(Requests::iterator it, int attempt, AttemptFinished how);
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
    std::vector<AttemptFinished> moot_;  // told in the next batch, as the module expects
    Effects effects_;
    Counters counters_;
    std::size_t open_ = 0;
    bool touched_ = true;  // the module's first actions are waiting
};

// Moves the state by one input at a time that never falls, and returns what is to be done outside.
Effects reduce(State& state, Micros now, Input input);
// The rights pass to a successor; what is open here is finished.
StateSnapshot takeSnapshot(State& state, Micros now);
// Before the first input but operators' overrides. False: the module refused its part, and the rest is taken.
bool restore(State& state, const StateSnapshot& snapshot);

}  // namespace wingproxy::core
