/// \file
/// A model of how many requests a node could have answered in time, to which the fronts are compared.
#pragma once

#include <optional>
#include <vector>

#include "soak/observations.h"

namespace wingproxy::soak {

/// One node as it would be used by a dispatcher that knows the true state of all nodes with a short delay.
/// Counts the requests that the node would have answered. It serves them one after another.
class ReferenceQueue {
public:
    /// How long the dispatcher takes to notice that a node serves again.
    static constexpr milliseconds kRecoveryDetectionDelay{500};

    /// The node serves from now on, or stops: requests that it has not answered by then are lost.
    void setServing(bool isServing, Clock::time_point now) {
        settle(now);
        if (!isServing) pending_.clear();
        if (isServing && !isServing_) servingSince_ = now;
        isServing_ = isServing;
        if (!isServing) idleAt_ = now;
    }
    /// The node's process was replaced: its connections are closed and its requests lost.
    void restart(Clock::time_point now) {
        setServing(false, now);
        setServing(true, now);
    }
    /// A front was killed: its requests are not answered.
    void frontKilled(std::size_t front, Clock::time_point now) {
        settle(now);
        std::erase_if(pending_, [front](const Pending& each) { return each.front == front; });
    }
    /// When a request that takes `work` would be answered; empty if the dispatcher doesn't know that the node
    /// serves.
    [[nodiscard]] std::optional<Clock::time_point> answerTime(Clock::duration work,
                                                              Clock::time_point now) const {
        if (!isServing_ || now < servingSince_ + kRecoveryDetectionDelay) return std::nullopt;
        return std::max(idleAt_, now) + work;
    }
    /// Gives the node a request that it will answer at `answerAt`.
    void assign(std::size_t front, Clock::time_point answerAt) {
        idleAt_ = answerAt;
        pending_.push_back({front, answerAt});
    }
    /// The number of requests answered by `now`.
    std::size_t answered(Clock::time_point now) {
        settle(now);
        return answered_;
    }

private:
    struct Pending {
        std::size_t front;
        Clock::time_point answerAt;
    };
    void settle(Clock::time_point now) {
        answered_ += std::erase_if(pending_, [now](const Pending& each) { return each.answerAt <= now; });
    }

    bool isServing_ = true;
    Clock::time_point servingSince_{};
    Clock::time_point idleAt_{};
    std::vector<Pending> pending_;
    std::size_t answered_ = 0;
};

}  // namespace wingproxy::soak
