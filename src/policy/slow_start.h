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
/// Where that part is smaller than a request, a host collects credit: with every unit that the cell is asked
/// for it earns the part of it that the node can bear, and it may send once the credit covers a request.
/// Rejected and unanswered work is not credited back, so a node that is overloaded is left alone. Units are
/// units of work.
class SlowStartLimiter {
public:
    /// All that it knows; for the snapshot.
    struct State {
        SlowStartWindow window;
        double credit = 0;          ///< units earned and not sent yet; below 0 after a larger request
        double creditDiscount = 0;  ///< part of a request, from 0 to 1, that credit need not cover
    };
    SlowStartLimiter() = default;
    /// Takes over what a predecessor process knew.
    explicit SlowStartLimiter(State state) : state_(std::move(state)) {}
    /// A limiter for a node that just started.
    /// \param creditDiscount from 0 to 1, drawn from the host's seed: it differs from host to host, so that
    ///        they do not all reach a request's credit at the same time
    static SlowStartLimiter withDiscount(double creditDiscount) {
        SlowStartLimiter fresh;
        fresh.state_.creditDiscount = creditDiscount;
        return fresh;
    }

    /// Whether a request of `units` may be sent without exceeding this host's share.
    [[nodiscard]] bool admits(const Settings& settings, double units, Micros now);
    /// Earns credit for `units` that the cell is asked for through this host.
    /// \param startedUs when the node's process started
    /// \param own what the cell is asked for through this host, in units a second
    void earnCredit(const Settings& settings, double units, double own, const PeerUsage& others,
                    Micros startedUs, Micros now);
    /// A request was sent to the node: its units count against the window and the credit.
    void onSent(const Settings& settings, double units, Micros now) {
        state_.window.addSent(units, now);
        state_.credit = std::max(state_.credit - units, -settings.maxUnits);
    }
    /// The node completed a request of this host.
    void onCompleted(double units, Micros now) { state_.window.addCompleted(units, now); }

    /// For the snapshot.
    [[nodiscard]] const State& state() const { return state_; }

private:
    State state_;
};

}  // namespace wingproxy
