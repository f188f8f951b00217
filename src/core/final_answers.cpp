#include "core/final_answers.h"

#include <utility>

namespace wingproxy::core {

void FinalAnswers::answerFromAttempt(InFlightRequest& request, const AttemptFinished& result) {
    if (request.answered) return;
    if (result.outcome == Outcome::Ok) {
        markAnswered(request, &ResponseCounts::delivered);
        context_.emit(DeliverResponse{result.id, result.attempt});
    } else if (request.forwarding) {
        markAnswered(request, &ResponseCounts::failed);
        context_.emit(SendFailure{result.id});
    }
}

void FinalAnswers::reject(const RejectRequest& action) {
    answer(action.id, &ResponseCounts::rejected, action.reason,
           SendRejection{action.id, action.retryAfterUs, action.reason});
}

void FinalAnswers::fail(RequestId id, AnswerReason reason) {
    answer(id, &ResponseCounts::failed, reason, SendFailure{id, reason});
}

void FinalAnswers::eraseIfFinished(RequestId id) {
    const InFlightRequest* request = requests_.find(id);
    if (request == nullptr || !request->isFinished()) return;
    context_.timers.cancel(Timer::requestDeadline(id, request->deadlineUs));
    requests_.erase(id);
}

void FinalAnswers::answer(RequestId id, Count count, AnswerReason reason, Effect effect) {
    InFlightRequest* request = requests_.find(id);
    if (request == nullptr || request->answered) return;
    markAnswered(*request, count);
    ++context_.counters.answerReasons[static_cast<std::size_t>(reason)];
    context_.emit(std::move(effect));
    eraseIfFinished(id);
}

void FinalAnswers::markAnswered(InFlightRequest& request, Count count) {
    ++(countsOf(request).*count);
    requests_.markAnswered(request);
}

ResponseCounts& FinalAnswers::countsOf(const InFlightRequest& request) {
    const std::size_t unknownClass = context_.settings.classes.size();
    const bool isKnown = request.classIndex.isBelow(int(unknownClass));
    return context_.counters.byClass[isKnown ? request.classIndex.position() : unknownClass];
}

}  // namespace wingproxy::core
