#include "core/reducer.h"

#include <algorithm>
#include <utility>

namespace wingproxy::core {
namespace {

Timer requestDeadlineTimer(RequestId id, Micros at) { return {at, TimerKind::RequestDeadline, id, {}}; }
Timer attemptTimer(RequestId id, AttemptIndex attempt, Micros at) {
    return {at, TimerKind::AttemptTimeout, id, attempt};
}
Timer lastByteTimer(RequestId id, AttemptIndex attempt, Micros at) {
    return {at, TimerKind::LastByte, id, attempt};
}

/// The attempt never ran at its node, so that the request's bytes do not matter.
bool neverRan(Outcome outcome) { return outcome == Outcome::ConnectFailed || outcome == Outcome::Rejected; }

}  // namespace

State::State(const Settings& settings, const Limits& limits, Micros now)
    : settings_(settings),
      limits_(limits),
      now_(now),
      policy_(settings, now),
      endpoints_(settings.slowStartDurationUs) {
    counters_.byClass.resize(settings.classes.size() + 1);
}

Effects State::reduce(Micros now, Input input) {
    now_ = std::max(now_, now);
    std::visit([this](auto&& received) { handle(std::forward<decltype(received)>(received)); },
               std::move(input));
    return std::exchange(effects_, {});
}

StateSnapshot State::takeSnapshot(Micros now) {
    now_ = std::max(now_, now);
    StateSnapshot snapshot;
    endpoints_.saveTo(snapshot);
    snapshot.policySnapshot = policy_.takeSnapshot(now_);
    return snapshot;
}

bool State::restore(const StateSnapshot& snapshot) {
    endpoints_.restoreFrom(snapshot);
    return policy_.restore(snapshot.policySnapshot);
}

Micros State::nextWake() const { return timers_.nextExpiry().value_or(kNoWake); }

std::size_t State::tableEntries() const {
    return requests_.size() + timers_.size() + endpoints_.size() + policy_.tableEntries();
}

void State::notifyPolicy(const Event& event) {
    policyPending_ = true;
    policy_.on(now_, event);
}

// ------------------------------------------------------------------------------------------------ inputs

void State::handle(const RequestReceived& input) {
    const Request& request = input.request;
    if (requests_.add(request) == nullptr) return;
    timers_.schedule(requestDeadlineTimer(request.id, request.deadlineUs));
    ++counters_.received;
    notifyPolicy(input);
}

void State::handle(const RequestBodyCompleted& input) {
    InFlightRequest* request = requests_.find(input.id);
    if (request == nullptr || !request->bodyIncomplete) return;
    request->bodyIncomplete = false;
    timers_.cancel(requestDeadlineTimer(input.id, request->deadlineUs));
    request->deadlineUs = input.deadlineUs;
    if (request->answered) return;
    timers_.schedule(requestDeadlineTimer(input.id, input.deadlineUs));
    extendAttempts(input.id, *request);
    notifyPolicy(input);
}

void State::handle(AttemptFinished input) {
    const AttemptLookup found = requests_.findAttempt(input.id, input.attempt);
    if (!found) {
        ++counters_.lateResults;  // stopped or timed out before, of which the policy was notified then
        return;
    }
    endAttempt(*found.request, std::move(input));
}

void State::handle(const AttemptRequestSent& input) {
    ++counters_.requestsSent;
    const AttemptLookup found = requests_.findAttempt(input.id, input.attempt);
    if (!found) return;
    found.attempt->requestSent = true;
    timers_.cancel(lastByteTimer(input.id, input.attempt, found.attempt->lastByteBy));
}

void State::handle(const ResponseHeadReceived& input) {
    const AttemptLookup found = requests_.findAttempt(input.id, input.attempt);
    if (!found || found.request->answered) return;
    ResponseStarted started = responseStarted(input.id, input.attempt, *found.attempt);
    started.nodeDone = true;
    started.forwarding = false;
    notifyPolicy(started);
}

void State::handle(const ResponseForwardingStarted& input) {
    const AttemptLookup found = requests_.findAttempt(input.id, input.attempt);
    if (!found || found.request->answered) return;
    InFlightRequest& request = *found.request;
    request.forwarding = true;
    if (input.unbounded) {
        request.unbounded = true;
        timers_.cancel(requestDeadlineTimer(input.id, request.deadlineUs));
        timers_.cancel(attemptTimer(input.id, input.attempt, found.attempt->timeoutAt));
    }
    ResponseStarted started = responseStarted(input.id, input.attempt, *found.attempt);
    started.nodeDone = input.unbounded;
    started.forwarding = true;
    notifyPolicy(started);
}

void State::handle(const ClientDisconnected& input) {
    InFlightRequest* request = requests_.find(input.id);
    if (request == nullptr || request->answered) return;
    ++counters_.disconnected;
    requests_.markAnswered(*request);
    notifyPolicy(RequestCancelled{input.id});
    // An attempt whose bytes go to the client or come from it as they arrive ends with the client, and so
    // does one whose request is not complete at its node: nobody waits for that work. The outcome of any
    // other attempt still says something about its node.
    const bool endsWithClient = request->unbounded || request->bodyIncomplete;
    std::vector<AttemptIndex> cancelled;
    for (const auto& [number, attempt] : request->attempts) {
        if (endsWithClient || !attempt.requestSent) cancelled.push_back(number);
        if (!attempt.requestSent) ++counters_.cancelledBeforeSent;
    }
    for (const AttemptIndex attempt : cancelled)
        stopAttempt(input.id, attempt, Outcome::Cancelled);
    eraseIfFinished(input.id);
}

void State::handle(const ShutdownStarted& input) { notifyPolicy(input); }

void State::handle(const CapacityNeeded& input) { notifyPolicy(input); }

void State::handle(EndpointListReceived input) {
    notifyPolicy(EndpointListReceived{endpoints_.update(std::move(input.list), now_)});
}

void State::handle(const AdminOverrideChanged& input) {
    const auto changed = endpoints_.update(input, now_);
    if (changed) notifyPolicy(EndpointListReceived{{EndpointListKind::Delta, 0, {*changed}}});
}

void State::handle(PeerMessageReceived input) { notifyPolicy(std::move(input)); }

void State::handle(HealthCheckCompleted input) { notifyPolicy(std::move(input)); }

void State::handle(const TimerExpired&) {
    while (const auto timer = timers_.popExpired(now_))
        expire(*timer);
}

void State::handle(const BatchEnded&) {
    while (policyPending_) {
        policyPending_ = false;
        ++counters_.batches;
        for (const auto& action : policy_.finish(now_))
            std::visit([this](const auto& ordered) { apply(ordered); }, action);
        notifyNotStarted();
    }
}

// ------------------------------------------------------------------------------------------------ timers

void State::expire(const Timer& timer) {
    switch (timer.kind) {
        case TimerKind::Policy:
            notifyPolicy(TimerFired{timer.id});
            return;
        case TimerKind::AttemptTimeout:
            expireAttempt(timer);
            return;
        case TimerKind::LastByte:
            expireLastByte(timer);
            return;
        case TimerKind::RequestDeadline:
            expireRequest(timer.id);
            return;
    }
}

void State::expireAttempt(const Timer& timer) {
    if (requests_.findAttempt(timer.id, timer.attempt))
        stopAttempt(timer.id, timer.attempt, Outcome::Timeout);
}

void State::expireLastByte(const Timer& timer) {
    if (!requests_.findAttempt(timer.id, timer.attempt)) return;
    ++counters_.lastByteTimeouts;
    // Stopped before its last byte was written, so it never ran.
    stopAttempt(timer.id, timer.attempt, Outcome::ConnectFailed);
}

void State::expireRequest(RequestId id) {
    const InFlightRequest* request = requests_.find(id);
    if (request == nullptr || request->answered || !request->attempts.empty()) return;
    // The policy answers well before the deadline; this keeps the deadline even if it does not.
    ++counters_.deadlineExceeded;
    answer(id, &ResponseCounts::failed, SendFailure{id});
    notifyPolicy(RequestCancelled{id});
}

// ------------------------------------------------------------------------------------------------ attempts

void State::notifyNotStarted() {
    for (const auto& ordered : std::exchange(notStartedAttempts_, {})) {
        const InFlightRequest* request = requests_.find(ordered.id);
        ++counters_.outcomes[static_cast<std::size_t>(Outcome::NotStarted)];
        AttemptOutcome outcome;
        outcome.id = ordered.id;
        outcome.attempt = ordered.attempt;
        outcome.outcome = Outcome::NotStarted;
        outcome.requestClosed = request == nullptr || request->answered;
        notifyPolicy(outcome);
    }
}

ResponseStarted State::responseStarted(RequestId id, AttemptIndex attempt,
                                       const InFlightAttempt& inFlight) const {
    ResponseStarted started;
    started.id = id;
    started.attempt = attempt;
    started.node = inFlight.node;
    started.elapsedUs = now_ - inFlight.startedAt;
    return started;
}

bool State::mayStart(const InFlightRequest& request, const std::string& node) const {
    const NodeInfo* listed = endpoints_.find(node);
    if (request.answered || listed == nullptr || now_ >= request.deadlineUs) return false;
    if (request.attemptsOrdered > settings_.maxAttempts) return false;
    return request.cell.isNone() || request.cell == listed->cell;
}

void State::startAttempt(const ForwardRequest& action, AttemptIndex attempt, InFlightRequest& request) {
    ++counters_.attempts;
    const AttemptConditions conditions{request.deadlineUs, request.bodyIncomplete,
                                       endpoints_.drainingSince(action.node)};
    const AttemptDeadlines deadlines =
        attemptDeadlines(action, conditions, settings_.drainGraceUs, limits_, now_);
    effects_.push_back(StartAttempt{action.id, attempt, action.node, deadlines.firstByteBy,
                                    deadlines.timeoutAt, deadlines.lastByteBy});
    timers_.schedule(attemptTimer(action.id, attempt, deadlines.timeoutAt));
    if (deadlines.lastByteBy != StartAttempt::kNever)
        timers_.schedule(lastByteTimer(action.id, attempt, deadlines.lastByteBy));
    request.attempts.emplace(attempt,
                             InFlightAttempt{action.node, now_, deadlines.timeoutAt, deadlines.lastByteBy});
}

/// The request's body is complete: the node starts only now, so the attempts run until the new deadline.
void State::extendAttempts(RequestId id, InFlightRequest& request) {
    for (auto& [number, attempt] : request.attempts) {
        timers_.cancel(attemptTimer(id, number, attempt.timeoutAt));
        attempt.timeoutAt = request.deadlineUs;
        attempt.startedAt = now_;
        if (!request.unbounded) timers_.schedule(attemptTimer(id, number, attempt.timeoutAt));
    }
}

/// Ends an attempt in flight from this side.
void State::stopAttempt(RequestId id, AttemptIndex attempt, Outcome outcome) {
    effects_.push_back(StopAttempt{id, attempt});
    endAttempt(*requests_.find(id), {id, attempt, outcome, 0, 0, {}});
}

void State::endAttempt(InFlightRequest& request, AttemptFinished result) {
    const auto it = request.attempts.find(result.attempt);
    const InFlightAttempt ended = std::move(it->second);
    request.attempts.erase(it);
    if (request.bodyStreamed && !neverRan(result.outcome)) result.requestSpent = true;
    timers_.cancel(attemptTimer(result.id, result.attempt, ended.timeoutAt));
    timers_.cancel(lastByteTimer(result.id, result.attempt, ended.lastByteBy));
    ++counters_.outcomes[static_cast<std::size_t>(result.outcome)];
    answerFromAttempt(request, result);
    notifyPolicy(AttemptOutcome{result.id, result.attempt, ended.node, result.outcome, now_ - ended.startedAt,
                                request.answered, result.loadPercent, result.loadElsewhere,
                                std::move(result.loadReport), result.requestSpent});
    eraseIfFinished(result.id);
}

/// The first success is the final answer, and a response that breaks while it is forwarded is a final
/// failure. What follows from any other outcome is the policy's decision.
void State::answerFromAttempt(InFlightRequest& request, const AttemptFinished& result) {
    if (request.answered) return;
    if (result.outcome == Outcome::Ok) {
        markAnswered(request, &ResponseCounts::delivered);
        effects_.push_back(DeliverResponse{result.id, result.attempt});
    } else if (request.forwarding) {
        markAnswered(request, &ResponseCounts::failed);
        effects_.push_back(SendFailure{result.id});
    }
}

// ------------------------------------------------------------------------------------------------ requests

/// Gives the final answer, unless there was one.
void State::answer(RequestId id, std::uint64_t ResponseCounts::*count, Effect effect) {
    InFlightRequest* request = requests_.find(id);
    if (request == nullptr || request->answered) return;
    markAnswered(*request, count);
    effects_.push_back(std::move(effect));
    eraseIfFinished(id);
}

void State::markAnswered(InFlightRequest& request, std::uint64_t ResponseCounts::*count) {
    ++(answersOf(request).*count);
    requests_.markAnswered(request);
}

/// Also cancels the deadline: a client may allow an hour, and an answered request must not keep a timer as
/// long.
void State::eraseIfFinished(RequestId id) {
    const InFlightRequest* request = requests_.find(id);
    if (request == nullptr || !request->isFinished()) return;
    timers_.cancel(requestDeadlineTimer(id, request->deadlineUs));
    requests_.erase(id);
}

ResponseCounts& State::answersOf(const InFlightRequest& request) {
    const std::size_t unknownClass = settings_.classes.size();
    const bool isKnown = request.classIndex.isBelow(int(unknownClass));
    return counters_.byClass[isKnown ? request.classIndex.position() : unknownClass];
}

// ------------------------------------------------------------------------------------ actions of the policy

void State::apply(const ForwardRequest& action) {
    InFlightRequest* request = requests_.find(action.id);
    const AttemptIndex attempt(request == nullptr ? 0 : request->attemptsOrdered++);
    if (request != nullptr && mayStart(*request, action.node))
        startAttempt(action, attempt, *request);
    else
        notStartedAttempts_.push_back({action.id, attempt, Outcome::NotStarted, 0, 0, {}});
}

void State::apply(const RejectRequest& action) {
    answer(action.id, &ResponseCounts::rejected, SendRejection{action.id, action.retryAfterUs});
}

void State::apply(const FailRequest& action) {
    answer(action.id, &ResponseCounts::failed, SendFailure{action.id});
}

void State::apply(const CancelAttempt& action) {
    const AttemptLookup found = requests_.findAttempt(action.id, action.attempt);
    if (!found || found.request->forwarding) return;  // the client is getting that response already
    stopAttempt(action.id, action.attempt, Outcome::Cancelled);
}

void State::apply(const StartHealthCheck& action) { effects_.push_back(action); }

void State::apply(const SendPeerMessage& action) { effects_.push_back(action); }

void State::apply(const SetTimer& action) {
    const Micros delay = std::max<Micros>(1, action.delayUs);
    timers_.schedule({now_ + delay, TimerKind::Policy, action.token, {}});
}

void State::apply(const WatchEndpointList& action) { effects_.push_back(action); }

void State::apply(const LogLine& action) { effects_.push_back(action); }

// ------------------------------------------------------------------------------------------ free functions

Effects reduce(State& state, Micros now, Input input) { return state.reduce(now, std::move(input)); }

StateSnapshot takeSnapshot(State& state, Micros now) { return state.takeSnapshot(now); }

bool restore(State& state, const StateSnapshot& snapshot) { return state.restore(snapshot); }

}  // namespace wingproxy::core
