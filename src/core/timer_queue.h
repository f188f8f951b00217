/// \file
/// The timers of the reducer in the order in which they expire. Owns no clock: the time is passed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "wingproxy/policy.h"

namespace wingproxy::core {

/// What a timer is for. Timers of the same time expire in the order of the kinds here.
enum class TimerKind {
    Policy,           ///< set by the policy; `Timer::id` is its token
    AttemptTimeout,   ///< an attempt has no response in time
    RequestDeadline,  ///< a request must have its final answer
    LastByte,         ///< the last byte of an attempt's request must be with the node
};

/// One timer. Equal timers are the same one to `TimerQueue::cancel`.
struct Timer {
    /// The deadline of a request without its final answer.
    static Timer requestDeadline(RequestId id, Micros at) { return {at, TimerKind::RequestDeadline, id, {}}; }
    /// The end of an attempt without a response.
    static Timer attemptTimeout(RequestId id, AttemptIndex attempt, Micros at) {
        return {at, TimerKind::AttemptTimeout, id, attempt};
    }
    /// The end of an attempt whose request is not complete at its node.
    static Timer lastByte(RequestId id, AttemptIndex attempt, Micros at) {
        return {at, TimerKind::LastByte, id, attempt};
    }
    /// A timer of the policy, which knows it by the token.
    static Timer ofPolicy(std::uint64_t token, Micros at) { return {at, TimerKind::Policy, token, {}}; }

    Micros at = 0;
    TimerKind kind = TimerKind::Policy;
    std::uint64_t id = 0;  ///< a RequestId, or the policy's token
    AttemptIndex attempt;  ///< none where the timer concerns no attempt
    /// The order in which timers expire: by time, then kind, then owner.
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the comparison with 0 that C++20 generates
    auto operator<=>(const Timer&) const = default;
};

/// Timers that have not expired yet.
class TimerQueue {
public:
    /// Adds a timer, also beside an equal one: each expires by itself.
    void schedule(const Timer& timer) { timers_.insert(timer); }
    /// Removes one timer equal to this one, if there is any.
    void cancel(const Timer& timer);
    /// Takes out the first timer that expires at `now` or before; nothing where none does.
    std::optional<Timer> popExpired(Micros now);
    /// When the first timer expires; nothing where there is none.
    [[nodiscard]] std::optional<Micros> nextExpiry() const;
    /// Timers that have neither expired nor been cancelled.
    [[nodiscard]] std::size_t size() const { return timers_.size(); }

private:
    std::multiset<Timer> timers_;  // the policy may set equal timers
};

}  // namespace wingproxy::core
