/// \file
/// The time rules of a graceful close. A value without a timer or a socket.
#pragma once

#include <algorithm>
#include <chrono>

namespace wingproxy::net {

/// Limits how long a connection lingers: after the sending side is shut down, the client gets time to read
/// the last response and to close. A close while the client still sends, as with a request body that is too
/// long, would reset the connection and could take the response back. The connection is closed after a period
/// without bytes, and in any case at a limit.
class LingeringClose {
public:
    /// Steady, as the limits must not follow changes of the system's time.
    using Clock = std::chrono::steady_clock;

    /// Many times a round trip in the network of one site.
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
    /// Whether it has lasted so long that the connection may be closed in favour of a new client.
    bool isEvictable(Clock::time_point now) const { return now - since_ > kQuietPeriod; }

private:
    bool active_ = false;
    Clock::time_point since_;
    Clock::time_point until_;
};

}  // namespace wingproxy::net
