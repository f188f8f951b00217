/// \file
/// Limits what this host sends to a node that is warming up (slow start).
#pragma once

#include "policy/slow_start_window.h"
#include "policy/usage_table.h"

namespace wingproxy {

/// All hosts together must not overload a node that is warming up. So each sends at most its part of the
/// capacity that any starting node has, plus a margin over the units that the node completed for it within
/// the observation window.
///
/// Where that part is smaller than a request, hosts take turns: with every unit that the cell is asked for a
/// host earns the part of it that the node can bear, and it may send once it has earned a whole request.
/// Rejected and unanswered work is not given back, so a node that chokes is left alone. Units are units of
/// work.
class SlowStartLimiter {
public:
    /// All that it knows; for the snapshot.
    struct State {
        SlowStartWindow window;
        double credit = 0;          ///< earned by turns and not sent yet
        double creditDiscount = 0;  ///< part of a request that counts as earned, drawn from the seed
    };
    SlowStartLimiter() = default;
    explicit SlowStartLimiter(State state) : state_(std::move(state)) {}
    /// \param creditDiscount from 0 to 1; differs from host to host, so that their turns do not come at once
    static SlowStartLimiter withDiscount(double creditDiscount) {
        SlowStartLimiter fresh;
        fresh.state_.creditDiscount = creditDiscount;
        return fresh;
    }

    /// Whether a request of `units` may be sent without exceeding this host's share.
    [[nodiscard]] bool admits(const Settings& settings, double units, Micros now);
    /// Earns a turn's part of `units` that the cell is asked for through this host.
    /// \param startedUs when the node's process started
    /// \param own what the cell is asked for through this host, in units a second
    void earnCredit(const Settings& settings, double units, double own, const PeerUsage& others,
                    Micros startedUs, Micros now);
    void onSent(const Settings& settings, double units, Micros now) {
        state_.window.addSent(units, now);
        state_.credit = std::max(state_.credit - units, -settings.maxUnits);
    }
    void onCompleted(double units, Micros now) { state_.window.addCompleted(units, now); }

    [[nodiscard]] const State& state() const { return state_; }

private:
    State state_;
};

}  // namespace wingproxy
