/// \file
/// Tracks the age of a client connection's phase and the time since the client's last byte.
#pragma once

#include <chrono>

namespace wingproxy::http {

/// Two timestamps of the steady clock, from which the timeouts of a connection are derived. A plain value: it
/// starts no timer.
class ConnectionActivity {
public:
    /// Steady, so that changes of the system time do not affect the timeouts.
    using Clock = std::chrono::steady_clock;

    /// Restarts the phase's age: a phase begins, or progress in it extends its timeout.
    void startPhase() { phaseStartedAt_ = Clock::now(); }
    /// Called when the connection starts to wait for a request.
    void startAwaitingRequest() {
        startPhase();
        lastReceivedAt_ = phaseStartedAt_;
    }
    /// Called when bytes arrive from the client.
    void onReceived() { lastReceivedAt_ = Clock::now(); }
    /// Called when the latest bytes are the first of a request: its timeout starts with them.
    void startRequest() { phaseStartedAt_ = lastReceivedAt_; }

    /// Time since the phase began.
    Clock::duration phaseAge() const { return Clock::now() - phaseStartedAt_; }
    /// Time since the client's last byte, or since the connection started to wait for a request.
    Clock::duration sinceLastByte() const { return Clock::now() - lastReceivedAt_; }

private:
    Clock::time_point phaseStartedAt_;
    Clock::time_point lastReceivedAt_;
};

}  // namespace wingproxy::http
