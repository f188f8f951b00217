/// \file
/// The graceful shutdown after SIGTERM, as a state machine without timers or sockets.
///
/// | phase | still accepted | ends |
/// | --- | --- | --- |
/// | `Serving` | everything | with SIGTERM: `start` |
/// | `Draining` | connections and requests | after 0.6 s without a client, or 0.45 s before the kill |
/// | `ClosingListener` | requests on open connections | after 0.1 s |
/// | `ClosingIdle` | nothing | without requests and connections, or 0.12 s before the kill |
/// | `Stopped` | nothing | |
///
/// `Draining`: 0.3 s after SIGTERM no new connection is expected. `ClosingListener`: each response closes its
/// connection. `ClosingIdle`: idle connections are closed every 20 ms; a request in flight is waited for
/// beyond the time in the table.
///
/// "The kill" is the earliest moment at which the platform may send SIGKILL. A process that transferred the
/// service to a successor accepts no new connections, so that it leaves `Draining` as soon as its last client
/// has gone. A successor that never served goes from `Serving` to `Stopped` at once.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

namespace wingproxy::app {

/// Where the shutdown is. The phases are entered in this order, none of them twice; some may be skipped.
enum class ShutdownPhase { Serving, Draining, ClosingListener, ClosingIdle, Stopped };

/// The phase in words, for the log.
[[nodiscard]] std::string_view describe(ShutdownPhase phase);

/// Who serves the clients while this process shuts down.
enum class ShutdownMode {
    WithoutSuccessor,  ///< this process, for as long as it can
    Transferred,       ///< a successor, which accepts the new connections
    NeverServed,       ///< the other process: this one is a waiting successor
};

/// What the sequence acts on and looks at. The callee outlives the sequence.
class ShutdownTarget {
public:
    ShutdownTarget() = default;
    ShutdownTarget(const ShutdownTarget&) = delete;
    ShutdownTarget& operator=(const ShutdownTarget&) = delete;
    virtual ~ShutdownTarget() = default;

    /// From now on clients have only the connections that are open. May be called again.
    virtual void expectNoNewConnections() = 0;
    /// Accepts no connection any more, and closes each one with its next response.
    virtual void closeListeners() = 0;
    /// Closes the connections on which no response is owed. May be called again.
    virtual void closeIdleConnections() = 0;
    /// Ends everything; no other call follows.
    virtual void stop() = 0;

    /// Connections of HTTP clients that may still send a request.
    [[nodiscard]] virtual std::size_t activeClients() = 0;
    /// Connections of all clients, those included that are being closed.
    [[nodiscard]] virtual std::size_t allConnections() = 0;
    /// Requests without their final answer, of all protocols.
    [[nodiscard]] virtual std::size_t openRequests() = 0;
};

/// Moves a `ShutdownTarget` through the phases. The caller runs the timer.
class ShutdownSequence {
public:
    /// A moment of the clock that never goes back; the caller reads it.
    using TimePoint = std::chrono::steady_clock::time_point;
    /// After how long `advance` is to be called again; nothing once stopped.
    using NextCall = std::optional<std::chrono::milliseconds>;

    /// \param target outlives the sequence
    explicit ShutdownSequence(ShutdownTarget& target) : target_(target) {}

    /// SIGTERM was received: fixes the times below. The phase stays `Serving` until `start`.
    /// \param longestDeadline of the settings' classes
    /// \param signalledAt when SIGTERM may have been sent at the earliest, as the kill is counted from there
    void schedule(std::chrono::microseconds longestDeadline, TimePoint signalledAt);
    /// Begins the shutdown that was scheduled, and takes its first step.
    NextCall start(ShutdownMode mode, TimePoint now);
    /// The transition function: acts as the phase demands, and enters the next phase where this one has
    /// ended.
    NextCall advance(TimePoint now);

    /// The phase that the last call left; it changes in `start` and `advance` only.
    [[nodiscard]] ShutdownPhase phase() const { return phase_; }
    /// The time since `schedule`.
    [[nodiscard]] std::chrono::milliseconds elapsed(TimePoint now) const {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - scheduledAt_);
    }
    /// Whether SIGTERM was received.
    [[nodiscard]] bool scheduled() const { return scheduled_; }
    /// Until when requests are served as usual; counted from `schedule`.
    [[nodiscard]] std::chrono::microseconds serveFor() const;
    /// By when each response is sent, whatever its client allows; counted from `schedule`.
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
