/// \file
/// How long a client connection has been in its phase, and how long its client has sent nothing.
#pragma once

#include <chrono>

namespace wingproxy::http {

/// Two timestamps of the steady clock, from which the timeouts of a connection are derived. A value without a
/// timer.
class ConnectionActivity {
public:
    /// Steady, as the timeouts must not follow changes of the system's time.
    using Clock = std::chrono::steady_clock;

    /// A phase begins now, or was extended by progress in it.
    void startPhase() { phaseStartedAt_ = Clock::now(); }
    /// The connection waits for a request from now on.
    void startAwaitingRequest() {
        startPhase();
        lastReceivedAt_ = phaseStartedAt_;
    }
    /// Bytes came from the client.
    void onReceived() { lastReceivedAt_ = Clock::now(); }
    /// The bytes that came last are the first ones of a request, with which its timeout begins.
    void startRequest() { phaseStartedAt_ = lastReceivedAt_; }

    /// Time since the phase began.
    Clock::duration phaseAge() const { return Clock::now() - phaseStartedAt_; }
    /// Time since the client's last byte, or since the connection waits for a request.
    Clock::duration sinceLastByte() const { return Clock::now() - lastReceivedAt_; }

private:
    Clock::time_point phaseStartedAt_;
    Clock::time_point lastReceivedAt_;
};

}  // namespace wingproxy::http
