#include "core/reducer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace wingproxy::core {

FrontState::FrontState(const Settings& settings, const AttemptLimits& limits, Micros now)
    : context_(settings, limits, now),
      endpoints_(settings.slowStartDurationUs),
      answers_(context_, requests_),
      attempts_({context_, requests_, endpoints_, answers_}) {}

Effects FrontState::reduce(Micros now, Input input) {
    context_.now = std::max(context_.now, now);
    std::visit([this](auto&& received) { handle(std::forward<decltype(received)>(received)); },
               std::move(input));
    return std::exchange(context_.effects, {});
}

StateSnapshot FrontState::takeSnapshot(Micros now) {
    context_.now = std::max(context_.now, now);
    StateSnapshot snapshot;
    endpoints_.saveTo(snapshot);
    snapshot.policySnapshot = context_.policy.takeSnapshot(context_.now);
    return snapshot;
}

bool FrontState::restore(const StateSnapshot& snapshot) {
    endpoints_.restoreFrom(snapshot);
    return context_.policy.restore(snapshot.policySnapshot);
}

Micros FrontState::nextWake() const { return context_.timers.nextExpiry().value_or(kNoWake); }

std::size_t FrontState::tableEntries() const {
    return requests_.size() + context_.timers.size() + endpoints_.size() + context_.policy.tableEntries();
}

// ------------------------------------------------------------------------------------------------ inputs

void FrontState::handle(const RequestReceived& input) {
    const Request& request = input.request;
    if (requests_.add(request) == nullptr) return;
    context_.timers.schedule(Timer::requestDeadline(request.id, request.deadlineUs));
    ++context_.counters.received;
    context_.notifyPolicy(input);
}

void FrontState::handle(const RequestBodyCompleted& input) {
    InFlightRequest* request = requests_.find(input.id);
    if (request == nullptr || !request->bodyIncomplete) return;
    request->bodyIncomplete = false;
    context_.timers.cancel(Timer::requestDeadline(input.id, request->deadlineUs));
    request->deadlineUs = input.deadlineUs;
    if (request->answered) return;
    context_.timers.schedule(Timer::requestDeadline(input.id, input.deadlineUs));
    attempts_.onBodyCompleted(input.id, *request);
    context_.notifyPolicy(input);
}

void FrontState::handle(const BodyDeadlineChanged& input) {
    InFlightRequest* request = requests_.find(input.id);
    if (request == nullptr || !request->bodyIncomplete || request->answered) return;
    request->bodyDeadlineUs = input.deadlineUs;
    attempts_.moveTimeouts(input.id, *request, bodyTimeout(input.deadlineUs, context_.now));
}

void FrontState::handle(AttemptFinished input) { attempts_.finish(std::move(input)); }

void FrontState::handle(const AttemptRequestSent& input) { attempts_.requestSent(input); }

void FrontState::handle(const ResponseHeadReceived& input) {
    const AttemptLookup found = requests_.findAttempt(input.id, input.attempt);
    if (!found || found.request->answered) return;
    ResponseStarted started = responseStarted(input.id, input.attempt, *found.attempt);
    started.nodeDone = true;
    started.forwarding = false;
    context_.notifyPolicy(started);
}

void FrontState::handle(const ResponseForwardingStarted& input) {
    const AttemptLookup found = requests_.findAttempt(input.id, input.attempt);
    if (!found || found.request->answered) return;
    InFlightRequest& request = *found.request;
    request.forwarding = true;
    if (input.unbounded) {
        request.unbounded = true;
        context_.timers.cancel(Timer::requestDeadline(input.id, request.deadlineUs));
        context_.timers.cancel(Timer::attemptTimeout(input.id, input.attempt, found.attempt->timeoutAt));
    }
    ResponseStarted started = responseStarted(input.id, input.attempt, *found.attempt);
    started.nodeDone = input.unbounded;
    started.forwarding = true;
    context_.notifyPolicy(started);
}

void FrontState::handle(const ClientDisconnected& input) {
    InFlightRequest* request = requests_.find(input.id);
    if (request == nullptr || request->answered) return;
    ++context_.counters.disconnected;
    requests_.markAnswered(*request);
    context_.notifyPolicy(RequestCancelled{input.id});
    // Stops the attempts that stream to or from the client, and those whose request has not reached the node
    // completely: no one needs that work. Any other attempt continues, because its outcome still informs the
    // policy about its node.
    const bool endsWithClient = request->unbounded || request->bodyIncomplete;
    std::vector<AttemptIndex> cancelled;
    for (const auto& [number, attempt] : request->attempts) {
        if (!attempt.requestSent) ++context_.counters.cancelledBeforeSent;
        if (endsWithClient || !attempt.requestSent)
            cancelled.push_back(number);
        else
            context_.emit(StopUndeliveredAttempt{input.id, number, Outcome::Cancelled});
    }
    for (const AttemptIndex attempt : cancelled)
        attempts_.stop(input.id, attempt, Outcome::Cancelled);
    answers_.eraseIfFinished(input.id);
}

void FrontState::handle(const ShutdownStarted& input) { context_.notifyPolicy(input); }

void FrontState::handle(const CapacityNeeded& input) { context_.notifyPolicy(input); }

void FrontState::handle(EndpointListReceived input) {
    updateEndpoints(endpoints_.update(std::move(input.list), context_.now));
}

void FrontState::handle(const AdminOverrideChanged& input) {
    const auto changed = endpoints_.update(input, context_.now);
    if (changed) updateEndpoints({EndpointListKind::Delta, 0, {*changed}});
}

void FrontState::updateEndpoints(EndpointList list) {
    for (std::string& line : context_.slowStart.onEndpointList(list, context_.now))
        context_.emit(LogLine{std::move(line)});
    context_.notifyPolicy(EndpointListReceived{std::move(list)});
}

void FrontState::handle(PeerMessageReceived input) { context_.notifyPolicy(std::move(input)); }

void FrontState::handle(HealthCheckCompleted input) { context_.notifyPolicy(std::move(input)); }

void FrontState::handle(const TimerExpired&) {
    while (const auto timer = context_.timers.popExpired(context_.now))
        expire(*timer);
}

void FrontState::handle(const BatchEnded&) {
    while (context_.policyPending) {
        context_.policyPending = false;
        ++context_.counters.batches;
        for (const auto& action : context_.policy.finish(context_.now))
            std::visit([this](const auto& typed) { apply(typed); }, action);
        attempts_.notifyNotStarted();
    }
}

// ------------------------------------------------------------------------------------------------ timers

void FrontState::expire(const Timer& timer) {
    switch (timer.kind) {
        case TimerKind::Policy:
            context_.notifyPolicy(TimerFired{timer.id});
            return;
        case TimerKind::AttemptTimeout:
            attempts_.expireTimeout(timer);
            return;
        case TimerKind::LastByte:
            attempts_.expireLastByte(timer);
            return;
        case TimerKind::RequestDeadline:
            expireRequest(timer.id);
            return;
    }
}

void FrontState::expireRequest(RequestId id) {
    const InFlightRequest* request = requests_.find(id);
    if (request == nullptr || request->answered || !request->attempts.empty()) return;
    // The policy answers well before the deadline; this enforces the deadline even if it does not.
    ++context_.counters.deadlineExceeded;
    answers_.fail(id);
    context_.notifyPolicy(RequestCancelled{id});
}

// ------------------------------------------------------------------------------------ actions of the policy

void FrontState::apply(const SetTimer& action) {
    const Micros delay = std::max<Micros>(1, action.delayUs);
    context_.timers.schedule(Timer::policyTimer(action.token, context_.now + delay));
}

// ------------------------------------------------------------------------------------------------ responses

ResponseStarted FrontState::responseStarted(RequestId id, AttemptIndex attempt,
                                            const InFlightAttempt& inFlight) const {
    ResponseStarted started;
    started.id = id;
    started.attempt = attempt;
    started.node = inFlight.node;
    started.elapsedUs = context_.now - inFlight.startedAt;
    return started;
}

// ------------------------------------------------------------------------------------------ free functions

Effects reduce(FrontState& state, Micros now, Input input) { return state.reduce(now, std::move(input)); }

StateSnapshot takeSnapshot(FrontState& state, Micros now) { return state.takeSnapshot(now); }

bool restore(FrontState& state, const StateSnapshot& snapshot) { return state.restore(snapshot); }

}  // namespace wingproxy::core
