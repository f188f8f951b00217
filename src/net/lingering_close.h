/// \file
/// The time limits of a lingering close. A value type without a timer or a socket.
#pragma once

#include <algorithm>
#include <chrono>

namespace wingproxy::net {

/// Limits how long a connection lingers: after the sending side is shut down, the client gets time to read
/// the last response and to close. Closing while the client still sends, for example a request body that is
/// too long, would reset the connection and could discard the response before the client has read it. The
/// connection is closed after a period without bytes from the client, and at the latest at a fixed limit.
class LingeringClose {
public:
    /// Monotonic, so that changes of the system time do not affect the limits.
    using Clock = std::chrono::steady_clock;

    /// How long a client may send nothing before its connection is closed. Many times the round-trip time
    /// within one site's network.
    static constexpr std::chrono::milliseconds kQuietPeriod{300};

    /// Starts lingering.
    void start(Clock::time_point now, std::chrono::milliseconds limit) {
        active_ = true;
        since_ = now;
        until_ = now + limit;
    }
    /// Whether lingering has started.
    bool isActive() const { return active_; }
    /// When to close if no byte comes after `now`.
    Clock::time_point closeAt(Clock::time_point now) const { return std::min(now + kQuietPeriod, until_); }
    /// Whether it has lasted longer than `kQuietPeriod`, so that the connection may be closed in favour of a
    /// new client.
    bool isEvictable(Clock::time_point now) const { return now - since_ > kQuietPeriod; }

private:
    bool active_ = false;
    Clock::time_point since_;
    Clock::time_point until_;
};

}  // namespace wingproxy::net
