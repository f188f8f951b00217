/// \file
/// The graceful shutdown after SIGTERM, as a state machine without timers or sockets.
///
/// | phase | still accepted | ends |
/// | --- | --- | --- |
/// | `Serving` | everything | with SIGTERM: `start` |
/// | `Draining` | connections and requests | after 0.6 s, once no client is left, or 0.45 s before the kill |
/// | `ClosingListener` | requests on open connections | after 0.1 s |
/// | `ClosingIdle` | nothing | without requests and connections, or 0.12 s before the kill |
/// | `Stopped` | nothing | |
///
/// `Draining`: from 0.3 s after SIGTERM no new connections are expected. `ClosingListener`: each response
/// closes its connection. `ClosingIdle`: idle connections are closed every 20 ms; requests in flight are
/// awaited even beyond the time in the table.
///
/// "The kill" is the earliest moment at which the platform may send SIGKILL. A process that transferred the
/// service to a successor accepts no new connections, so it leaves `Draining` as soon as its last client has
/// disconnected, and 0.45 s after SIGTERM at the latest: it must not take what it cannot finish and the
/// successor can. A successor that never served goes from `Serving` to `Stopped` at once.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

namespace wingproxy::app {

/// The phases of the shutdown. They are entered in this order, each at most once; some may be skipped.
enum class ShutdownPhase { Serving, Draining, ClosingListener, ClosingIdle, Stopped };

/// Describes the phase for the log.
[[nodiscard]] std::string_view describe(ShutdownPhase phase);

/// Who serves the clients while this process shuts down.
enum class ShutdownMode {
    WithoutSuccessor,  ///< this process, as long as it can
    Transferred,       ///< a successor, which accepts the new connections
    NeverServed,       ///< the process before it; this one is a waiting successor
};

/// The operations and the state of the program that the sequence uses. Outlives the sequence.
class ShutdownTarget {
public:
    ShutdownTarget() = default;
    ShutdownTarget(const ShutdownTarget&) = delete;
    ShutdownTarget& operator=(const ShutdownTarget&) = delete;
    virtual ~ShutdownTarget() = default;

    /// Clients will open no more connections from now on. May be called repeatedly.
    virtual void expectNoNewConnections() = 0;
    /// Stops accepting connections, and closes each open one with its next response.
    virtual void closeListeners() = 0;
    /// Closes the connections without a pending response. May be called repeatedly.
    virtual void closeIdleConnections() = 0;
    /// Stops all parts of the program; no other call follows.
    virtual void stop() = 0;

    /// Connections of HTTP clients that may still send a request.
    [[nodiscard]] virtual std::size_t activeClients() = 0;
    /// Connections of all clients, including those that are being closed.
    [[nodiscard]] virtual std::size_t allConnections() = 0;
    /// Requests of all protocols without their final answer.
    [[nodiscard]] virtual std::size_t openRequests() = 0;
};

/// Moves a `ShutdownTarget` through the phases. The caller runs the timer.
class ShutdownSequence {
public:
    /// A time of the monotonic clock, which the caller reads.
    using TimePoint = std::chrono::steady_clock::time_point;
    /// The time after which `advance` must be called again; empty once stopped.
    using NextCall = std::optional<std::chrono::milliseconds>;

    /// \param target outlives the sequence
    explicit ShutdownSequence(ShutdownTarget& target) : target_(target) {}

    /// Records SIGTERM, which fixes the times below. The phase stays `Serving` until `start`.
    /// \param longestDeadline of the settings' classes
    /// \param signalledAt the earliest time at which SIGTERM may have been sent; the kill is counted from it
    void schedule(std::chrono::microseconds longestDeadline, TimePoint signalledAt);
    /// Starts the scheduled shutdown and takes its first step.
    NextCall start(ShutdownMode mode, TimePoint now);
    /// The transition function: performs the actions of the current phase, and enters the next one if it has
    /// ended.
    NextCall advance(TimePoint now);

    /// The current phase; only `start` and `advance` change it.
    [[nodiscard]] ShutdownPhase phase() const { return phase_; }
    /// The time since SIGTERM was sent, as given to `schedule`.
    [[nodiscard]] std::chrono::milliseconds elapsed(TimePoint now) const {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - scheduledAt_);
    }
    /// Whether SIGTERM was received.
    [[nodiscard]] bool scheduled() const { return scheduled_; }
    /// How long requests are served as usual, counted from `signalledAt`.
    [[nodiscard]] std::chrono::microseconds serveFor() const;
    /// How long requests may be taken whose answer may still be under way at the kill; counted from
    /// `signalledAt`.
    [[nodiscard]] std::chrono::microseconds mayLeaveUnfinishedFor() const;
    /// The time within which each response is sent, whatever deadline its client allows; counted from
    /// `signalledAt`.
    [[nodiscard]] std::chrono::microseconds respondWithin() const;

private:
    NextCall drain(TimePoint now);
    NextCall closeIdle(TimePoint now);
    NextCall stop();

    ShutdownTarget& target_;
    ShutdownPhase phase_ = ShutdownPhase::Serving;
    ShutdownMode mode_ = ShutdownMode::WithoutSuccessor;
    bool scheduled_ = false;
    TimePoint scheduledAt_;
    std::chrono::microseconds killAfter_{0};
};

}  // namespace wingproxy::app
