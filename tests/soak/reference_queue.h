/// \file
/// What a node could have answered: the measure for what the fronts make of it.
#pragma once

#include <optional>
#include <vector>

#include "soak/observations.h"

namespace wingproxy::soak {

/// One node as a dispatcher would use it that sees the true state of all nodes a little late, and what of
/// that would have been answered in time. Requests are worked off one after another.
class ReferenceQueue {
public:
    /// How late the dispatcher sees that a node is well again.
    static constexpr milliseconds kSeenLate{500};

    /// The node serves from now on, or it does not: what it has not answered by then is lost.
    void setServing(bool isServing, Clock::time_point now) {
        settle(now);
        if (!isServing) pending_.clear();
        if (isServing && !isServing_) servesSince_ = now;
        isServing_ = isServing;
        if (!isServing) idleAt_ = now;
    }
    /// The node's process is new, and its connections are gone.
    void restart(Clock::time_point now) {
        setServing(false, now);
        setServing(true, now);
    }
    /// A front was killed: its requests get no answer.
    void frontKilled(std::size_t front, Clock::time_point now) {
        settle(now);
        std::erase_if(pending_, [front](const Pending& each) { return each.front == front; });
    }
    /// When a request that takes so long would be answered; nothing if the node is not seen to serve.
    [[nodiscard]] std::optional<Clock::time_point> answerTime(Clock::duration work,
                                                              Clock::time_point now) const {
        if (!isServing_ || now < servesSince_ + kSeenLate) return std::nullopt;
        return std::max(idleAt_, now) + work;
    }
    /// The request is given to the node.
    void take(std::size_t front, Clock::time_point answerAt) {
        idleAt_ = answerAt;
        pending_.push_back({front, answerAt});
    }
    /// Requests answered by `now`.
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
    Clock::time_point servesSince_{};
    Clock::time_point idleAt_{};
    std::vector<Pending> pending_;
    std::size_t answered_ = 0;
};

}  // namespace wingproxy::soak
