/// \file
/// The reducer: the only place where the state of a front changes, as (FrontState, Input) -> Effects.
///
/// It has no I/O, no clock and no knowledge of wire formats. Protocol code reports requests and the ends of
/// attempts as inputs; the `Policy`, which gets its events in batches, decides. What the caller must do is
/// returned as effects, in order.
///
/// `FrontState` owns the request table, the endpoint table, and the timers, counters and policy of its
/// context. It handles inputs, expired timers and the policy's actions; attempts and final answers are
/// handled in attempt_lifecycle.h and final_answers.h. Not thread-safe: one event loop owns a `FrontState`.
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

/// The complete state of one front, and its transitions.
class FrontState {
public:
    /// Returned by `nextWake` if no timer is set.
    static constexpr Micros kNoWake = INT64_MAX;

    /// \param now the start of this process, in microseconds since the Unix epoch
    FrontState(const Settings& settings, const AttemptLimits& limits, Micros now);
    FrontState(const FrontState&) = delete;  // its components refer to each other
    FrontState& operator=(const FrontState&) = delete;

    /// See `core::reduce`.
    Effects reduce(Micros now, Input input);
    /// See `core::takeSnapshot`.
    StateSnapshot takeSnapshot(Micros now);
    /// See `core::restore`.
    [[nodiscard]] bool restore(const StateSnapshot& snapshot);

    /// When the caller must put in the next `TimerExpired`; `kNoWake`: not before another input.
    [[nodiscard]] Micros nextWake() const;
    /// Counters since the start of the process. The reference is valid as long as this object.
    [[nodiscard]] const Counters& counters() const { return context_.counters; }
    /// Counters of what was sent to nodes in slow start.
    [[nodiscard]] SlowStartCounters slowStartCounters() const {
        return context_.slowStart.counters(context_.now);
    }
    /// Number of requests without a final answer.
    [[nodiscard]] std::size_t openRequests() const { return requests_.unanswered(); }
    /// Number of entries in the request, timer, endpoint and policy tables. The ever-listed ids, which have
    /// their own bound, and the nodes of the slow start monitor are not included.
    [[nodiscard]] std::size_t tableEntries() const;
    /// Number of listed nodes that get no requests, or only trial ones: under an administrative drain,
    /// draining, or suspected to be faulty by the policy.
    [[nodiscard]] std::size_t avoidedNodes() const { return context_.policy.avoidedNodes(); }
    /// The recovery after the start: which leases this front may spend and grant.
    [[nodiscard]] const fleet::RestartRecovery& recovery() const { return context_.policy.recovery(); }
    /// Whether the node is listed or was listed before.
    [[nodiscard]] bool everListed(const std::string& node) const { return endpoints_.everListed(node); }
    /// The newest admin override of each node. Valid until the next input.
    [[nodiscard]] const AdminOverrides& overrides() const { return endpoints_.overrides(); }
    /// Number of nodes under an administrative drain.
    [[nodiscard]] std::size_t adminDrainedNodes() const { return endpoints_.adminDrainedNodes(); }

private:
    // Inputs.
    void handle(const RequestReceived& input);
    void handle(const RequestBodyCompleted& input);
    void handle(const BodyDeadlineChanged& input);
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

    /// Passes a list, to which the overrides have been applied, to the slow start monitor and the policy.
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

    /// The event that reports that the response to this attempt started now.
    [[nodiscard]] ResponseStarted responseStarted(RequestId id, AttemptIndex attempt,
                                                  const InFlightAttempt& inFlight) const;

    ReducerContext context_;
    RequestTable requests_;
    EndpointTable endpoints_;
    FinalAnswers answers_;
    AttemptLifecycle attempts_;
};

/// Handles one input and returns what the caller must do.
/// \param now microseconds since the Unix epoch; a time before that of the last input is replaced by that
Effects reduce(FrontState& state, Micros now, Input input);
/// Takes the snapshot from which a successor process starts. From then on the successor alone spends and
/// grants leases; this process only finishes its requests in flight, with the tokens reserved for them.
StateSnapshot takeSnapshot(FrontState& state, Micros now);
/// Restores a snapshot. Must be called before the first input, admin overrides excepted.
/// \return false if the policy rejected its part; the rest is restored nevertheless
bool restore(FrontState& state, const StateSnapshot& snapshot);

}  // namespace wingproxy::core
