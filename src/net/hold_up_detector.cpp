#include "net/hold_up_detector.h"

#include <algorithm>

namespace wingproxy::net {

void HoldUpDetector::onRunning(TimePoint now) {
    if (now - lastRunningAt_ > kHeldUpAfter) {
        heldUpSince_ = lastRunningAt_;
        heldUpUntil_ = now;
    }
    lastRunningAt_ = now;
}

HoldUpDetector::TimePoint HoldUpDetector::earliestSent(TimePoint now) const {
    return std::max(latestStop(now), now - kMaxHoldUp);
}

// When the process last stopped, if it has run again for a moment only; else now.
HoldUpDetector::TimePoint HoldUpDetector::latestStop(TimePoint now) const {
    if (now - lastRunningAt_ > kHeldUpAfter) return lastRunningAt_;
    if (heldUpUntil_ != TimePoint{} && now - heldUpUntil_ <= kSignalDelay) return heldUpSince_;
    return now;
}

}  // namespace wingproxy::net
