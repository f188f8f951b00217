/// \file
/// Detects pauses of the process: times in which it was stopped or got no processor. A value type without a
/// timer.
#pragma once

#include <chrono>

namespace wingproxy::net {

/// Detects pauses from the gaps between regular calls of `onRunning()`. A signal that is handled right after
/// a pause may have been sent at any time during it. A pause counts as `kMaxPause` long at most.
class PauseDetector {
public:
    /// A time of the monotonic clock; the caller reads the clock.
    using TimePoint = std::chrono::steady_clock::time_point;

    /// The longest pause that the platform's time limits allow for.
    static constexpr std::chrono::milliseconds kMaxPause{150};

    /// \param now the current time; the process counts as running
    explicit PauseDetector(TimePoint now) : lastRunningAt_(now) {}

    /// Records that the process is running. To be called about every 10 ms.
    void onRunning(TimePoint now);
    /// The earliest time at which a signal that is handled at `now` may have been sent.
    [[nodiscard]] TimePoint earliestSendTime(TimePoint now) const;

private:
    /// A longer gap between two calls is a pause. Several call intervals, so that a busy turn of the event
    /// loop does not count as one.
    static constexpr std::chrono::milliseconds kPauseThreshold{40};
    /// A signal that arrives during a pause is handled at most this long after the pause.
    static constexpr std::chrono::milliseconds kSignalDelay{20};

    [[nodiscard]] TimePoint recentPauseStart(TimePoint now) const;

    TimePoint lastRunningAt_;
    TimePoint lastPauseStart_{};
    TimePoint lastPauseEnd_{};
};

}  // namespace wingproxy::net
