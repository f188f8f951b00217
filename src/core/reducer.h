/// \file
/// The reducer: the one place where the state of a front changes, as (FrontState, Input) -> Effects.
///
/// It has no I/O, no clock and no knowledge of a wire format. The protocol fronts report requests, the node
/// clients report how attempts ended; the `Policy`, which is fed in batches, decides. What is to be done
/// outside is returned as effects, in order.
///
/// `FrontState` owns the request table, the endpoint table, and the timers, counters and policy of its
/// context. It handles inputs, expired timers and the policy's actions; what attempts and final answers do is
/// in attempt_lifecycle.h and final_answers.h. Not thread-safe: one event loop owns a `FrontState`.
#pragma once

#include <cstddef>
#include <string>

#include "core/attempt_deadlines.h"
#include "core/attempt_lifecycle.h"
#include "core/counters.h"
#include "core/effects.h"
#include "core/endpoint_table.h"
#include "core/final_answers.h"
#include "core/inputs.h"
#include "core/reducer_context.h"
#include "core/request_table.h"
#include "core/state_snapshot.h"
#include "wingproxy/policy.h"

namespace wingproxy::core {

/// Everything that one front knows and decides.
class FrontState {
public:
    /// A time that does not come: no timer is set.
    static constexpr Micros kNoWake = INT64_MAX;

    /// \param now the start of this process, in microseconds since the Unix epoch
    FrontState(const Settings& settings, const AttemptLimits& limits, Micros now);
    FrontState(const FrontState&) = delete;  // its parts refer to each other
    FrontState& operator=(const FrontState&) = delete;

    /// See `core::reduce`.
    Effects reduce(Micros now, Input input);
    /// See `core::takeSnapshot`.
    StateSnapshot takeSnapshot(Micros now);
    /// See `core::restore`.
    [[nodiscard]] bool restore(const StateSnapshot& snapshot);

    /// When `TimerExpired` must be put in, at the latest; kNoWake: not before another input.
    [[nodiscard]] Micros nextWake() const;
    /// Since the start of the process. Valid as long as the state.
    [[nodiscard]] const Counters& counters() const { return context_.counters; }
    /// What was sent to nodes in slow start.
    [[nodiscard]] SlowStartCounters slowStartCounters() const {
        return context_.slowStart.counters(context_.now);
    }
    /// Requests without their final answer.
    [[nodiscard]] std::size_t openRequests() const { return requests_.unanswered(); }
    /// Entries in all tables, the policy's too, but for the ever-listed ids, which have their own bound.
    [[nodiscard]] std::size_t tableEntries() const;
    /// Listed nodes that get no requests: under an administrative drain, draining, or ejected by the policy.
    [[nodiscard]] std::size_t avoidedNodes() const { return context_.policy.avoidedNodes(); }
    /// What this front may spend and lend after its start.
    [[nodiscard]] const fleet::RestartRecovery& recovery() const { return context_.policy.recovery(); }
    /// Whether the node is listed or was listed before.
    [[nodiscard]] bool everListed(const std::string& node) const { return endpoints_.everListed(node); }
    /// The newest operator's order for each node. Valid until the next input.
    [[nodiscard]] const AdminOverrides& overrides() const { return endpoints_.overrides(); }
    /// Nodes under an administrative drain.
    [[nodiscard]] std::size_t adminDrainedNodes() const { return endpoints_.adminDrainedNodes(); }

private:
    // Inputs.
    void handle(const RequestReceived& input);
    void handle(const RequestBodyCompleted& input);
    void handle(AttemptFinished input);
    void handle(const AttemptRequestSent& input);
    void handle(const ResponseHeadReceived& input);
    void handle(const ResponseForwardingStarted& input);
    void handle(const ClientDisconnected& input);
    void handle(const ShutdownStarted& input);
    void handle(const CapacityNeeded& input);
    void handle(EndpointListReceived input);
    void handle(const AdminOverrideChanged& input);
    void handle(PeerMessageReceived input);
    void handle(HealthCheckCompleted input);
    void handle(const TimerExpired& input);
    void handle(const BatchEnded& input);

    /// Passes a list with the overrides applied to the policy.
    void updateEndpoints(EndpointList list);
    void expire(const Timer& timer);
    void expireRequest(RequestId id);

    // Actions of the policy.
    void apply(const ForwardRequest& action) { attempts_.start(action); }
    void apply(const RejectRequest& action) { answers_.reject(action); }
    void apply(const FailRequest& action) { answers_.fail(action.id, action.reason); }
    void apply(const CancelAttempt& action) { attempts_.cancel(action); }
    void apply(const StartHealthCheck& action) { context_.emit(action); }
    void apply(const SendPeerMessage& action) { context_.emit(action); }
    void apply(const SetTimer& action);
    void apply(const WatchEndpointList& action) { context_.emit(action); }
    void apply(const LogLine& action) { context_.emit(action); }

    /// The event that the node's response to this attempt started now.
    [[nodiscard]] ResponseStarted responseStarted(RequestId id, AttemptIndex attempt,
                                                  const InFlightAttempt& inFlight) const;

    ReducerContext context_;
    RequestTable requests_;
    EndpointTable endpoints_;
    FinalAnswers answers_;
    AttemptLifecycle attempts_;
};

/// Takes one input and returns what is to be done outside.
/// \param now never falls; an earlier time counts as that of the last input
Effects reduce(FrontState& state, Micros now, Input input);
/// What a successor starts from. It has all rights from then on; requests in flight are finished here.
StateSnapshot takeSnapshot(FrontState& state, Micros now);
/// Takes over a snapshot; to be called before the first input, admin overrides excepted.
/// \return false: the policy rejected its part; the rest is in force
bool restore(FrontState& state, const StateSnapshot& snapshot);

}  // namespace wingproxy::core
