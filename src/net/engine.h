// Runs the reducer: inputs come from the fronts, node clients, discovery and peers; effects go back to them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "config/config.h"
#include "core/reducer.h"
#include "log/log.h"
#include "net/byte_budget.h"
#include "net/clock.h"

namespace wingproxy::net {

// What an attempt needs to know of its place and time.
struct AttemptParams {
    RequestId id = 0;
    int attempt = 0;
    config::Endpoint node;
    Micros firstByteBy = 0, timeoutAt = 0, lastByteBy = core::StartAttempt::kNever;
};

// One attempt on the wire. It calls Engine::ended once, unless it is abandoned first.
class Attempt {
public:
    virtual ~Attempt() = default;
    virtual void abandon() = 0;  // closes its connection, reports nothing more
};

// The wire's side of one request: how to try it at a node, and how to answer. Each request gets exactly one
// of deliver, refuse and fail, unless its client left before.
class Transfer {
public:
    virtual ~Transfer() = default;
    virtual std::shared_ptr<Attempt> start(const AttemptParams& order) = 0;
    virtual void deliver(int attempt) = 0;  // that attempt's answer, which ended as Ok
    virtual void refuse(Micros retryAfterUs) = 0;
    virtual void fail() = 0;
};

/// What a successor process starts from; see `Engine::takeSnapshot`.
struct EngineSnapshot {
    core::StateSnapshot core;
    std::vector<config::Endpoint> addresses;  ///< beside core.listed
    std::int64_t listVersion = 0;
};

class Engine {
public:
    /// Where effects go that concern no request.
    struct EffectHandlers {
        std::function<void(int to, const std::string&)> sendPeerMessage;
        std::function<void(bool)> watchEndpointList;
        std::function<void(const std::string& id, const config::Endpoint&)> startHealthCheck;
    };
    Engine(boost::asio::io_context& io, const config::Config& config, log::Logger& logger);
    void setEffectHandlers(EffectHandlers handlers) { effectHandlers_ = std::move(handlers); }
    void start();  ///< the cached endpoint list, then the policy's first actions
    void stop();   ///< no more timers; what is open is dropped

    RequestId submit(Request request, std::shared_ptr<Transfer> transfer);  ///< the id is given here
    void clientDisconnected(RequestId id);
    void capacityNeeded(int connections) { put(CapacityNeeded{connections}); }
    void shutdownStarted(Micros servesUntilUs) { put(ShutdownStarted{servesUntilUs}); }
    void attemptRequestSent(RequestId id, int attempt) { put(core::AttemptRequestSent{id, attempt}); }
    void responseHeadReceived(RequestId id, int attempt) { put(core::ResponseHeadReceived{id, attempt}); }
    /// \param unbounded the node has done its work, and no deadline runs any more
    void responseForwardingStarted(RequestId id, int attempt, bool unbounded = false) {
        put(core::ResponseForwardingStarted{id, attempt, unbounded});
    }
    void requestBodyCompleted(RequestId id, Micros deadlineUs) { put(RequestBodyCompleted{id, deadlineUs}); }
    void attemptFinished(core::AttemptFinished result) { put(std::move(result)); }
    void endpointListReceived(config::EndpointListing listing);
    void endpointListUnavailable();
    void peerMessageReceived(int from, std::string bytes) {
        put(PeerMessageReceived{from, std::move(bytes)});
    }
    void healthCheckCompleted(HealthCheckCompleted check) { put(std::move(check)); }

    /// An operator's order about a node, which stands above the endpoint list.
    /// \return false: the id was never listed
    bool setAdminDrain(const std::string& node, bool drained);
    void applyOverrides(const core::AdminOverrides& overrides);  ///< given to another process of this front
    const core::AdminOverrides& overrides() const { return state_.overrides(); }

    /// What a successor starts from. What is open here is finished.
    EngineSnapshot takeSnapshot();
    /// To be called before start(). \return false: the policy's part did not fit these settings and is left
    /// out
    bool restore(EngineSnapshot snapshot);

    boost::asio::io_context& io() { return io_; }
    Micros now() const { return clock_.now(); }
    const Clock& clock() const { return clock_; }
    ByteBudget& bodies() { return bodies_; }
    const Settings& settings() const { return settings_; }
    log::Logger& logger() { return logger_; }
    std::size_t openRequests() const { return state_.openRequests(); }
    std::size_t nodeCount() const { return addresses_.size(); }  ///< on the endpoint list
    std::size_t avoidedNodes() const { return state_.avoidedNodes(); }
    std::size_t adminDrainedNodes() const { return state_.adminDrainedNodes(); }
    const fleet::RestartRecovery& recovery() const { return state_.recovery(); }
    std::int64_t listVersion() const { return listVersion_; }
    std::size_t tableEntries() const { return state_.tableEntries() + live_.size() + addresses_.size(); }
    const core::Counters& counters() const { return state_.counters(); }

private:
    struct Live {
        std::shared_ptr<Transfer> transfer;
        std::map<int, std::shared_ptr<Attempt>> out;
        bool done = false;
    };
    void put(core::Input input);
    void closeBatch();
    void armWake();
    void run(const core::Effects& effects);
    void run(const core::StartAttempt& e);
    void run(const core::StopAttempt& e);
    void run(const core::DeliverResponse& e);
    void run(const core::SendRejection& e);
    void run(const core::SendFailure& e);
    void run(const SendPeerMessage& e);
    void run(const WatchEndpointList& e);
    void run(const StartHealthCheck& e);
    void run(const LogLine& e);
    std::shared_ptr<Transfer> finish(RequestId id);  // its transfer, if it had no answer yet
    void dropAttempt(RequestId id, int attempt);

    boost::asio::io_context& io_;
    log::Logger& logger_;
    Clock clock_;
    ByteBudget bodies_;
    Settings settings_;
    config::EndpointListing known_;
    core::State state_;
    boost::asio::steady_timer wake_;
    Micros wakeAt_ = core::State::kNoWake;
    bool closing_ = false, started_ = false, stopped_ = false;
    EffectHandlers effectHandlers_;
    std::unordered_map<RequestId, Live> live_;
    std::map<std::string, config::Endpoint, std::less<>> addresses_;
    std::int64_t listVersion_ = 0;
    RequestId lastId_ = 0;
};

}  // namespace wingproxy::net
