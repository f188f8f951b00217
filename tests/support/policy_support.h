/// \file
/// Settings, nodes, requests and a host with a clock, for tests that feed events to a Policy directly.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::test {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kStart = 10'000'000;

/// Settings with four classes (0: idempotent, 1: idempotent with a key, 2: not idempotent, 3: ordered by key)
/// and two plans (0: with a limit, 1: without).
inline Settings settings(int host = 0, int hosts = 1) {
    Settings settings;
    settings.seed = 77 + static_cast<std::uint64_t>(host);
    settings.hostIndex = HostIndex(host);
    settings.hostCount = hosts;
    ClassInfo safe{"safe", 500 * kMs, 2 * kSecond, 5 * kSecond, 2, 0.1};
    ClassInfo keyed{"keyed",       500 * kMs, 4 * kSecond, kSecond, 2, 0.1, RetrySafety::IdempotentWithKey,
                    KeyScope::Cell};
    ClassInfo unsafe{"unsafe", 500 * kMs, 2 * kSecond, 5 * kSecond, 2, 0.1, RetrySafety::NotIdempotent};
    ClassInfo ordered{"ordered", 500 * kMs, 2 * kSecond, 5 * kSecond, 2, 0.1};
    ordered.fifoByKey = true;
    settings.classes = {safe, keyed, unsafe, ordered};
    settings.plans = {{"limited", 4, 1, 1, 1, 20, 48, 8}, {"open", 4, 4, 1, 1, 0, 0, 0}};
    settings.maxAttempts = 3;
    settings.mayGossip = hosts > 1;
    settings.sendsRetryAfter = true;
    settings.maxRetryAfterUs = 500 * kMs;
    settings.responseSlackUs = 8 * kMs;
    settings.drainGraceUs = 500 * kMs;
    settings.slowStartCapacity = 0.25;
    settings.slowStartOverloadFactor = 2;
    settings.slowStartUnits = 12;
    settings.slowStartWindowUs = 2 * kSecond;
    settings.slowStartDurationUs = 10 * kSecond;
    settings.meanUnits = 2;
    settings.maxUnits = 6;
    settings.shareWeight = 0.3;
    settings.spareWeight = 0.1;
    settings.cellCount = 2;
    settings.keyCooldownUs = 300 * kMs;
    return settings;
}

/// An endpoint list of version 1.
inline EndpointList nodes(std::vector<NodeInfo> list, EndpointListKind kind = EndpointListKind::Full) {
    return {kind, 1, std::move(list)};
}
/// A node of zone "hall" with rating 1.
/// \param started when its process started, microseconds; 0: long ago
inline NodeInfo node(std::string id, int cell, NodeState state = NodeState::Ready, Micros started = 0) {
    return {std::move(id), "hall", CellIndex(cell), 1, state, started};
}

/// A request with a unique key for the volume of its plan; its deadline is 2 s after `now`.
/// \param hosts that serve the volume
inline Request request(RequestId id, int classIndex, int plan, Micros now, double units = 2, int cell = 0,
                       int hosts = 1) {
    Request request;
    request.id = id;
    request.classIndex = ClassIndex(classIndex);
    request.planIndex = PlanIndex(plan);
    request.key = std::string("k").append(std::to_string(id));
    request.volume = plan == 0 ? "vol-limited" : "vol-open";
    request.deadlineUs = now + 2 * kSecond;
    request.units = units;
    request.cell = CellIndex(cell);
    request.volumeHosts = hosts;
    return request;
}

/// The outcome of an attempt, without a load report.
/// \param took time since the start of the attempt
inline AttemptOutcome ended(RequestId id, int attempt, const std::string& node, Outcome outcome,
                            Micros took = 20 * kMs) {
    return {id, AttemptIndex(attempt), node, outcome, took, outcome == Outcome::Ok, 0, 0, {}};
}

/// Any policy event; a request or an endpoint list is wrapped in its event type.
struct AnyEvent {
    template <typename T>
    AnyEvent(T value) : event(wrap(std::move(value))) {}  // implicit: a batch is an initializer list
    static Event wrap(Request request) { return RequestReceived{std::move(request)}; }
    static Event wrap(EndpointList list) { return EndpointListReceived{std::move(list)}; }
    template <typename T>
    static Event wrap(T value) {
        return Event(std::move(value));
    }
    Event event;
};

/// One host under test: a policy, its clock and its timers.
struct Host {
    Host(const Settings& settings, Micros start) : policy(settings, start), now(start) {}
    /// Feeds the policy a batch of events and records the timers that it sets.
    /// \return the actions of the batch
    std::vector<Action> batch(const std::vector<AnyEvent>& events = {}) {
        for (const auto& any : events)
            policy.on(now, any.event);
        auto actions = policy.finish(now);
        for (const auto& action : actions)
            if (const auto* timer = std::get_if<SetTimer>(&action))
                timers.emplace(now + timer->delayUs, timer->token);
        return actions;
    }
    /// Advances the clock to `until`; each timer that falls due is a batch of its own.
    /// \return the actions of all these batches
    std::vector<Action> runTo(Micros until) {
        std::vector<Action> all;
        while (!timers.empty() && timers.begin()->first <= until) {
            now = timers.begin()->first;
            const TimerFired fired{timers.begin()->second};
            timers.erase(timers.begin());
            for (auto& action : batch({fired}))
                all.push_back(std::move(action));
        }
        now = until;
        return all;
    }

    Policy policy;
    Micros now;
    std::multimap<Micros, std::uint64_t> timers;  ///< tokens by due time
};

/// The actions of one type, in their order.
template <typename T>
std::vector<T> only(const std::vector<Action>& actions) {
    std::vector<T> found;
    for (const auto& action : actions)
        if (const auto* typed = std::get_if<T>(&action)) found.push_back(*typed);
    return found;
}

}  // namespace wingproxy::test
