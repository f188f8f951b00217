#include "app/shutdown_sequence.h"

#include <algorithm>

namespace wingproxy::app {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Defined by the platform's protocol, the same for every customer. The platform sends new clients for 0.4 s
// after SIGTERM; connected clients continue to use their connections. SIGKILL follows SIGTERM after the
// longest deadline of the classes, at most 3 s, plus 0.7 s.
constexpr milliseconds kMaxDeadline{3'000};
constexpr milliseconds kKillMargin{700};
/// Shortly before the platform's 0.4 s end.
constexpr milliseconds kExpectNoNewConnectionsAfter{300};
/// The platform's 0.4 s, and time for a connection that is still under way.
constexpr milliseconds kKeepAcceptingFor{600};
/// The platform owes no answer for requests that come within 0.7 s after SIGTERM and that SIGKILL cuts off. A
/// request that comes later, or up to this much earlier as the process may be paused, must have its whole
/// answer before the kill.
constexpr milliseconds kUnfinishedAllowedFor{550};

// Times before the kill. Requests are served as usual until the first, all responses are sent by the second,
// and connections without a request in flight delay the end until the third at the latest.
constexpr milliseconds kServeUntilBeforeKill{450};
constexpr milliseconds kRespondBeforeKill{200};
constexpr milliseconds kCloseBeforeKill{120};

/// Time between the closing of the listeners and that of idle connections, in which each response closes its
/// connection.
constexpr milliseconds kLastRequestsFor{100};
/// Interval between two checks of a phase's end. Far below the times above.
constexpr milliseconds kPollInterval{20};

}  // namespace

std::string_view describe(ShutdownPhase phase) {
    switch (phase) {
        case ShutdownPhase::Serving:
            return "serving";
        case ShutdownPhase::Draining:
            return "draining";
        case ShutdownPhase::ClosingListener:
            return "closing the listener";
        case ShutdownPhase::ClosingIdle:
            return "closing idle connections";
        case ShutdownPhase::Stopped:
            return "stopped";
    }
    return "";
}

void ShutdownSequence::schedule(microseconds longestDeadline, TimePoint signalledAt) {
    scheduled_ = true;
    scheduledAt_ = signalledAt;
    killAfter_ = std::min<microseconds>(longestDeadline, kMaxDeadline) + kKillMargin;
}

microseconds ShutdownSequence::serveFor() const { return killAfter_ - kServeUntilBeforeKill; }

microseconds ShutdownSequence::mayLeaveUnfinishedFor() const { return kUnfinishedAllowedFor; }

microseconds ShutdownSequence::respondWithin() const { return killAfter_ - kRespondBeforeKill; }

ShutdownSequence::NextCall ShutdownSequence::start(ShutdownMode mode, TimePoint now) {
    mode_ = mode;
    if (mode == ShutdownMode::NeverServed) return stop();
    phase_ = ShutdownPhase::Draining;
    return advance(now);
}

ShutdownSequence::NextCall ShutdownSequence::advance(TimePoint now) {
    switch (phase_) {
        case ShutdownPhase::Draining:
            return drain(now);
        case ShutdownPhase::ClosingListener:
            phase_ = ShutdownPhase::ClosingIdle;
            return closeIdle(now);
        case ShutdownPhase::ClosingIdle:
            return closeIdle(now);
        case ShutdownPhase::Serving:
        case ShutdownPhase::Stopped:
            break;
    }
    return std::nullopt;
}

ShutdownSequence::NextCall ShutdownSequence::drain(TimePoint now) {
    const auto elapsed = now - scheduledAt_;
    const bool accepts = mode_ == ShutdownMode::WithoutSuccessor;
    if (accepts && elapsed >= kExpectNoNewConnectionsAfter) target_.expectNoNewConnections();
    const bool newClientsMayCome = accepts && elapsed < kKeepAcceptingFor;
    // The successor serves whoever connects anew, and for as long as needed.
    const microseconds serveUntil = accepts ? serveFor() : kUnfinishedAllowedFor - kLastRequestsFor;
    const bool clientsAreServed = target_.activeClients() > 0 && elapsed < serveUntil;
    if (newClientsMayCome || clientsAreServed) return kPollInterval;
    phase_ = ShutdownPhase::ClosingListener;
    target_.closeListeners();
    return kLastRequestsFor;
}

ShutdownSequence::NextCall ShutdownSequence::closeIdle(TimePoint now) {
    target_.closeIdleConnections();
    // A connection on which a request has only begun to arrive does not delay the end beyond this time.
    const bool connectionsMayEnd =
        target_.allConnections() > 0 && now - scheduledAt_ < killAfter_ - kCloseBeforeKill;
    if (target_.openRequests() > 0 || connectionsMayEnd) return kPollInterval;
    return stop();
}

ShutdownSequence::NextCall ShutdownSequence::stop() {
    phase_ = ShutdownPhase::Stopped;
    target_.stop();
    return std::nullopt;
}

}  // namespace wingproxy::app
