// Settings, events and a host with a clock, for tests that feed events to a `Policy`.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::test {

constexpr Micros kMs = 1000, kSecond = 1'000'000, kStart = 10'000'000;

inline Settings settings(int host = 0, int hosts = 1) {
    Settings s;
    s.seed = 77 + static_cast<std::uint64_t>(host);
    s.hostIndex = HostIndex(host);
    s.hostCount = hosts;
    ClassInfo safe{"safe", 500 * kMs, 2 * kSecond, 5 * kSecond, 2, 0.1};
    ClassInfo keyed{"keyed",       500 * kMs, 4 * kSecond, kSecond, 2, 0.1, RetrySafety::IdempotentWithKey,
                    KeyScope::Cell};
    ClassInfo unsafe{"unsafe", 500 * kMs, 2 * kSecond, 5 * kSecond, 2, 0.1, RetrySafety::NotIdempotent};
    ClassInfo ordered{"ordered", 500 * kMs, 2 * kSecond, 5 * kSecond, 2, 0.1};
    ordered.fifoByKey = true;
    s.classes = {safe, keyed, unsafe, ordered};
    s.plans = {{"limited", 4, 1, 1, 1, 20, 48, 8}, {"open", 4, 4, 1, 1, 0, 0, 0}};
    s.maxAttempts = 3;
    s.mayGossip = hosts > 1;
    s.sendsRetryAfter = true;
    s.maxRetryAfterUs = 500 * kMs;
    s.responseSlackUs = 8 * kMs;
    s.drainGraceUs = 500 * kMs;
    s.slowStartCapacity = 0.25;
    s.slowStartOverloadFactor = 2;
    s.slowStartUnits = 12;
    s.slowStartWindowUs = 2 * kSecond;
    s.slowStartDurationUs = 10 * kSecond;
    s.meanUnits = 2;
    s.maxUnits = 6;
    s.shareWeight = 0.3;
    s.spareWeight = 0.1;
    s.cellCount = 2;
    s.keyCooldownUs = 300 * kMs;
    return s;
}

inline EndpointList nodes(std::vector<NodeInfo> list, EndpointListKind kind = EndpointListKind::Full) {
    return {kind, 1, std::move(list)};
}
inline NodeInfo node(std::string id, int cell, NodeState state = NodeState::Ready, Micros started = 0) {
    return {std::move(id), "hall", CellIndex(cell), 1, state, started};
}

inline Request request(RequestId id, int cls, int plan, Micros now, double units = 2, int cell = 0,
                       int hosts = 1) {
    Request r;
    r.id = id;
    r.classIndex = ClassIndex(cls);
    r.planIndex = PlanIndex(plan);
    r.key = std::string("k").append(std::to_string(id));
    r.volume = plan == 0 ? "vol-limited" : "vol-open";
    r.deadlineUs = now + 2 * kSecond;
    r.units = units;
    r.cell = CellIndex(cell);
    r.volumeHosts = hosts;
    return r;
}

inline AttemptOutcome ended(RequestId id, int attempt, const std::string& node, Outcome outcome,
                            Micros took = 20 * kMs) {
    return {id, AttemptIndex(attempt), node, outcome, took, outcome == Outcome::Ok, 0, 0, {}};
}

// Any event of the policy, written without the wrappers of requests and endpoint lists.
struct AnyEvent {
    template <typename T>
    AnyEvent(T value) : event(wrap(std::move(value))) {}  // implicit, so that a batch is a plain list
    static Event wrap(Request request) { return RequestReceived{std::move(request)}; }
    static Event wrap(EndpointList list) { return EndpointListReceived{std::move(list)}; }
    template <typename T>
    static Event wrap(T value) {
        return Event(std::move(value));
    }
    Event event;
};

// One host under test: a policy, its clock and its due timers.
struct Host {
    Host(const Settings& s, Micros at) : policy(s, at), now(at) {}
    std::vector<Action> batch(std::vector<AnyEvent> events = {}) {
        for (const auto& e : events)
            policy.on(now, e.event);
        auto actions = policy.finish(now);
        for (const auto& a : actions)
            if (const auto* t = std::get_if<SetTimer>(&a)) timers.emplace(now + t->delayUs, t->token);
        return actions;
    }
    // Runs to `until`, firing timers, and gathers all actions on the way.
    std::vector<Action> runTo(Micros until) {
        std::vector<Action> all;
        while (!timers.empty() && timers.begin()->first <= until) {
            now = timers.begin()->first;
            const TimerFired fired{timers.begin()->second};
            timers.erase(timers.begin());
            for (auto& a : batch({fired}))
                all.push_back(std::move(a));
        }
        now = until;
        return all;
    }
    Policy policy;
    Micros now;
    std::multimap<Micros, std::uint64_t> timers;
};

template <typename T>
std::vector<T> only(const std::vector<Action>& actions) {
    std::vector<T> out;
    for (const auto& a : actions)
        if (const auto* t = std::get_if<T>(&a)) out.push_back(*t);
    return out;
}

}  // namespace wingproxy::test
