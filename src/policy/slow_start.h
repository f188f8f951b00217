/// \file
/// Limits what this host sends to a node that is warming up (slow start).
#pragma once

#include <optional>

#include "policy/slow_start_window.h"
#include "wingproxy/policy.h"

namespace wingproxy {

/// What the other hosts say of a cell with nodes in slow start; only what is recent and complete.
struct SlowStartPeers {
    double demandPart = 1;     ///< of what the cell is asked for, the part that comes through this host
    double completedRate = 0;  ///< units a second that its nodes in slow start completed for all hosts
};

/// What this host knows of a node in slow start.
struct SlowStartConditions {
    Micros age = 0;          ///< of the node's process, at least
    Micros usableSince = 0;  ///< before this time, this host sends it nothing
    int startingNodes = 1;   ///< nodes in slow start in its cell, this one included
    std::optional<SlowStartPeers> peers;
};

/// What this host may send to a node in slow start.
struct SlowStartAllowance {
    double units = 0;        ///< within one window
    Micros windowUs = 0;     ///< over which that is counted
    Micros usableSince = 0;  ///< before this time nothing may be sent
};

/// The window over which a host counts what it sends to a node in slow start, in microseconds. It is longer
/// than the node's by how long after the decision to send them requests may still arrive (a connection has to
/// be opened, and a process may be held up), so that no window of the node is fuller than one of this host's.
[[nodiscard]] Micros slowStartHostWindow(const Settings& settings);

/// All hosts together must not overload a node that is warming up, whatever they hear of each other, however
/// the node answers, and whatever this process did before it started.
///
/// So there is one allowance, which everything sent counts against, repeated, failed and declined requests
/// too. It has two parts, and the sum of each over all hosts is safe by itself:
///
/// - A fixed part of the budget that the settings promise for any node (`slowStartBudget`), divided by the
///   number of hosts. Where that is less than a request, hosts that hear of each other divide it by demand.
/// - A multiple of the units that the node completed within the window: it cannot complete more than its
///   capacity, so the hosts' completed units add up to a part of its budget.
///
/// Allowances are rounded to whole requests at random, differently on each host. Units are units of work.
class SlowStartLimiter {
public:
    /// All that it knows; for the snapshot.
    struct State {
        SlowStartWindow window;
        double phase =
            0;  ///< from 0 to 1, differs from host to host: when a window begins, and how it rounds
    };
    SlowStartLimiter() = default;
    /// Takes over what a predecessor process knew.
    explicit SlowStartLimiter(State state) : state_(std::move(state)) {}

    /// The node's process is new. What was sent after its start went to the new process and still counts.
    /// \param startedAt no later than the node's start
    /// \param phase see `State`; drawn from the host's seed
    void restart(Micros startedAt, double phase);
    /// The most that this host may send within a window.
    [[nodiscard]] SlowStartAllowance allowance(const Settings& settings,
                                               const SlowStartConditions& conditions, Micros now) const;
    /// Whether a request of `units` may be sent now.
    [[nodiscard]] bool admits(const SlowStartAllowance& allowance, double units, Micros now) const;
    /// A request was sent to the node, or its body is complete there.
    /// \param memory how long that may count yet, in microseconds
    void onSent(double units, Micros memory, Micros now) {
        state_.window.dropOlderThan(memory, now);
        state_.window.addSent(units, now);
    }
    /// The node completed a request of this host.
    void onCompleted(double units, Micros now) { state_.window.addCompleted(units, now); }

    /// For the snapshot.
    [[nodiscard]] const State& state() const { return state_; }

private:
    State state_;
};

}  // namespace wingproxy
