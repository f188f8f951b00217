#include "core/timer_queue.h"

namespace wingproxy::core {

void TimerQueue::cancel(const Timer& timer) {
    if (const auto it = timers_.find(timer); it != timers_.end()) timers_.erase(it);
}

std::optional<Timer> TimerQueue::popExpired(Micros now) {
    if (timers_.empty() || timers_.begin()->at > now) return {};
    return timers_.extract(timers_.begin()).value();
}

std::optional<Micros> TimerQueue::nextExpiry() const {
    if (timers_.empty()) return {};
    return timers_.begin()->at;
}

}  // namespace wingproxy::core
