/// \file
/// A front's state without sockets or a clock, for tests of the reducer that put in one input at a time.
#pragma once

#include <utility>
#include <vector>

#include "core/reducer.h"
#include "support/policy_support.h"

namespace wingproxy::test {

/// Puts in one input and ends its batch.
inline core::Effects reduceBatch(core::FrontState& state, Micros now, core::Input input) {
    auto effects = core::reduce(state, now, std::move(input));
    for (auto& effect : core::reduce(state, now, core::BatchEnded{}))
        effects.push_back(std::move(effect));
    return effects;
}

/// The effects of one type, in order.
template <typename T>
std::vector<T> effectsOf(const core::Effects& effects) {
    std::vector<T> found;
    for (const auto& effect : effects)
        if (const auto* match = std::get_if<T>(&effect)) found.push_back(*match);
    return found;
}

/// The result of an attempt, without a load report.
inline core::AttemptFinished finished(RequestId id, AttemptIndex attempt, Outcome outcome) {
    return {id, attempt, outcome, 0, 0, {}};
}
inline core::AttemptFinished finished(RequestId id, int attempt, Outcome outcome) {
    return finished(id, AttemptIndex(attempt), outcome);
}

/// A front with the nodes n0 in cell 0 and n1 in cell 1.
struct ReducerFixture {
    ReducerFixture() : state(settings(), core::AttemptLimits{250 * kMs}, kStart) {
        put(EndpointListReceived{nodes({node("n0", 0), node("n1", 1)})});
    }
    core::Effects put(core::Input input) { return reduceBatch(state, now, std::move(input)); }
    core::Effects expireTimersAt(Micros when) {
        now = when;
        return put(core::TimerExpired{});
    }
    /// A request for an object in cell 0.
    core::Effects receive(RequestId id, int classIndex = 0, Micros timeAllowed = 2'000 * kMs) {
        auto received = request(id, classIndex, 1, now);
        received.deadlineUs = now + timeAllowed;
        return put(RequestReceived{received});
    }
    core::Effects list(const NodeInfo& changed) {
        return put(EndpointListReceived{nodes({changed}, EndpointListKind::Delta)});
    }

    Micros now = kStart;
    core::FrontState state;
};

}  // namespace wingproxy::test
