// Small helpers for tests that feed a Policy by hand.
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
    s.host = host;
    s.hosts = hosts;
    ClassInfo safe{"safe", 500 * kMs, 2 * kSecond, 5 * kSecond, 2, 0.1};
    ClassInfo keyed{"keyed", 500 * kMs, 4 * kSecond, kSecond, 2, 0.1, Effect::Deduplicated, Scope::Cell};
    ClassInfo unsafe{"unsafe", 500 * kMs, 2 * kSecond, 5 * kSecond, 2, 0.1, Effect::AtMostOnce};
    ClassInfo ordered{"ordered", 500 * kMs, 2 * kSecond, 5 * kSecond, 2, 0.1};
    ordered.fifoByKey = true;
    s.classes = {safe, keyed, unsafe, ordered};
    s.plans = {{"limited", 4, 1, 1, 1, 20, 48, 8}, {"open", 4, 4, 1, 1, 0, 0, 0}};
    s.maxAttempts = 3;
    s.mayTellPeers = hosts > 1;
    s.retryAdvice = true;
    s.maxRetryAfterUs = 500 * kMs;
    s.answerSlackUs = 8 * kMs;
    s.drainGraceUs = 500 * kMs;
    s.coldStart = 0.25;
    s.coldMultiple = 2;
    s.coldUnits = 12;
    s.coldSpanUs = 2 * kSecond;
    s.warmAfterUs = 10 * kSecond;
    s.meanUnits = 2;
    s.maxUnits = 6;
    s.shareWorth = 0.3;
    s.spareWorth = 0.1;
    s.cells = 2;
    s.keyRestUs = 300 * kMs;
    return s;
}

inline NodeList nodes(std::vector<NodeInfo> list, ListKind kind = ListKind::Full) { return {kind, 1, std::move(list)}; }
inline NodeInfo node(std::string id, int cell, NodeState state = NodeState::Ready, Micros started = 0) {
    return {std::move(id), "hall", cell, 1, state, started};
}

inline Request request(RequestId id, int cls, int plan, Micros now, double units = 2, int cell = 0, int hosts = 1) {
    Request r;
    r.id = id;
    r.classIndex = cls;
    r.planIndex = plan;
    r.key = std::string("k").append(std::to_string(id));
    r.volume = plan == 0 ? "vol-limited" : "vol-open";
    r.deadlineUs = now + 2 * kSecond;
    r.units = units;
    r.cell = cell;
    r.volumeHosts = hosts;
    return r;
}

inline AttemptEnded ended(RequestId id, int attempt, const std::string& node, Outcome outcome, Micros took = 20 * kMs) {
    return {id, attempt, node, outcome, took, outcome == Outcome::Ok, 0, 0, {}};
}

// One host under test: a policy, its clock and its due timers.
struct Host {
    Host(const Settings& s, Micros at) : policy(s, at), now(at) {}
    std::vector<Action> batch(std::vector<Event> events = {}) {
        for (const auto& e : events) policy.on(now, e);
        auto actions = policy.finish(now);
        for (const auto& a : actions)
            if (const auto* t = std::get_if<SetTimer>(&a)) timers.emplace(now + t->inUs, t->token);
        return actions;
    }
    // Runs to `until`, firing timers, and gathers all actions on the way.
    std::vector<Action> runTo(Micros until) {
        std::vector<Action> all;
        while (!timers.empty() && timers.begin()->first <= until) {
            now = timers.begin()->first;
            const TimerFired fired{timers.begin()->second};
            timers.erase(timers.begin());
            for (auto& a : batch({fired})) all.push_back(std::move(a));
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
