/// \file
/// A count of events within a sliding window.
#pragma once

#include <deque>

#include "policy/micros.h"

namespace wingproxy {

/// The times of recent events, oldest first. The owner removes those that are too old.
struct EventWindow {
    std::deque<Micros> times;

    /// Records an event; `now` must not be earlier than in the call before.
    void record(Micros now) { times.push_back(now); }
    /// Removes events before `oldest`; one at exactly that time stays.
    void dropBefore(Micros oldest) {
        while (!times.empty() && times.front() < oldest)
            times.pop_front();
    }
    /// Number of events that have not been removed.
    [[nodiscard]] double count() const { return double(times.size()); }
};

}  // namespace wingproxy
