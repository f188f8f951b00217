/// \file
/// The timers of the reducer, ordered by expiry. Has no clock: the time is passed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "wingproxy/policy.h"

namespace wingproxy::core {

/// What a timer is for. Timers that are due at the same time expire in the order of these kinds.
enum class TimerKind {
    Policy,           ///< set by the policy with `SetTimer`; `Timer::id` is its token
    AttemptTimeout,   ///< an attempt must have ended
    RequestDeadline,  ///< a request must have its final answer
    LastByte,         ///< the last byte of an attempt's request must have reached the node
};

/// One timer. `TimerQueue::cancel` identifies it by the value of all its fields.
struct Timer {
    /// A timer for the deadline by which a request must have its final answer.
    static Timer requestDeadline(RequestId id, Micros at) { return {at, TimerKind::RequestDeadline, id, {}}; }
    /// A timer that stops an attempt if it has not ended by then.
    static Timer attemptTimeout(RequestId id, AttemptIndex attempt, Micros at) {
        return {at, TimerKind::AttemptTimeout, id, attempt};
    }
    /// A timer that stops an attempt if its request has not reached the node completely by then.
    static Timer lastByte(RequestId id, AttemptIndex attempt, Micros at) {
        return {at, TimerKind::LastByte, id, attempt};
    }
    /// A timer of the policy, which identifies it by its token.
    static Timer policyTimer(std::uint64_t token, Micros at) { return {at, TimerKind::Policy, token, {}}; }

    Micros at = 0;
    TimerKind kind = TimerKind::Policy;
    std::uint64_t id = 0;  ///< a `RequestId`, or the policy's token
    AttemptIndex attempt;  ///< none if the timer concerns no attempt
    /// The order in which timers expire: by time, then kind, then id, then attempt.
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the comparison with 0 that C++20 generates
    auto operator<=>(const Timer&) const = default;
};

/// Pending timers.
class TimerQueue {
public:
    /// Adds a timer. Equal timers are kept apart, and each expires by itself.
    void schedule(const Timer& timer) { timers_.insert(timer); }
    /// Removes one timer that is equal to `timer`, if there is one.
    void cancel(const Timer& timer);
    /// Removes and returns the first timer that is due at `now`; empty if none is.
    std::optional<Timer> popExpired(Micros now);
    /// When the first timer expires; empty if there is none.
    [[nodiscard]] std::optional<Micros> nextExpiry() const;
    /// Number of pending timers.
    [[nodiscard]] std::size_t size() const { return timers_.size(); }

private:
    std::multiset<Timer> timers_;  // the policy may set equal timers
};

}  // namespace wingproxy::core
