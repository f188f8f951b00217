/// \file
/// The lifecycle of all attempts, from the policy's action to the single outcome of each.
#pragma once

#include <string>
#include <vector>

#include "core/endpoint_table.h"
#include "core/final_answers.h"
#include "core/inputs.h"
#include "core/reducer_context.h"
#include "core/request_table.h"

namespace wingproxy::core {

/// Starts, stops and ends attempts, manages their timers, and notifies the policy of each outcome. Attempts
/// in flight are stored in the request table; this object owns only those that the policy ordered and that
/// could not be started.
class AttemptLifecycle {
public:
    /// Collaborators of this object, all of which outlive it.
    struct Dependencies {
        ReducerContext& context;
        RequestTable& requests;
        const EndpointTable& endpoints;
        FinalAnswers& answers;
    };
    /// Starts with no attempts.
    explicit AttemptLifecycle(Dependencies dependencies) : deps_(dependencies) {}

    /// Starts the attempt that the policy ordered, unless the state of its request or node no longer allows
    /// it.
    void start(const ForwardRequest& action);
    /// Stops an attempt that the policy no longer needs, unless its response is already being forwarded.
    void cancel(const CancelAttempt& action);
    /// Ends an attempt in flight from this side: its connection is closed and it reports no further result.
    void stop(RequestId id, AttemptIndex attempt, Outcome outcome);
    /// Ends an attempt with the result that it reported. A late result, of an attempt no longer in flight, is
    /// only counted.
    void finish(AttemptFinished result);
    /// Records that the whole request was given to the system for sending.
    void requestSent(const AttemptRequestSent& input);
    /// Restarts the attempts of a request when its body is complete: nodes start work only then, so that the
    /// attempts may run until the request's new deadline.
    void onBodyCompleted(RequestId id, InFlightRequest& request);
    /// Moves the timeouts of a request's attempts to `timeoutAt`.
    void moveTimeouts(RequestId id, InFlightRequest& request, Micros timeoutAt);

    /// Stops an attempt that got no response in time, with `Outcome::Timeout`.
    void expireTimeout(const Timer& timer);
    /// Stops an attempt whose last byte did not reach the node in time. If that byte was not even given to
    /// the system, the attempt never ran and its outcome is `Outcome::ConnectFailed`.
    void expireLastByte(const Timer& timer);

    /// Notifies the policy of the attempts that it ordered since the last call and that could not be started.
    void notifyNotStarted();

private:
    [[nodiscard]] bool mayStart(const InFlightRequest& request, const std::string& node) const;
    void startNow(const ForwardRequest& action, AttemptIndex attempt, InFlightRequest& request);
    void end(InFlightRequest& request, AttemptFinished result);

    /// An attempt that the policy ordered and that could not be started.
    struct NotStarted {
        RequestId id = 0;
        AttemptIndex attempt{0};
    };

    Dependencies deps_;
    std::vector<NotStarted> notStarted_;
};

}  // namespace wingproxy::core
