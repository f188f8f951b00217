#include "net/engine.h"

#include <boost/asio/post.hpp>

namespace wingproxy::net {

Engine::Engine(boost::asio::io_context& io, const config::Config& config, log::Logger& logger)
    : io_(io),
      logger_(logger),
      bodies_(std::size_t(config.memoryMb) * 1024 * 1024 * 3 / 8),  // rings get a quarter
      settings_(config.settings),
      known_(config.cachedEndpoints),
      state_(config.settings, core::Limits{config.connectTimeoutUs}, clock_.now()),
      wake_(io) {}

void Engine::start() {
    started_ = true;
    endpointListReceived(known_);
    closeBatch();
}

void Engine::stop() {
    stopped_ = true;
    wake_.cancel();
    for (auto& [id, live] : live_)
        for (auto& [number, attempt] : live.out)
            if (attempt) attempt->abandon();
    live_.clear();
}

RequestId Engine::submit(Request request, std::shared_ptr<Transfer> transfer) {
    request.id = ++lastId_;
    const auto id = request.id;
    live_[id].transfer = std::move(transfer);
    put(RequestReceived{std::move(request)});
    return id;
}

void Engine::clientDisconnected(RequestId id) {
    finish(id);
    put(core::ClientDisconnected{id});
}

void Engine::endpointListReceived(config::EndpointListing hosts) {
    if (hosts.list.kind != EndpointListKind::Delta) addresses_.clear();
    for (std::size_t i = 0; i < hosts.list.nodes.size(); ++i) {
        const auto& node = hosts.list.nodes[i];
        if (node.state == NodeState::Removed)
            addresses_.erase(node.id);
        else
            addresses_[node.id] = hosts.addresses[i];
    }
    listVersion_ = hosts.list.version;
    put(EndpointListReceived{std::move(hosts.list)});
}

bool Engine::setAdminDrain(const std::string& node, bool out) {
    if (!state_.everListed(node)) return false;
    put(core::AdminOverrideChanged{node, {out, clock_.now()}});
    return true;
}

void Engine::applyOverrides(const core::AdminOverrides& overrides) {
    for (const auto& [node, entry] : overrides)
        put(core::AdminOverrideChanged{node, entry});
}

EngineSnapshot Engine::takeSnapshot() {
    EngineSnapshot snapshot{core::takeSnapshot(state_, clock_.now()), {}, listVersion_};
    for (const auto& node : snapshot.core.listed)
        snapshot.addresses.push_back(addresses_[node.id]);
    return snapshot;
}

bool Engine::restore(EngineSnapshot snapshot) {
    const bool whole = core::restore(state_, snapshot.core);
    known_ = {{EndpointListKind::Cached, snapshot.listVersion, std::move(snapshot.core.listed)},
              std::move(snapshot.addresses)};
    return whole;
}

void Engine::endpointListUnavailable() {
    put(EndpointListReceived{{EndpointListKind::Unavailable, listVersion_, {}}});
}

// Inputs change the state at once; the module decides when all that was ready together has been put in.
void Engine::put(core::Input input) {
    if (stopped_) return;
    RequestId id = 0;  // no request's
    if (const auto* ended = std::get_if<core::AttemptFinished>(&input)) {
        id = ended->id;
        if (const auto it = live_.find(id); it != live_.end()) it->second.out.erase(ended->attempt);
    }
    run(core::reduce(state_, clock_.now(), std::move(input)));
    if (const auto it = live_.find(id); it != live_.end() && it->second.done && it->second.out.empty())
        live_.erase(it);
    if (closing_ || !started_) return;
    closing_ = true;
    boost::asio::post(io_, [this] { closeBatch(); });
}

void Engine::closeBatch() {
    closing_ = false;
    if (stopped_) return;
    run(core::reduce(state_, clock_.now(), core::BatchEnded{}));
    armWake();
}

void Engine::armWake() {
    const auto at = state_.nextWake();
    if (at == wakeAt_ || at == core::State::kNoWake) return;
    wakeAt_ = at;
    wake_.expires_at(clock_.at(at));
    wake_.async_wait([this](const boost::system::error_code& error) {
        if (error || stopped_) return;
        wakeAt_ = core::State::kNoWake;
        put(core::TimerExpired{});
    });
}

void Engine::run(const core::Effects& effects) {
    for (const auto& effect : effects)
        std::visit([this](const auto& e) { run(e); }, effect);
}

void Engine::run(const core::StartAttempt& e) {
    const auto it = live_.find(e.id);
    const auto address = addresses_.find(e.node);
    if (it == live_.end() || !it->second.transfer || address == addresses_.end()) {
        put(core::AttemptFinished{e.id, e.attempt, Outcome::ConnectFailed, 0, 0, {}});
        return;
    }
    it->second.out[e.attempt] = nullptr;  // it may end before start() returns
    auto attempt = it->second.transfer->start(
        {e.id, e.attempt, address->second, e.firstByteBy, e.timeoutAt, e.lastByteBy});
    const auto now = live_.find(e.id);
    if (now == live_.end()) return;
    if (const auto slot = now->second.out.find(e.attempt); slot != now->second.out.end())
        slot->second = std::move(attempt);
}

void Engine::run(const core::StopAttempt& e) { dropAttempt(e.id, e.attempt); }

void Engine::dropAttempt(RequestId id, int attempt) {
    const auto it = live_.find(id);
    if (it == live_.end()) return;
    const auto slot = it->second.out.find(attempt);
    if (slot == it->second.out.end()) return;
    const auto held = std::move(slot->second);
    it->second.out.erase(slot);
    if (held) held->abandon();
    if (it->second.done && it->second.out.empty()) live_.erase(it);
}

std::shared_ptr<Transfer> Engine::finish(RequestId id) {
    const auto it = live_.find(id);
    if (it == live_.end() || it->second.done) return nullptr;
    it->second.done = true;
    const auto transfer = it->second.transfer;
    if (it->second.out.empty()) live_.erase(it);
    return transfer;
}

void Engine::run(const core::DeliverResponse& e) {
    if (const auto transfer = finish(e.id)) transfer->deliver(e.attempt);
}
void Engine::run(const core::SendRejection& e) {
    if (const auto transfer = finish(e.id)) transfer->refuse(e.retryAfterUs);
}
void Engine::run(const core::SendFailure& e) {
    if (const auto transfer = finish(e.id)) transfer->fail();
}
void Engine::run(const SendPeerMessage& e) {
    if (effectHandlers_.sendPeerMessage) effectHandlers_.sendPeerMessage(e.to, e.bytes);
}
void Engine::run(const WatchEndpointList& e) {
    if (effectHandlers_.watchEndpointList) effectHandlers_.watchEndpointList(e.enabled);
}
void Engine::run(const StartHealthCheck& e) {
    const auto address = addresses_.find(e.node);
    if (address != addresses_.end() && effectHandlers_.startHealthCheck)
        effectHandlers_.startHealthCheck(e.node, address->second);
}
void Engine::run(const LogLine& e) { logger_.info("module: {}", e.text); }

}  // namespace wingproxy::net
