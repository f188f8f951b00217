/// \file
/// Finds out that the process was held up: stopped, or without a processor. A value without a timer.
#pragma once

#include <chrono>

namespace wingproxy::net {

/// Told again and again that the process runs, it knows since when it did not. A signal that is handled right
/// after a hold-up may have been sent at any moment of it. Hold-ups count as `kMaxHoldUp` long at the most.
class HoldUpDetector {
public:
    /// A moment of the clock that never goes back; the caller reads it.
    using TimePoint = std::chrono::steady_clock::time_point;

    /// The longest hold-up that the platform's time limits allow for.
    static constexpr std::chrono::milliseconds kMaxHoldUp{150};

    /// \param now the process runs
    explicit HoldUpDetector(TimePoint now) : lastRunningAt_(now) {}

    /// The process runs. To be called every 10 ms or so.
    void onRunning(TimePoint now);
    /// The earliest time at which a signal that is handled now may have been sent.
    [[nodiscard]] TimePoint earliestSent(TimePoint now) const;

private:
    /// Longer without a call is a hold-up: several calls' time, so that a busy turn of the loop is none.
    static constexpr std::chrono::milliseconds kHeldUpAfter{40};
    /// A signal that came in a hold-up is handled within this time after it.
    static constexpr std::chrono::milliseconds kSignalDelay{20};

    [[nodiscard]] TimePoint latestStop(TimePoint now) const;

    TimePoint lastRunningAt_;
    TimePoint heldUpSince_{};
    TimePoint heldUpUntil_{};
};

}  // namespace wingproxy::net
