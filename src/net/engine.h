/// \file
/// Runs the reducer on the event loop. Owns the core state, the requests in flight, the addresses of the
/// listed nodes and the policy's timer. Inputs come from the fronts, node clients, discovery and peers; the
/// engine passes the reducer's effects back to them.
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
#include "net/pause_detector.h"

namespace wingproxy::net {

/// Address and time limits of an attempt. Times are those of `Engine::now()`.
struct AttemptParams {
    RequestId id = 0;
    AttemptIndex attempt{0};
    config::Endpoint node;                           ///< address to connect to
    Micros firstByteBy = 0;                          ///< after it, the first byte may not be sent
    Micros timeoutAt = 0;                            ///< the reducer stops the attempt at this time
    Micros lastByteBy = core::StartAttempt::kNever;  ///< after it, the last byte may not reach the node
};

/// An attempt that is running. It calls `Engine::attemptFinished` once, unless it is cancelled first.
class Attempt {
public:
    virtual ~Attempt() = default;
    /// Closes the connection. The attempt reports nothing afterwards.
    virtual void cancel() = 0;
    /// Whether the system holds bytes of the request that the node has not acknowledged.
    virtual bool hasUndeliveredBytes() const = 0;
};

/// The front's side of one request: sends it to nodes and responds to the client. Exactly one of
/// `deliverResponse`, `sendRejection` and `sendFailure` is called for each request, unless its client
/// disconnects before.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    /// Starts an attempt. It may finish before this returns.
    virtual std::shared_ptr<Attempt> startAttempt(const AttemptParams& params) = 0;
    /// Sends the client the response of that attempt, which finished as `Outcome::Ok`.
    virtual void deliverResponse(AttemptIndex attempt) = 0;
    /// Rejects the request: it was not executed, and the client may retry after that time.
    virtual void sendRejection(Micros retryAfterUs) = 0;
    /// Tells the client that the request failed.
    virtual void sendFailure() = 0;
};

/// The state that a successor process starts from; see `Engine::takeSnapshot`.
struct EngineSnapshot {
    core::StateSnapshot core;
    std::vector<config::Endpoint> addresses;  ///< one for each of core.endpoints, in its order
    std::int64_t listVersion = 0;
};

/// Connects the reducer to the event loop. Single-threaded: all calls are made on the loop of `io()`. Inputs
/// change the state immediately; the policy decides after all inputs of a turn of the loop have been
/// processed.
class Engine {
public:
    /// Handlers of the effects that belong to no request.
    struct EffectHandlers {
        std::function<void(PeerRecipient to, const std::string&)> sendPeerMessage;
        std::function<void(bool enabled)> watchEndpointList;
        std::function<void(const std::string& id, const config::Endpoint&)> startHealthCheck;
    };

    /// \param io, logger must outlive the engine
    Engine(boost::asio::io_context& io, const config::Config& config, log::Logger& logger);

    /// Sets the handlers. To be called before start(); an effect without a handler is dropped.
    void setEffectHandlers(EffectHandlers handlers) { effectHandlers_ = std::move(handlers); }
    /// Applies the cached endpoint list and lets the policy decide for the first time.
    void start();
    /// Cancels all attempts. Later inputs are ignored.
    void stop();

    /// Accepts a request from a front.
    /// \return the id that was assigned to it
    RequestId submit(Request request, std::shared_ptr<RequestHandler> handler);
    /// The client of an unanswered request has disconnected: its handler sends no response any more.
    void clientDisconnected(RequestId id);
    /// The front runs out of client connections.
    /// \param connections how many connections to free by rejecting waiting requests
    void capacityNeeded(int connections) { process(CapacityNeeded{connections}); }
    /// The program shuts down gracefully, without a successor.
    /// \param servesUntilUs when the last response is sent
    void shutdownStarted(Micros servesUntilUs) { process(ShutdownStarted{servesUntilUs}); }
    /// The last byte of the request was given to the system for sending: the node may execute it from now on.
    void attemptRequestSent(RequestId id, AttemptIndex attempt) {
        trace("request {} attempt {} sent", id, attempt.value());
        process(core::AttemptRequestSent{id, attempt});
    }
    /// The head of a response arrived, but not yet its whole body: the node has executed the request.
    void responseHeadReceived(RequestId id, AttemptIndex attempt) {
        process(core::ResponseHeadReceived{id, attempt});
    }
    /// The first bytes of the node's response are being forwarded to the client, so no other attempt can
    /// replace it.
    /// \param unbounded the node has executed the request, and no deadline applies any more
    void responseForwardingStarted(RequestId id, AttemptIndex attempt, bool unbounded = false) {
        process(core::ResponseForwardingStarted{id, attempt, unbounded});
    }
    /// The last byte of a streamed request body arrived.
    /// \param deadlineUs the time by which the response has to be sent; the client's time limit starts with
    /// that byte
    void requestBodyCompleted(RequestId id, Micros deadlineUs) {
        process(RequestBodyCompleted{id, deadlineUs});
    }
    /// The deadline of a request whose body is still being forwarded has changed.
    /// \param deadlineUs the time by which the response has to be sent, or `core::BodyDeadlineChanged::kNone`
    void bodyDeadlineChanged(RequestId id, Micros deadlineUs) {
        process(core::BodyDeadlineChanged{id, deadlineUs});
    }
    /// An attempt has ended. Releases it, and may start the next attempt or respond to the client before
    /// this call returns.
    void attemptFinished(core::AttemptFinished result) { process(std::move(result)); }
    /// Applies a complete endpoint list, or changes to the last one.
    void endpointListReceived(config::AddressedEndpointList listing);
    /// The endpoint list could not be fetched: informs the policy, and the last list stays in use.
    void endpointListUnavailable();
    /// A datagram arrived from another host.
    /// \param from the sender's host index
    void peerMessageReceived(HostIndex from, std::string bytes) {
        process(PeerMessageReceived{from, std::move(bytes)});
    }
    /// A health check that the policy ordered has ended, with or without a response.
    void healthCheckCompleted(HealthCheckCompleted check) { process(std::move(check)); }

    /// Sets or ends the administrative drain of a node, which has precedence over the endpoint list.
    /// \return false if no endpoint list has ever contained the id
    bool setAdminDrain(const std::string& node, bool drained);
    /// Applies administrative overrides that another process of this front received.
    void applyOverrides(const core::AdminOverrides& overrides);
    /// The newest administrative override of each node.
    const core::AdminOverrides& overrides() const { return state_.overrides(); }

    /// Takes the state that a successor process starts from. Requests in flight are not part of it: they end
    /// in this process.
    EngineSnapshot takeSnapshot();
    /// Restores a predecessor's snapshot. To be called before start().
    /// \return false if the policy's part does not fit these settings and was left out
    bool restore(EngineSnapshot snapshot);

    /// The event loop on which everything runs.
    boost::asio::io_context& io() { return io_; }
    /// Microseconds since the Unix epoch; never goes back.
    Micros now() const { return clock_.now(); }
    /// The earliest time at which a signal that is handled now may have been sent: a pause of the process
    /// delays the handling.
    PauseDetector::TimePoint earliestSignalTime() const {
        return pauseDetector_.earliestSendTime(std::chrono::steady_clock::now());
    }
    /// The clock of `now()`, for timers that are set to one of its times.
    const Clock& clock() const { return clock_; }
    /// Memory for the bodies of all requests and responses.
    ByteBudget& bodyBudget() { return bodyBudget_; }
    /// Memory for the heads of all requests. Apart from that for bodies, so that requests without a body are
    /// served while bodies have used theirs up.
    ByteBudget& headBudget() { return headBudget_; }
    /// The settings, which stay the same for the life of the engine.
    const Settings& settings() const { return settings_; }
    /// The program's log.
    log::Logger& logger() { return logger_; }
    /// Logs one step of a request at the level `debug`, prefixed with the steady clock's time in
    /// microseconds. All processes of a machine share that clock.
    template <typename... Args>
    void trace(fmt::format_string<Args...> format, Args&&... args) {
        if (!logger_.isEnabled(log::Level::Debug)) return;
        logger_.debug("{} {}", steadyMicros(), fmt::vformat(format, fmt::make_format_args(args...)));
    }
    /// Counters of what was sent to nodes in slow start.
    core::SlowStartCounters slowStartCounters() const { return state_.slowStartCounters(); }
    /// Requests that have no final response yet.
    std::size_t openRequests() const { return state_.openRequests(); }
    /// Nodes on the endpoint list.
    std::size_t nodeCount() const { return addresses_.size(); }
    /// Listed nodes that get no requests: draining, or ejected by the policy.
    std::size_t avoidedNodes() const { return state_.avoidedNodes(); }
    /// Nodes under an administrative drain.
    std::size_t adminDrainedNodes() const { return state_.adminDrainedNodes(); }
    /// The recovery of this host's limits after its start: what it may spend and lend.
    const fleet::RestartRecovery& recovery() const { return state_.recovery(); }
    /// The version of the endpoint list that was received last, as discovery counts versions.
    std::int64_t listVersion() const { return listVersion_; }
    /// The total number of entries of all tables; a metric shows by it that no table grows without bound.
    std::size_t tableEntries() const { return state_.tableEntries() + requests_.size() + addresses_.size(); }
    /// Totals since the start.
    const core::Counters& counters() const { return state_.counters(); }

private:
    struct InFlightRequest {
        std::shared_ptr<RequestHandler> handler;
        std::map<AttemptIndex, std::shared_ptr<Attempt>> attempts;  // null while its startAttempt() runs
        bool answered = false;                                      // or its client disconnected
    };

    static Micros steadyMicros();
    void process(core::Input input);
    void scheduleBatchEnd();
    void endBatch();
    void armTimer();
    void apply(const core::Effects& effects);
    void apply(const core::StartAttempt& effect);
    void apply(const core::StopAttempt& effect);
    void apply(const core::StopUndeliveredAttempt& effect);
    void apply(const core::DeliverResponse& effect);
    void apply(const core::SendRejection& effect);
    void apply(const core::SendFailure& effect);
    void apply(const SendPeerMessage& effect);
    void apply(const WatchEndpointList& effect);
    void apply(const StartHealthCheck& effect);
    void apply(const LogLine& effect);
    // Returns the handler if the request had no response yet; null otherwise.
    std::shared_ptr<RequestHandler> markAnswered(RequestId id);
    std::shared_ptr<Attempt> findAttempt(RequestId id, AttemptIndex attempt) const;
    std::shared_ptr<Attempt> removeAttempt(RequestId id, AttemptIndex attempt);
    void eraseIfComplete(RequestId id);

    boost::asio::io_context& io_;
    log::Logger& logger_;
    Clock clock_;
    ByteBudget bodyBudget_;
    ByteBudget headBudget_;
    Settings settings_;
    config::AddressedEndpointList initialEndpoints_;
    core::FrontState state_;
    PauseDetector pauseDetector_{std::chrono::steady_clock::now()};
    boost::asio::steady_timer timer_;
    Micros timerAt_ = core::FrontState::kNoWake;
    bool batchEndScheduled_ = false;
    bool started_ = false;
    bool stopped_ = false;
    EffectHandlers effectHandlers_;
    std::unordered_map<RequestId, InFlightRequest> requests_;
    std::map<std::string, config::Endpoint, std::less<>> addresses_;  // by node id
    std::int64_t listVersion_ = 0;
    RequestId lastId_ = 0;
};

}  // namespace wingproxy::net
