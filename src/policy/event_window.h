/// \file
/// A count of events within a sliding window.
#pragma once

#include <deque>

#include "policy/micros.h"

namespace wingproxy {

/// The times of recent events, oldest first. The owner decides which are too old.
struct EventWindow {
    std::deque<Micros> times;

    /// Counts an event; times never fall.
    void record(Micros now) { times.push_back(now); }
    /// Forgets events before `oldest`; one at that time stays.
    void dropBefore(Micros oldest) {
        while (!times.empty() && times.front() < oldest)
            times.pop_front();
    }
    /// Number of events that are not forgotten.
    [[nodiscard]] double count() const { return double(times.size()); }
};

}  // namespace wingproxy
