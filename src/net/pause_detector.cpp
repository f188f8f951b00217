#include "net/pause_detector.h"

#include <algorithm>

namespace wingproxy::net {

void PauseDetector::onRunning(TimePoint now) {
    if (now - lastRunningAt_ > kPauseThreshold) {
        lastPauseStart_ = lastRunningAt_;
        lastPauseEnd_ = now;
    }
    lastRunningAt_ = now;
}

PauseDetector::TimePoint PauseDetector::earliestSendTime(TimePoint now) const {
    return std::max(recentPauseStart(now), now - kMaxPause);
}

// The start of a pause that goes on until `now` or ended within kSignalDelay before it; otherwise `now`.
PauseDetector::TimePoint PauseDetector::recentPauseStart(TimePoint now) const {
    if (now - lastRunningAt_ > kPauseThreshold) return lastRunningAt_;
    if (lastPauseEnd_ != TimePoint{} && now - lastPauseEnd_ <= kSignalDelay) return lastPauseStart_;
    return now;
}

}  // namespace wingproxy::net
