#include "net/engine.h"

#include <boost/asio/post.hpp>
#include <chrono>

namespace wingproxy::net {
namespace {

constexpr RequestId kNoRequest = 0;  // ids count from 1

// Of the configured memory, message bodies get at most 3/8 and the heads of requests at most 1/8.
std::size_t bodyBytes(const config::Config& config) {
    return std::size_t(config.memoryMb) * 1024 * 1024 * 3 / 8;
}
std::size_t headBytes(const config::Config& config) { return std::size_t(config.memoryMb) * 1024 * 1024 / 8; }

}  // namespace

Engine::Engine(boost::asio::io_context& io, const config::Config& config, log::Logger& logger)
    : io_(io),
      logger_(logger),
      bodyBudget_(bodyBytes(config)),
      headBudget_(headBytes(config)),
      settings_(config.settings),
      initialEndpoints_(config.cachedEndpoints),
      state_(config.settings, core::AttemptLimits{config.settings.connectTimeoutUs}, clock_.now()),
      timer_(io) {}

void Engine::start() {
    started_ = true;
    endpointListReceived(initialEndpoints_);
    endBatch();
}

void Engine::stop() {
    stopped_ = true;
    timer_.cancel();
    for (auto& [id, request] : requests_)
        for (auto& [number, attempt] : request.attempts)
            if (attempt) attempt->cancel();
    requests_.clear();
}

RequestId Engine::submit(Request request, std::shared_ptr<RequestHandler> handler) {
    request.id = ++lastId_;
    const auto id = request.id;
    requests_[id].handler = std::move(handler);
    process(RequestReceived{std::move(request)});
    return id;
}

void Engine::clientDisconnected(RequestId id) {
    trace("request {} has lost its client", id);
    markAnswered(id);
    process(core::ClientDisconnected{id});
}

void Engine::endpointListReceived(config::AddressedEndpointList listing) {
    if (listing.list.kind != EndpointListKind::Delta) addresses_.clear();
    for (std::size_t i = 0; i < listing.list.nodes.size(); ++i) {
        const auto& node = listing.list.nodes[i];
        if (node.state == NodeState::Removed)
            addresses_.erase(node.id);
        else
            addresses_[node.id] = listing.addresses[i];
    }
    listVersion_ = listing.list.version;
    process(EndpointListReceived{std::move(listing.list)});
}

void Engine::endpointListUnavailable() {
    process(EndpointListReceived{{EndpointListKind::Unavailable, listVersion_, {}}});
}

bool Engine::setAdminDrain(const std::string& node, bool drained) {
    if (!state_.everListed(node)) return false;
    process(core::AdminOverrideChanged{node, {drained, clock_.now()}});
    return true;
}

void Engine::applyOverrides(const core::AdminOverrides& overrides) {
    for (const auto& [node, entry] : overrides)
        process(core::AdminOverrideChanged{node, entry});
}

EngineSnapshot Engine::takeSnapshot() {
    EngineSnapshot snapshot{core::takeSnapshot(state_, clock_.now()), {}, listVersion_};
    for (const auto& node : snapshot.core.endpoints)
        snapshot.addresses.push_back(addresses_[node.id]);
    return snapshot;
}

bool Engine::restore(EngineSnapshot snapshot) {
    const bool complete = core::restore(state_, snapshot.core);
    initialEndpoints_ = {{EndpointListKind::Cached, snapshot.listVersion, std::move(snapshot.core.endpoints)},
                         std::move(snapshot.addresses)};
    return complete;
}

Micros Engine::steadyMicros() {
    using std::chrono::duration_cast, std::chrono::microseconds;
    return duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void Engine::process(core::Input input) {
    if (stopped_) return;
    RequestId finishedId = kNoRequest;
    if (const auto* finished = std::get_if<core::AttemptFinished>(&input)) {
        finishedId = finished->id;
        trace("request {} attempt {} ended: {}", finished->id, finished->attempt.value(),
              describe(finished->outcome));
        removeAttempt(finished->id, finished->attempt);
    }
    apply(core::reduce(state_, clock_.now(), std::move(input)));
    eraseIfComplete(finishedId);
    scheduleBatchEnd();
}

void Engine::scheduleBatchEnd() {
    if (batchEndScheduled_ || !started_) return;
    batchEndScheduled_ = true;
    boost::asio::post(io_, [this] { endBatch(); });
}

void Engine::endBatch() {
    batchEndScheduled_ = false;
    if (stopped_) return;
    apply(core::reduce(state_, clock_.now(), core::BatchEnded{}));
    armTimer();
}

void Engine::armTimer() {
    const auto at = state_.nextWake();
    if (at == timerAt_ || at == core::FrontState::kNoWake) return;
    timerAt_ = at;
    timer_.expires_at(clock_.at(at));
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error || stopped_) return;
        timerAt_ = core::FrontState::kNoWake;
        pauseDetector_.onRunning(std::chrono::steady_clock::now());
        process(core::TimerExpired{});
    });
}

void Engine::apply(const core::Effects& effects) {
    for (const auto& effect : effects)
        std::visit([this](const auto& each) { apply(each); }, effect);
}

void Engine::apply(const core::StartAttempt& effect) {
    trace("request {} attempt {} to {}", effect.id, effect.attempt.value(), effect.node);
    const auto request = requests_.find(effect.id);
    const auto address = addresses_.find(effect.node);
    if (request == requests_.end() || !request->second.handler || address == addresses_.end()) {
        process(core::AttemptFinished{effect.id, effect.attempt, Outcome::ConnectFailed, 0, 0, {}});
        return;
    }
    request->second.attempts[effect.attempt] = nullptr;
    auto attempt =
        request->second.handler->startAttempt({effect.id, effect.attempt, address->second, effect.firstByteBy,
                                               effect.timeoutAt, effect.lastByteBy});
    // The attempt, and with it the request, may have finished before startAttempt() returned.
    const auto current = requests_.find(effect.id);
    if (current == requests_.end()) return;
    auto& attempts = current->second.attempts;
    if (const auto slot = attempts.find(effect.attempt); slot != attempts.end())
        slot->second = std::move(attempt);
}

void Engine::apply(const core::StopAttempt& effect) {
    trace("request {} attempt {} stopped", effect.id, effect.attempt.value());
    const auto attempt = removeAttempt(effect.id, effect.attempt);
    if (attempt) attempt->cancel();
    eraseIfComplete(effect.id);
}

void Engine::apply(const core::StopUndeliveredAttempt& effect) {
    const auto attempt = findAttempt(effect.id, effect.attempt);
    if (!attempt || !attempt->hasUndeliveredBytes()) return;
    trace("request {} attempt {} undelivered", effect.id, effect.attempt.value());
    attempt->cancel();
    core::AttemptFinished stopped{effect.id, effect.attempt, effect.outcome, 0, 0, {}};
    stopped.undelivered = true;
    process(std::move(stopped));
}

void Engine::apply(const core::DeliverResponse& effect) {
    trace("request {} answered by attempt {}", effect.id, effect.attempt.value());
    if (const auto handler = markAnswered(effect.id)) handler->deliverResponse(effect.attempt);
}

void Engine::apply(const core::SendRejection& effect) {
    trace("request {} rejected: {}", effect.id, describe(effect.reason));
    if (const auto handler = markAnswered(effect.id)) handler->sendRejection(effect.retryAfterUs);
}

void Engine::apply(const core::SendFailure& effect) {
    trace("request {} failed: {}", effect.id, describe(effect.reason));
    if (const auto handler = markAnswered(effect.id)) handler->sendFailure();
}

void Engine::apply(const SendPeerMessage& effect) {
    if (effectHandlers_.sendPeerMessage) effectHandlers_.sendPeerMessage(effect.to, effect.bytes);
}

void Engine::apply(const WatchEndpointList& effect) {
    if (effectHandlers_.watchEndpointList) effectHandlers_.watchEndpointList(effect.enabled);
}

void Engine::apply(const StartHealthCheck& effect) {
    const auto address = addresses_.find(effect.node);
    if (address != addresses_.end() && effectHandlers_.startHealthCheck)
        effectHandlers_.startHealthCheck(effect.node, address->second);
}

void Engine::apply(const LogLine& effect) { logger_.info("policy: {}", effect.text); }

std::shared_ptr<RequestHandler> Engine::markAnswered(RequestId id) {
    const auto request = requests_.find(id);
    if (request == requests_.end() || request->second.answered) return nullptr;
    request->second.answered = true;
    auto handler = request->second.handler;
    eraseIfComplete(id);
    return handler;
}

std::shared_ptr<Attempt> Engine::findAttempt(RequestId id, AttemptIndex attempt) const {
    const auto request = requests_.find(id);
    if (request == requests_.end()) return nullptr;
    const auto slot = request->second.attempts.find(attempt);
    return slot == request->second.attempts.end() ? nullptr : slot->second;
}

std::shared_ptr<Attempt> Engine::removeAttempt(RequestId id, AttemptIndex attempt) {
    const auto request = requests_.find(id);
    if (request == requests_.end()) return nullptr;
    auto& attempts = request->second.attempts;
    const auto slot = attempts.find(attempt);
    if (slot == attempts.end()) return nullptr;
    auto removed = std::move(slot->second);
    attempts.erase(slot);
    return removed;
}

void Engine::eraseIfComplete(RequestId id) {
    const auto request = requests_.find(id);
    if (request != requests_.end() && request->second.answered && request->second.attempts.empty())
        requests_.erase(request);
}

}  // namespace wingproxy::net
