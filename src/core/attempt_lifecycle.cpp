#include "core/attempt_lifecycle.h"

#include <utility>

#include "core/attempt_deadlines.h"

namespace wingproxy::core {
namespace {

/// Whether the attempt certainly never ran at its node. Then a streamed body alone does not rule out another
/// attempt.
bool neverRan(Outcome outcome) { return outcome == Outcome::ConnectFailed || outcome == Outcome::Rejected; }

void countOutcome(Counters& counters, Outcome outcome) {
    ++counters.outcomes[static_cast<std::size_t>(outcome)];
}

}  // namespace

void AttemptLifecycle::start(const ForwardRequest& action) {
    InFlightRequest* request = deps_.requests.find(action.id);
    const AttemptIndex attempt(request == nullptr ? 0 : request->attemptCount++);
    if (request != nullptr && mayStart(*request, action.node))
        startNow(action, attempt, *request);
    else
        notStarted_.push_back({action.id, attempt});
}

bool AttemptLifecycle::mayStart(const InFlightRequest& request, const std::string& node) const {
    const NodeInfo* listed = deps_.endpoints.find(node);
    if (request.answered || listed == nullptr || deps_.context.now >= request.deadlineUs) return false;
    if (request.attemptCount > deps_.context.settings.maxAttempts) return false;
    return request.cell.isNone() || request.cell == listed->cell;
}

void AttemptLifecycle::startNow(const ForwardRequest& action, AttemptIndex attempt,
                                InFlightRequest& request) {
    ReducerContext& context = deps_.context;
    ++context.counters.attempts;
    context.slowStart.onAttemptStarted(action.node, request.units, context.now);
    const Micros requestDeadline =
        request.bodyIncomplete ? bodyTimeout(request.bodyDeadlineUs, context.now) : request.deadlineUs;
    const AttemptConditions conditions{requestDeadline, deps_.endpoints.drainingSince(action.node)};
    const AttemptDeadlines deadlines =
        attemptDeadlines(action, conditions, context.settings.drainGraceUs, context.limits, context.now);
    context.emit(StartAttempt{action.id, attempt, action.node, deadlines.firstByteBy, deadlines.timeoutAt,
                              deadlines.lastByteBy});
    context.timers.schedule(Timer::attemptTimeout(action.id, attempt, deadlines.timeoutAt));
    if (deadlines.lastByteBy != StartAttempt::kNever)
        context.timers.schedule(Timer::lastByte(action.id, attempt, deadlines.lastByteBy));
    request.attempts.emplace(
        attempt, InFlightAttempt{action.node, context.now, deadlines.timeoutAt, deadlines.lastByteBy});
}

void AttemptLifecycle::cancel(const CancelAttempt& action) {
    const AttemptLookup found = deps_.requests.findAttempt(action.id, action.attempt);
    if (!found || found.request->forwarding) return;  // its response is already going to the client
    stop(action.id, action.attempt, Outcome::Cancelled);
}

void AttemptLifecycle::stop(RequestId id, AttemptIndex attempt, Outcome outcome) {
    deps_.context.emit(StopAttempt{id, attempt});
    end(*deps_.requests.find(id), {id, attempt, outcome, 0, 0, {}});
}

void AttemptLifecycle::finish(AttemptFinished result) {
    const AttemptLookup found = deps_.requests.findAttempt(result.id, result.attempt);
    if (!found) {
        ++deps_.context.counters.lateResults;  // the policy was notified when the attempt was stopped
        return;
    }
    end(*found.request, std::move(result));
}

void AttemptLifecycle::end(InFlightRequest& request, AttemptFinished result) {
    ReducerContext& context = deps_.context;
    const auto it = request.attempts.find(result.attempt);
    const InFlightAttempt ended = std::move(it->second);
    request.attempts.erase(it);
    if (request.bodyStreamed && !neverRan(result.outcome)) result.requestSpent = true;
    context.timers.cancel(Timer::attemptTimeout(result.id, result.attempt, ended.timeoutAt));
    context.timers.cancel(Timer::lastByte(result.id, result.attempt, ended.lastByteBy));
    countOutcome(context.counters, result.outcome);
    if (result.undelivered) ++context.counters.stoppedUndelivered;
    if (result.outcome == Outcome::Ok) context.slowStart.onAttemptCompleted(ended.node, request.units);
    deps_.answers.answerFromAttempt(request, result);
    context.notifyPolicy(AttemptOutcome{result.id, result.attempt, ended.node, result.outcome,
                                        context.now - ended.startedAt, request.answered, result.loadPercent,
                                        result.loadElsewhere, std::move(result.loadReport),
                                        result.requestSpent});
    deps_.answers.eraseIfFinished(result.id);
}

void AttemptLifecycle::requestSent(const AttemptRequestSent& input) {
    ++deps_.context.counters.requestsSent;
    const AttemptLookup found = deps_.requests.findAttempt(input.id, input.attempt);
    if (!found) return;
    found.attempt->requestSent = true;
}

void AttemptLifecycle::onBodyCompleted(RequestId id, InFlightRequest& request) {
    for (auto& [number, attempt] : request.attempts)
        attempt.startedAt = deps_.context.now;
    moveTimeouts(id, request, request.deadlineUs);
}

void AttemptLifecycle::moveTimeouts(RequestId id, InFlightRequest& request, Micros timeoutAt) {
    TimerQueue& timers = deps_.context.timers;
    for (auto& [number, attempt] : request.attempts) {
        timers.cancel(Timer::attemptTimeout(id, number, attempt.timeoutAt));
        attempt.timeoutAt = timeoutAt;
        if (!request.unbounded) timers.schedule(Timer::attemptTimeout(id, number, attempt.timeoutAt));
    }
}

void AttemptLifecycle::expireTimeout(const Timer& timer) {
    if (deps_.requests.findAttempt(timer.id, timer.attempt)) stop(timer.id, timer.attempt, Outcome::Timeout);
}

void AttemptLifecycle::expireLastByte(const Timer& timer) {
    const AttemptLookup found = deps_.requests.findAttempt(timer.id, timer.attempt);
    if (!found) return;
    if (found.attempt->requestSent) {
        deps_.context.emit(StopUndeliveredAttempt{timer.id, timer.attempt, Outcome::Reset});
        return;
    }
    ++deps_.context.counters.lastByteTimeouts;
    stop(timer.id, timer.attempt, Outcome::ConnectFailed);
}

void AttemptLifecycle::notifyNotStarted() {
    for (const NotStarted& attempt : std::exchange(notStarted_, {})) {
        const InFlightRequest* request = deps_.requests.find(attempt.id);
        countOutcome(deps_.context.counters, Outcome::NotStarted);
        AttemptOutcome outcome;
        outcome.id = attempt.id;
        outcome.attempt = attempt.attempt;
        outcome.outcome = Outcome::NotStarted;
        outcome.requestClosed = request == nullptr || request->answered;
        deps_.context.notifyPolicy(outcome);
    }
}

}  // namespace wingproxy::core
