/// \file
/// Limits what this host sends to a node that is warming up (slow start).
#pragma once

#include <optional>

#include "policy/slow_start_window.h"
#include "wingproxy/policy.h"

namespace wingproxy {

/// What gossip reports about a cell with nodes in slow start. Absent unless it is recent and covers all
/// hosts.
struct SlowStartPeers {
    double demandShare = 1;    ///< this host's share of the demand for the cell, from 0 to 1
    double completedRate = 0;  ///< units a second that its nodes in slow start complete for all hosts
};

/// What the allowance of a node in slow start depends on.
struct SlowStartConditions {
    Micros age = 0;          ///< lower bound of the age of the node's process
    Micros usableSince = 0;  ///< this host sends it nothing before this time
    int startingNodes = 1;   ///< nodes in slow start in its cell, this one included
    std::optional<SlowStartPeers> peers;
};

/// What this host may send to a node in slow start.
struct SlowStartAllowance {
    double units = 0;        ///< within one window
    Micros windowUs = 0;     ///< length of the window
    Micros usableSince = 0;  ///< nothing may be sent before this time
};

/// The window over which a host counts what it sends to a node in slow start, in microseconds. It exceeds the
/// node's window by the longest time from the decision to send a request to its arrival (a connection has to
/// be opened, and the process may be delayed), so that no window of the node can contain more than the
/// fullest window of this host.
[[nodiscard]] Micros slowStartHostWindow(const Settings& settings);

/// Limits what this host sends to one node while it warms up, so that all hosts together do not overload it,
/// whether or not gossip works, however the node answers, and whatever an earlier process of this host sent.
///
/// There is one allowance per window. Everything that is sent counts against it, including repeated, failed
/// and declined requests. It is the sum of two terms, each of which is safe when summed over all hosts:
///
/// - A fixed part of the budget that the settings promise for any node (`slowStartBudget`), divided by the
///   number of hosts.
/// - A multiple of the units that the node completed for this host within the window. It cannot complete more
///   than its capacity, so the units completed for all hosts add up to a part of its budget.
///
/// If the fixed part of a host is less than a request of mean size, hosts that receive gossip divide the sum
/// of both terms over all hosts by demand instead.
///
/// Allowances are rounded to whole requests at random, independently on each host. Units are units of work.
class SlowStartLimiter {
public:
    /// Its whole state; for the snapshot.
    struct State {
        SlowStartWindow window;
        /// From 0 to 1, different on each host: determines when a rounding window begins, and its rounding.
        double phase = 0;
    };
    SlowStartLimiter() = default;
    /// Restores the state of a predecessor process.
    explicit SlowStartLimiter(State state) : state_(std::move(state)) {}

    /// The node's process is new. What was sent after its start still counts, as it went to the new process.
    /// \param startedAt lower bound of the time when the node started
    /// \param phase see `State`; drawn from the host's seed
    void restart(Micros startedAt, double phase);
    /// The maximum that this host may send within a window.
    [[nodiscard]] SlowStartAllowance allowance(const Settings& settings,
                                               const SlowStartConditions& conditions, Micros now) const;
    /// Whether a request of `units` may be sent now.
    [[nodiscard]] bool admits(const SlowStartAllowance& allowance, double units, Micros now) const;
    /// A request was sent to the node, or its body is complete there.
    /// \param memory age beyond which entries are dropped, in microseconds
    void onSent(double units, Micros memory, Micros now) {
        state_.window.dropOlderThan(memory, now);
        state_.window.addSent(units, now);
    }
    /// The node completed a request of this host.
    void onCompleted(double units, Micros now) { state_.window.addCompleted(units, now); }

    /// Its state, for the snapshot.
    [[nodiscard]] const State& state() const { return state_; }

private:
    State state_;
};

}  // namespace wingproxy
