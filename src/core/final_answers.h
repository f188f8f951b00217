/// \file
/// The one final answer of each request, and the end of a request with its last attempt.
#pragma once

#include <cstdint>

#include "core/inputs.h"
#include "core/reducer_context.h"
#include "core/request_table.h"

namespace wingproxy::core {

/// Gives final answers: counts them by class, and emits the effect. A request that has one, or whose client
/// disconnected, gets no other. Owns nothing.
class FinalAnswers {
public:
    /// \param context, requests outlive this object
    FinalAnswers(ReducerContext& context, RequestTable& requests) : context_(context), requests_(requests) {}

    /// Answers as the result of an attempt demands: the first success is delivered, and a response that
    /// breaks while it is forwarded is a failure. What follows from any other outcome is the policy's
    /// decision. The request stays in the table.
    void answerFromAttempt(InFlightRequest& request, const AttemptFinished& result);
    /// The policy rejected the request: nothing ran, and the client may try again.
    void reject(const RejectRequest& action);
    /// The request failed. Without effect where it has its answer.
    void fail(RequestId id, AnswerReason reason = AnswerReason::Unknown);
    /// Removes a request that has its answer and no attempt in flight. Its deadline is cancelled as well: a
    /// client may allow an hour, and an answered request must not keep a timer as long.
    void eraseIfFinished(RequestId id);

private:
    /// A count of `ResponseCounts`.
    using Count = std::uint64_t ResponseCounts::*;

    void answer(RequestId id, Count count, AnswerReason reason, Effect effect);
    void markAnswered(InFlightRequest& request, Count count);
    [[nodiscard]] ResponseCounts& countsOf(const InFlightRequest& request);

    ReducerContext& context_;
    RequestTable& requests_;
};

}  // namespace wingproxy::core
