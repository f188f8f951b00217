/// \file
/// Gives each request its one final answer, and removes it once its last attempt has ended as well.
#pragma once

#include <cstdint>

#include "core/inputs.h"
#include "core/reducer_context.h"
#include "core/request_table.h"

namespace wingproxy::core {

/// Gives final answers: counts them by class and emits the effect. A request that already has its answer, or
/// whose client disconnected, gets none. Owns no state.
class FinalAnswers {
public:
    /// \param context, requests outlive this object
    FinalAnswers(ReducerContext& context, RequestTable& requests) : context_(context), requests_(requests) {}

    /// Answers a request if the result of its attempt determines the answer: the first success is delivered,
    /// and a response that breaks off while it is forwarded is a failure. After any other outcome the policy
    /// decides. The request stays in the table.
    void answerFromAttempt(InFlightRequest& request, const AttemptFinished& result);
    /// Rejects the request, as the policy decided: nothing ran, and the client may try again. Does nothing if
    /// the request already has its answer.
    void reject(const RejectRequest& action);
    /// Fails the request. Does nothing if it already has its answer.
    void fail(RequestId id, AnswerReason reason = AnswerReason::Unknown);
    /// Removes a request that has its answer and no attempt in flight, and cancels its deadline timer: a
    /// client may allow an hour, and an answered request must not keep a timer for that long.
    void eraseIfFinished(RequestId id);

private:
    /// A member of `ResponseCounts`.
    using Count = std::uint64_t ResponseCounts::*;

    void answer(RequestId id, Count count, AnswerReason reason, Effect effect);
    void markAnswered(InFlightRequest& request, Count count);
    [[nodiscard]] ResponseCounts& countsOf(const InFlightRequest& request);

    ReducerContext& context_;
    RequestTable& requests_;
};

}  // namespace wingproxy::core
