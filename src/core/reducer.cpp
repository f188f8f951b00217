#include "core/reducer.h"

#include <algorithm>
#include <utility>

namespace wingproxy::core {
namespace {

// Part of the drain grace within which a decided attempt must write its first byte: the rest is for news that
// was told to this host but not read yet.
constexpr double kGracePart = 0.5;
// And to a node that is known to drain within this part from when that was read.
constexpr double kDrainPart = 0.8;
// A call back is forgotten so long after its node is warm: no older override of another process comes so
// late.
constexpr Micros kOverrideKept = 60'000'000;
// While a body is on its way to a node nothing else is waited for; the front ends what brings too little.
constexpr Micros kLongestBody = 3'600'000'000;

}  // namespace

State::State(const Settings& settings, const Limits& limits, Micros now)
    : settings_(settings), limits_(limits), now_(now), policy_(settings, now) {
    counters_.byClass.resize(settings.classes.size() + 1);
}

Micros State::nextWake() const { return alarms_.empty() ? kNoWake : alarms_.begin()->at; }

void State::tell(const Event& event) {
    touched_ = true;
    policy_.on(now_, event);
}

// ---------------------------------------------------------------- inputs

void State::take(const RequestReceived& in) {
    const auto [it, fresh] = requests_.try_emplace(in.request.id);
    if (!fresh) return;
    it->second.deadlineUs = in.request.deadlineUs;
    it->second.cell = in.request.cell;
    it->second.classIndex = in.request.classIndex;
    it->second.bodyIncomplete = it->second.longBody = in.request.bodyIncomplete;
    alarms_.insert({in.request.deadlineUs, Due::Overdue, in.request.id, 0});
    ++counters_.taken;
    ++open_;
    tell(in);
}

void State::take(const RequestBodyCompleted& in) {
    const auto it = requests_.find(in.id);
    if (it == requests_.end() || !it->second.bodyIncomplete) return;
    Live& live = it->second;
    live.bodyIncomplete = false;
    quiet({live.deadlineUs, Due::Overdue, in.id, 0});
    live.deadlineUs = in.deadlineUs;
    if (live.done) return;
    alarms_.insert({in.deadlineUs, Due::Overdue, in.id, 0});
    for (auto& [number, attempt] : live.out) {
        quiet({attempt.timeoutAt, Due::AttemptTimeout, in.id, number});
        attempt.timeoutAt = in.deadlineUs;
        attempt.startedAt = now_;
        if (!live.unbounded) alarms_.insert({in.deadlineUs, Due::AttemptTimeout, in.id, number});
    }
    tell(RequestBodyCompleted{in.id, in.deadlineUs});
}

void State::take(AttemptFinished in) {
    const auto it = requests_.find(in.id);
    if (it == requests_.end() || !it->second.out.contains(in.attempt)) {
        ++counters_.late;  // stopped or timed out before: already told
        return;
    }
    const int attempt = in.attempt;
    endAttempt(it, attempt, std::move(in));
}

void State::take(const AttemptRequestSent& in) {
    ++counters_.written;
    const auto it = requests_.find(in.id);
    if (it == requests_.end()) return;
    const auto attempt = it->second.out.find(in.attempt);
    if (attempt == it->second.out.end()) return;
    attempt->second.written = true;
    quiet({attempt->second.lastByteBy, Due::LastByte, in.id, in.attempt});
}

void State::take(const ResponseHeadReceived& in) {
    const auto it = requests_.find(in.id);
    if (it == requests_.end() || it->second.done) return;
    const auto attempt = it->second.out.find(in.attempt);
    if (attempt == it->second.out.end()) return;
    tell(ResponseStarted{in.id, in.attempt, attempt->second.node, now_ - attempt->second.startedAt, true,
                         false});
}

void State::take(const ResponseForwardingStarted& in) {
    const auto it = requests_.find(in.id);
    if (it == requests_.end() || it->second.done) return;
    const auto attempt = it->second.out.find(in.attempt);
    if (attempt == it->second.out.end()) return;
    it->second.streaming = true;
    if (in.unbounded) {
        it->second.unbounded = true;
        quiet({it->second.deadlineUs, Due::Overdue, in.id, 0});
        quiet({attempt->second.timeoutAt, Due::AttemptTimeout, in.id, in.attempt});
    }
    tell(ResponseStarted{in.id, in.attempt, attempt->second.node, now_ - attempt->second.startedAt,
                         in.unbounded, true});
}

void State::take(const ClientDisconnected& in) {
    const auto it = requests_.find(in.id);
    if (it == requests_.end() || it->second.done) return;
    ++counters_.disconnected;
    finish(it->second);
    tell(RequestCancelled{in.id});
    // What comes from a client or goes to it byte by byte ends with it, and so does what is not whole at its
    // node: nobody waits for that work. Anything else may still tell something.
    const bool bytes = it->second.unbounded || it->second.bodyIncomplete;
    std::vector<int> ends;
    for (const auto& [number, attempt] : it->second.out) {
        if (bytes || !attempt.written) ends.push_back(number);
        counters_.withdrawn += !attempt.written;
    }
    if (ends.empty()) return forget(it);
    for (const int attempt : ends)
        stop(it, attempt, Outcome::Cancelled);  // the last forgets the request
}

void State::take(const ShutdownStarted& in) { tell(ShutdownStarted{in.servesUntilUs}); }
void State::take(const CapacityNeeded& in) { tell(CapacityNeeded{in.connections}); }

NodeInfo State::asTold(NodeInfo listed) const {
    const auto entry = overrides_.find(listed.id);
    if (entry == overrides_.end()) return listed;
    if (!entry->second.drained)
        listed.startedUs = std::max(listed.startedUs, entry->second.at);
    else if (listed.state == NodeState::Ready)
        listed.state = NodeState::Draining;
    return listed;
}

void State::noteDrain(const NodeInfo& told) {
    if (told.state == NodeState::Draining)
        drains_.try_emplace(told.id, now_);
    else
        drains_.erase(told.id);
}

void State::take(EndpointListReceived in) {
    if (in.list.kind == EndpointListKind::Full || in.list.kind == EndpointListKind::Cached) listed_.clear();
    for (auto& node : in.list.nodes) {
        if (node.state == NodeState::Removed)
            listed_.erase(node.id);
        else
            listed_[node.id] = node;
        if (node.state != NodeState::Removed && seen_.insert(node.id).second) seenOrder_.push_back(node.id);
        node = asTold(std::move(node));
        noteDrain(node);
    }
    for (; seenOrder_.size() > kMostSeen; seenOrder_.pop_front())
        seen_.erase(seenOrder_.front());
    std::erase_if(drains_, [&](const auto& node) { return !listed_.contains(node.first); });
    std::erase_if(overrides_, [&](const auto& entry) {
        return !entry.second.drained &&
               now_ - entry.second.at > settings_.slowStartDurationUs + kOverrideKept;
    });
    tell(in);
}

// To the module a node that is out by hand drains, and one that was called back has just come up: it was
// restarted meanwhile, and the list may tell that later. Of two overrides the newer one counts.
void State::take(const AdminOverrideChanged& in) {
    const auto it = overrides_.find(in.node);
    const AdminOverride before = it == overrides_.end() ? AdminOverride{false, 0} : it->second;
    if (before.drained == in.order.drained || in.order.at <= before.at) return;
    overrides_.insert_or_assign(in.node, in.order);
    const auto node = listed_.find(in.node);
    if (node == listed_.end()) return;  // laid over the list that names it again
    const auto told = asTold(node->second);
    noteDrain(told);
    tell(EndpointListReceived{{EndpointListKind::Delta, 0, {told}}});
}

std::size_t State::adminDrainedNodes() const {
    return std::size_t(std::count_if(overrides_.begin(), overrides_.end(),
                                     [](const auto& entry) { return entry.second.drained; }));
}

void State::take(PeerMessageReceived in) { tell(PeerMessageReceived{in.from, std::move(in.bytes)}); }

void State::take(HealthCheckCompleted in) {
    tell(HealthCheckCompleted{std::move(in.node), in.outcome, in.elapsedUs, std::move(in.loadReport)});
}

void State::take(const TimerExpired&) {
    while (!alarms_.empty() && alarms_.begin()->at <= now_) {
        const Alarm alarm = *alarms_.begin();
        alarms_.erase(alarms_.begin());
        if (alarm.due == Due::Timer) {
            tell(TimerFired{alarm.what});
            continue;
        }
        const auto it = requests_.find(alarm.what);
        if (it == requests_.end()) continue;
        if (alarm.due == Due::AttemptTimeout) {
            if (it->second.out.contains(alarm.attempt)) stop(it, alarm.attempt, Outcome::Timeout);
        } else if (alarm.due == Due::LastByte) {
            if (!it->second.out.contains(alarm.attempt)) continue;
            ++counters_.tooLate;
            stop(it, alarm.attempt, Outcome::ConnectFailed);  // broken off before its last byte: it never ran
        } else if (!it->second.done && it->second.out.empty()) {
            // The module answers well before; this holds the rule should it ever not.
            ++counters_.overdue;
            answer(alarm.what, &Answers::failed, SendFailure{alarm.what});
            tell(RequestCancelled{alarm.what});
        }
    }
}

void State::take(const BatchEnded&) {
    while (touched_) {
        touched_ = false;
        ++counters_.batches;
        for (const auto& action : policy_.finish(now_))
            std::visit([this](const auto& a) { act(a); }, action);
        for (auto& ended : std::exchange(moot_, {})) {
            const auto it = requests_.find(ended.id);
            ++counters_.outcomes[static_cast<std::size_t>(Outcome::NotStarted)];
            tell(AttemptOutcome{ended.id,
                                ended.attempt,
                                {},
                                Outcome::NotStarted,
                                0,
                                it == requests_.end() || it->second.done,
                                0,
                                0,
                                {}});
        }
    }
}

void State::stop(Requests::iterator it, int attempt, Outcome how) {
    effects_.push_back(StopAttempt{it->first, attempt});
    endAttempt(it, attempt, {it->first, attempt, how, 0, 0, {}});
}

// An attempt's end: the first success is the answer, a broken stream is the end too; all else is the
// module's.
void State::endAttempt(Requests::iterator it, int attempt, AttemptFinished how) {
    Live& live = it->second;
    const Attempt was = std::move(live.out.at(attempt));
    live.out.erase(attempt);
    const bool neverRan = how.outcome == Outcome::ConnectFailed || how.outcome == Outcome::Rejected;
    how.requestSpent = how.requestSpent || (live.longBody && !neverRan);
    quiet({was.timeoutAt, Due::AttemptTimeout, how.id, attempt});
    quiet({was.lastByteBy, Due::LastByte, how.id, attempt});
    ++counters_.outcomes[static_cast<std::size_t>(how.outcome)];
    if (!live.done && how.outcome == Outcome::Ok) {
        ++count(live, &Answers::delivered);
        finish(live);
        effects_.push_back(DeliverResponse{how.id, attempt});
    } else if (!live.done && live.streaming) {
        ++count(live, &Answers::failed);
        finish(live);
        effects_.push_back(SendFailure{how.id});
    }
    tell(AttemptOutcome{how.id, attempt, was.node, how.outcome, now_ - was.startedAt, live.done,
                        how.loadPercent, how.loadElsewhere, std::move(how.loadReport), how.requestSpent});
    forget(it);
}

void State::finish(Live& live) {
    live.done = true;
    --open_;
}

// A client may allow an hour: its alarms must not stay as long once it has its answer.
void State::quiet(const Alarm& alarm) {
    if (const auto it = alarms_.find(alarm); it != alarms_.end()) alarms_.erase(it);
}

void State::forget(Requests::iterator it) {
    if (!it->second.done || !it->second.out.empty()) return;
    quiet({it->second.deadlineUs, Due::Overdue, it->first, 0});
    requests_.erase(it);
}

// ---------------------------------------------------------------- the module's actions

bool State::sendable(const Live& live, const std::string& node) const {
    const auto at = listed_.find(node);
    if (live.done || at == listed_.end() || now_ >= live.deadlineUs) return false;
    return live.attempts <= settings_.maxAttempts && (live.cell < 0 || live.cell == at->second.cell);
}

void State::act(const ForwardRequest& a) {
    const auto it = requests_.find(a.id);
    const int attempt = it == requests_.end() ? 0 : it->second.attempts++;
    if (it == requests_.end() || !sendable(it->second, a.node)) {
        moot_.push_back({a.id, attempt, Outcome::NotStarted, 0, 0, {}});
        return;
    }
    Live& live = it->second;
    ++counters_.attempts;
    Micros timeoutAt = live.deadlineUs;
    if (live.bodyIncomplete) timeoutAt = now_ + kLongestBody;
    if (a.timeoutUs != 0) timeoutAt = std::min(timeoutAt, now_ + std::max<Micros>(0, a.timeoutUs));
    Micros firstByte = limits_.connectUs;
    if (settings_.drainGraceUs > 0)
        firstByte = std::min(firstByte, Micros(kGracePart * double(settings_.drainGraceUs)));
    if (const auto drain = drains_.find(a.node); drain != drains_.end())
        firstByte =
            std::min(firstByte, drain->second + Micros(kDrainPart * double(settings_.drainGraceUs)) - now_);
    const Micros lastByteBy = a.lastByteByUs > 0 ? a.lastByteByUs : StartAttempt::kNever;
    firstByte = std::min(firstByte, lastByteBy - now_);
    effects_.push_back(StartAttempt{a.id, attempt, a.node, now_ + firstByte, timeoutAt, lastByteBy});
    alarms_.insert({timeoutAt, Due::AttemptTimeout, a.id, attempt});
    if (a.lastByteByUs > 0) alarms_.insert({lastByteBy, Due::LastByte, a.id, attempt});
    live.out.emplace(attempt, Attempt{a.node, now_, timeoutAt, lastByteBy});
}

std::uint64_t& State::count(const Live& live, std::uint64_t Answers::*kind) {
    const bool known = live.classIndex >= 0 && std::size_t(live.classIndex) < settings_.classes.size();
    auto& answers = counters_.byClass[known ? std::size_t(live.classIndex) : settings_.classes.size()];
    return answers.*kind;
}

void State::answer(RequestId id, std::uint64_t Answers::*kind, Effect effect) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.done) return;
    ++count(it->second, kind);
    finish(it->second);
    effects_.push_back(std::move(effect));
    forget(it);
}

void State::act(const RejectRequest& a) {
    answer(a.id, &Answers::refused, SendRejection{a.id, a.retryAfterUs});
}
void State::act(const FailRequest& a) { answer(a.id, &Answers::failed, SendFailure{a.id}); }

void State::act(const CancelAttempt& a) {
    const auto it = requests_.find(a.id);
    if (it == requests_.end() || !it->second.out.contains(a.attempt)) return;
    if (it->second.streaming) return;  // it belongs to the client now
    stop(it, a.attempt, Outcome::Cancelled);
}

void State::act(const StartHealthCheck& a) { effects_.push_back(StartHealthCheck{a.node}); }
void State::act(const SendPeerMessage& a) { effects_.push_back(SendPeerMessage{a.to, a.bytes}); }
void State::act(const SetTimer& a) {
    alarms_.insert({now_ + std::max<Micros>(1, a.delayUs), Due::Timer, a.token, 0});
}
void State::act(const WatchEndpointList& a) { effects_.push_back(a); }
void State::act(const LogLine& a) { effects_.push_back(LogLine{a.text}); }

StateSnapshot takeSnapshot(State& state, Micros now) {
    state.now_ = std::max(state.now_, now);
    StateSnapshot snapshot;
    for (const auto& [id, node] : state.listed_)
        snapshot.listed.push_back(node);
    snapshot.drains = state.drains_;
    snapshot.seen.assign(state.seenOrder_.begin(), state.seenOrder_.end());
    snapshot.module = state.policy_.takeSnapshot(state.now_);
    return snapshot;
}

bool restore(State& state, const StateSnapshot& snapshot) {
    for (const auto& [id, since] : snapshot.drains)
        state.drains_.insert_or_assign(id, since);
    for (const auto& id : snapshot.seen)
        if (state.seen_.insert(id).second) state.seenOrder_.push_back(id);
    return state.policy_.restore(snapshot.module);
}

Effects reduce(State& state, Micros now, Input input) {
    state.now_ = std::max(state.now_, now);
    std::visit([&](auto&& in) { state.take(std::forward<decltype(in)>(in)); }, std::move(input));
    return std::exchange(state.effects_, {});
}

}  // namespace wingproxy::core
