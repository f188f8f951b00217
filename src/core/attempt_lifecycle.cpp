#include "core/attempt_lifecycle.h"

#include <utility>

#include "core/attempt_deadlines.h"

namespace wingproxy::core {
namespace {

/// The attempt never ran at its node, so that the request's bytes do not matter.
bool neverRan(Outcome outcome) { return outcome == Outcome::ConnectFailed || outcome == Outcome::Rejected; }

void countOutcome(Counters& counters, Outcome outcome) {
    ++counters.outcomes[static_cast<std::size_t>(outcome)];
}

}  // namespace

void AttemptLifecycle::start(const ForwardRequest& order) {
    InFlightRequest* request = parts_.requests.find(order.id);
    const AttemptIndex attempt(request == nullptr ? 0 : request->attemptsOrdered++);
    if (request != nullptr && mayStart(*request, order.node))
        startNow(order, attempt, *request);
    else
        notStarted_.push_back({order.id, attempt});
}

bool AttemptLifecycle::mayStart(const InFlightRequest& request, const std::string& node) const {
    const NodeInfo* listed = parts_.endpoints.find(node);
    if (request.answered || listed == nullptr || parts_.context.now >= request.deadlineUs) return false;
    if (request.attemptsOrdered > parts_.context.settings.maxAttempts) return false;
    return request.cell.isNone() || request.cell == listed->cell;
}

void AttemptLifecycle::startNow(const ForwardRequest& order, AttemptIndex attempt, InFlightRequest& request) {
    ReducerContext& context = parts_.context;
    ++context.counters.attempts;
    context.slowStart.onAttemptStarted(order.node, request.units, context.now);
    const AttemptConditions conditions{request.deadlineUs, request.bodyIncomplete,
                                       parts_.endpoints.drainingSince(order.node)};
    const AttemptDeadlines deadlines =
        attemptDeadlines(order, conditions, context.settings.drainGraceUs, context.limits, context.now);
    context.emit(StartAttempt{order.id, attempt, order.node, deadlines.firstByteBy, deadlines.timeoutAt,
                              deadlines.lastByteBy});
    context.timers.schedule(Timer::attemptTimeout(order.id, attempt, deadlines.timeoutAt));
    if (deadlines.lastByteBy != StartAttempt::kNever)
        context.timers.schedule(Timer::lastByte(order.id, attempt, deadlines.lastByteBy));
    request.attempts.emplace(
        attempt, InFlightAttempt{order.node, context.now, deadlines.timeoutAt, deadlines.lastByteBy});
}

void AttemptLifecycle::cancel(const CancelAttempt& order) {
    const AttemptLookup found = parts_.requests.findAttempt(order.id, order.attempt);
    if (!found || found.request->forwarding) return;  // the client is getting that response already
    stop(order.id, order.attempt, Outcome::Cancelled);
}

void AttemptLifecycle::stop(RequestId id, AttemptIndex attempt, Outcome outcome) {
    parts_.context.emit(StopAttempt{id, attempt});
    end(*parts_.requests.find(id), {id, attempt, outcome, 0, 0, {}});
}

void AttemptLifecycle::finish(AttemptFinished result) {
    const AttemptLookup found = parts_.requests.findAttempt(result.id, result.attempt);
    if (!found) {
        ++parts_.context.counters.lateResults;  // the policy was notified when it was stopped
        return;
    }
    end(*found.request, std::move(result));
}

void AttemptLifecycle::end(InFlightRequest& request, AttemptFinished result) {
    ReducerContext& context = parts_.context;
    const auto it = request.attempts.find(result.attempt);
    const InFlightAttempt ended = std::move(it->second);
    request.attempts.erase(it);
    if (request.bodyStreamed && !neverRan(result.outcome)) result.requestSpent = true;
    context.timers.cancel(Timer::attemptTimeout(result.id, result.attempt, ended.timeoutAt));
    context.timers.cancel(Timer::lastByte(result.id, result.attempt, ended.lastByteBy));
    countOutcome(context.counters, result.outcome);
    if (result.outcome == Outcome::Ok) context.slowStart.onAttemptCompleted(ended.node, request.units);
    parts_.answers.answerFromAttempt(request, result);
    context.notifyPolicy(AttemptOutcome{result.id, result.attempt, ended.node, result.outcome,
                                        context.now - ended.startedAt, request.answered, result.loadPercent,
                                        result.loadElsewhere, std::move(result.loadReport),
                                        result.requestSpent});
    parts_.answers.eraseIfFinished(result.id);
}

void AttemptLifecycle::requestSent(const AttemptRequestSent& input) {
    ++parts_.context.counters.requestsSent;
    const AttemptLookup found = parts_.requests.findAttempt(input.id, input.attempt);
    if (!found) return;
    found.attempt->requestSent = true;
    parts_.context.timers.cancel(Timer::lastByte(input.id, input.attempt, found.attempt->lastByteBy));
}

void AttemptLifecycle::extend(RequestId id, InFlightRequest& request) {
    TimerQueue& timers = parts_.context.timers;
    for (auto& [number, attempt] : request.attempts) {
        timers.cancel(Timer::attemptTimeout(id, number, attempt.timeoutAt));
        attempt.timeoutAt = request.deadlineUs;
        attempt.startedAt = parts_.context.now;
        if (!request.unbounded) timers.schedule(Timer::attemptTimeout(id, number, attempt.timeoutAt));
    }
}

void AttemptLifecycle::expireTimeout(const Timer& timer) {
    if (parts_.requests.findAttempt(timer.id, timer.attempt)) stop(timer.id, timer.attempt, Outcome::Timeout);
}

void AttemptLifecycle::expireLastByte(const Timer& timer) {
    if (!parts_.requests.findAttempt(timer.id, timer.attempt)) return;
    ++parts_.context.counters.lastByteTimeouts;
    stop(timer.id, timer.attempt, Outcome::ConnectFailed);
}

void AttemptLifecycle::notifyNotStarted() {
    for (const NotStarted& ordered : std::exchange(notStarted_, {})) {
        const InFlightRequest* request = parts_.requests.find(ordered.id);
        countOutcome(parts_.context.counters, Outcome::NotStarted);
        AttemptOutcome outcome;
        outcome.id = ordered.id;
        outcome.attempt = ordered.attempt;
        outcome.outcome = Outcome::NotStarted;
        outcome.requestClosed = request == nullptr || request->answered;
        parts_.context.notifyPolicy(outcome);
    }
}

}  // namespace wingproxy::core
