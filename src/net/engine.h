/// \file
/// Runs the reducer on the event loop. Owns the core state, the requests in flight, the addresses of the
/// listed nodes and the policy's timer: inputs come from the fronts, node clients, discovery and peers, and
/// the reducer's effects go back to them.
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

/// Where and until when an attempt runs. Times are those of `Engine::now()`.
struct AttemptParams {
    RequestId id = 0;
    AttemptIndex attempt{0};
    config::Endpoint node;                           ///< where to connect
    Micros firstByteBy = 0;                          ///< later no byte may be sent
    Micros timeoutAt = 0;                            ///< the reducer stops the attempt then
    Micros lastByteBy = core::StartAttempt::kNever;  ///< later the request's last byte may not be sent
};

/// One attempt on the wire. It calls `Engine::attemptFinished` once, unless it is cancelled first.
class Attempt {
public:
    virtual ~Attempt() = default;
    /// Closes the connection; the attempt reports nothing more.
    virtual void cancel() = 0;
};

/// The front's side of one request: how to send it to a node, and how to respond to the client. Each request
/// gets exactly one of `deliverResponse`, `sendRejection` and `sendFailure`, unless its client disconnected
/// before.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    /// Starts an attempt. It may finish before this returns.
    virtual std::shared_ptr<Attempt> startAttempt(const AttemptParams& params) = 0;
    /// Answers with the response of that attempt, which finished as `Outcome::Ok`.
    virtual void deliverResponse(AttemptIndex attempt) = 0;
    /// Rejects the request: nothing ran, and the client may retry after that time.
    virtual void sendRejection(Micros retryAfterUs) = 0;
    /// Answers that the request failed.
    virtual void sendFailure() = 0;
};

/// What a successor process starts from; see `Engine::takeSnapshot`.
struct EngineSnapshot {
    core::StateSnapshot core;
    std::vector<config::Endpoint> addresses;  ///< one for each of core.endpoints, in its order
    std::int64_t listVersion = 0;
};

/// Joins the reducer to the event loop. Single-threaded: all calls are made on the loop of `io()`. Inputs
/// change the state at once; the policy decides when all inputs of one turn of the loop have been put in.
class Engine {
public:
    /// Receivers of the effects that belong to no request.
    struct EffectHandlers {
        std::function<void(PeerRecipient to, const std::string&)> sendPeerMessage;
        std::function<void(bool enabled)> watchEndpointList;
        std::function<void(const std::string& id, const config::Endpoint&)> startHealthCheck;
    };

    /// \param io, logger must outlive the engine
    Engine(boost::asio::io_context& io, const config::Config& config, log::Logger& logger);

    /// Sets the receivers. To be called before start(); an effect without a receiver is dropped.
    void setEffectHandlers(EffectHandlers handlers) { effectHandlers_ = std::move(handlers); }
    /// Applies the cached endpoint list and lets the policy decide for the first time.
    void start();
    /// Cancels all attempts. Later inputs are ignored.
    void stop();

    /// Takes in a request.
    /// \return the id, which is assigned here
    RequestId submit(Request request, std::shared_ptr<RequestHandler> handler);
    /// The client of an unanswered request is gone: its handler is not called any more.
    void clientDisconnected(RequestId id);
    /// The front runs out of client connections.
    /// \param connections how many of those that waiting requests hold should be freed by rejecting them
    void capacityNeeded(int connections) { process(CapacityNeeded{connections}); }
    /// The program shuts down gracefully, without a successor.
    /// \param servesUntilUs when the last response is sent
    void shutdownStarted(Micros servesUntilUs) { process(ShutdownStarted{servesUntilUs}); }
    /// The last byte of the request was written to the node's connection: the node may run it from now on.
    void attemptRequestSent(RequestId id, AttemptIndex attempt) {
        trace("request {} attempt {} sent", id, attempt.value());
        process(core::AttemptRequestSent{id, attempt});
    }
    /// The head of a response arrived, of which the body is still coming: the node has done its work.
    void responseHeadReceived(RequestId id, AttemptIndex attempt) {
        process(core::ResponseHeadReceived{id, attempt});
    }
    /// The first bytes of the node's response go to the client, so that no other attempt can replace it.
    /// \param unbounded the node has done its work, and no deadline runs any more
    void responseForwardingStarted(RequestId id, AttemptIndex attempt, bool unbounded = false) {
        process(core::ResponseForwardingStarted{id, attempt, unbounded});
    }
    /// The last byte of a streamed request body arrived.
    /// \param deadlineUs until when the response has to be sent, counted from that byte
    void requestBodyCompleted(RequestId id, Micros deadlineUs) {
        process(RequestBodyCompleted{id, deadlineUs});
    }
    /// An attempt has ended. Releases it, and may start the next attempt or respond to the client before it
    /// returns.
    void attemptFinished(core::AttemptFinished result) { process(std::move(result)); }
    /// Takes in a complete endpoint list, or the changes to the last one.
    void endpointListReceived(config::EndpointListing listing);
    /// The endpoint list could not be had: the policy is told, and the last one stays.
    void endpointListUnavailable();
    /// A datagram came from another host.
    /// \param from index of the peer
    void peerMessageReceived(HostIndex from, std::string bytes) {
        process(PeerMessageReceived{from, std::move(bytes)});
    }
    /// A health check that the policy ordered has ended, with or without a response.
    void healthCheckCompleted(HealthCheckCompleted check) { process(std::move(check)); }

    /// Sets or ends the administrative drain of a node, which has precedence over the endpoint list.
    /// \return false: the id was never listed
    bool setAdminDrain(const std::string& node, bool drained);
    /// Applies overrides that another process of this front was given.
    void applyOverrides(const core::AdminOverrides& overrides);
    /// The newest administrative order for each node.
    const core::AdminOverrides& overrides() const { return state_.overrides(); }

    /// What a successor process starts from. The requests in flight are no part of it: they end here.
    EngineSnapshot takeSnapshot();
    /// Starts from a predecessor's snapshot. To be called before start().
    /// \return false: the policy's part did not fit these settings and is left out
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
    /// The clock behind `now()`, for timers at a time of the engine's.
    const Clock& clock() const { return clock_; }
    /// Memory for the bodies of all requests and responses.
    ByteBudget& bodyBudget() { return bodyBudget_; }
    /// The settings, which stay the same for the life of the engine.
    const Settings& settings() const { return settings_; }
    /// The program's log.
    log::Logger& logger() { return logger_; }
    /// Logs one step of a request at the level `debug`, behind the steady clock's time in microseconds, which
    /// all processes of a machine share.
    template <typename... Args>
    void trace(fmt::format_string<Args...> format, Args&&... args) {
        if (!logger_.writes(log::Level::Debug)) return;
        logger_.debug("{} {}", steadyMicros(), fmt::vformat(format, fmt::make_format_args(args...)));
    }
    /// What was sent to nodes in slow start.
    core::SlowStartCounters slowStartCounters() const { return state_.slowStartCounters(); }
    /// Requests that have no final response yet.
    std::size_t openRequests() const { return state_.openRequests(); }
    /// Nodes on the endpoint list.
    std::size_t nodeCount() const { return addresses_.size(); }
    /// Listed nodes that get no requests: draining, or ejected by the policy.
    std::size_t avoidedNodes() const { return state_.avoidedNodes(); }
    /// Nodes under an administrative drain.
    std::size_t adminDrainedNodes() const { return state_.adminDrainedNodes(); }
    /// What this host may spend and lend after its start.
    const fleet::RestartRecovery& recovery() const { return state_.recovery(); }
    /// The version of the endpoint list that was received last, as discovery counts them.
    std::int64_t listVersion() const { return listVersion_; }
    /// Entries of all tables together, to see in the metrics that none grows without bound.
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
    void apply(const core::DeliverResponse& effect);
    void apply(const core::SendRejection& effect);
    void apply(const core::SendFailure& effect);
    void apply(const SendPeerMessage& effect);
    void apply(const WatchEndpointList& effect);
    void apply(const StartHealthCheck& effect);
    void apply(const LogLine& effect);
    // Returns the handler if the request had no response yet, else null.
    std::shared_ptr<RequestHandler> markAnswered(RequestId id);
    std::shared_ptr<Attempt> removeAttempt(RequestId id, AttemptIndex attempt);
    void eraseIfComplete(RequestId id);

    boost::asio::io_context& io_;
    log::Logger& logger_;
    Clock clock_;
    ByteBudget bodyBudget_;
    Settings settings_;
    config::EndpointListing initialEndpoints_;
    core::State state_;
    PauseDetector pauseDetector_{std::chrono::steady_clock::now()};
    boost::asio::steady_timer timer_;
    Micros timerAt_ = core::State::kNoWake;
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
