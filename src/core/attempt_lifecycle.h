/// \file
/// The attempts of all requests, from the policy's order to their one end.
#pragma once

#include <string>
#include <vector>

#include "core/endpoint_table.h"
#include "core/final_answers.h"
#include "core/inputs.h"
#include "core/reducer_context.h"
#include "core/request_table.h"

namespace wingproxy::core {

/// Starts, stops and ends attempts, with their timers, and notifies the policy of each end. The attempts in
/// flight are in the request table; this object owns those that were ordered and not started.
class AttemptLifecycle {
public:
    /// What attempts depend on. All of it outlives this object.
    struct Parts {
        ReducerContext& context;
        RequestTable& requests;
        const EndpointTable& endpoints;
        FinalAnswers& answers;
    };
    /// Starts without attempts; the parts may still be empty.
    explicit AttemptLifecycle(Parts parts) : parts_(parts) {}

    /// Starts the attempt that the policy ordered, unless its request or its node does not allow it any more.
    void start(const ForwardRequest& order);
    /// Stops the attempt that the policy does not need any more, unless the client is getting its response.
    void cancel(const CancelAttempt& order);
    /// Ends an attempt in flight from this side: its connection is closed, and it reports nothing more.
    void stop(RequestId id, AttemptIndex attempt, Outcome outcome);
    /// Ends an attempt with the result that it reported. A late one, of an attempt that is not in flight, is
    /// counted only.
    void finish(AttemptFinished result);
    /// The attempt's last byte is with the node; its timer for that is cancelled.
    void requestSent(const AttemptRequestSent& input);
    /// The request's body is complete: the node starts only now, so its attempts run until the new deadline.
    void extend(RequestId id, InFlightRequest& request);

    /// No response came in time.
    void expireTimeout(const Timer& timer);
    /// The last byte was not written in time: the attempt never ran.
    void expireLastByte(const Timer& timer);

    /// Notifies the policy of the attempts that it ordered and that were not started since the last call.
    void notifyNotStarted();

private:
    [[nodiscard]] bool mayStart(const InFlightRequest& request, const std::string& node) const;
    void startNow(const ForwardRequest& order, AttemptIndex attempt, InFlightRequest& request);
    void end(InFlightRequest& request, AttemptFinished result);

    /// An attempt that was ordered and not started.
    struct NotStarted {
        RequestId id = 0;
        AttemptIndex attempt{0};
    };

    Parts parts_;
    std::vector<NotStarted> notStarted_;
};

}  // namespace wingproxy::core
