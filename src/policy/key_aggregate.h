/// \file
/// What all hosts together are asked for under one key, as the key's rendezvous host keeps it.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "policy/decaying_rate.h"
#include "wingproxy/index.h"

namespace wingproxy {

/// One host's use of a key.
struct HostUsage {
    DecayingRate rate;
    int outstanding = 0;  ///< attempts
};

/// Sums of all hosts at one point in time.
struct UsageTotals {
    double rate = 0;           ///< units a second
    int outstanding = 0;       ///< attempts
    double wait = 0;           ///< microseconds that a request waits, expected from the outstanding attempts
    double slowStartRate = 0;  ///< units a second that starting nodes complete
};

/// Records of one key, and the sums that were last sent to the hosts. Owned by `Gossip`.
class KeyAggregate {
public:
    /// All that it knows; for the snapshot.
    struct State {
        std::map<HostIndex, HostUsage> hosts;
        std::set<HostIndex> joined;      ///< hosts that want to know each other
        double sentRate = 0;             ///< units a second
        double sentSlowStartRate = 0;    ///< units a second
        double meanWait = 0;             ///< of answers, microseconds, smoothed
        double meanOutstanding = 0;      ///< while these waited, smoothed
        TimedValue sentWait;             ///< microseconds
        DecayingRate slowStart;          ///< units completed by nodes in slow start, for all hosts
        Micros slowStartUntil = kNever;  ///< end of the slow start of the cell's newest node
    };
    KeyAggregate() = default;
    /// Takes over what a predecessor process knew.
    explicit KeyAggregate(State state) : state_(std::move(state)) {}

    // -- what hosts report
    /// Replaces what is known of a host.
    /// \param rate units a second
    /// \return whether the host is new
    bool record(HostIndex host, double rate, int outstanding, Micros now) {
        const bool isNew = !state_.hosts.contains(host);
        state_.hosts[host] = {{rate, now}, outstanding};
        return isNew;
    }
    /// Nodes in slow start completed units for a host.
    /// \param memory see `DecayingRate`
    void recordSlowStart(double units, Micros now, Micros memory) {
        state_.slowStart.add(now, memory, units);
    }
    /// An answer waited so long. How long is smoothed together with how many attempts were outstanding, so
    /// that the outstanding attempts predict a wait before any answer shows it.
    /// \param wait microseconds
    /// \param smoothing weight of this answer, from 0 to 1
    void recordWait(double wait, int outstanding, double smoothing) {
        state_.meanWait += smoothing * (wait - state_.meanWait);
        state_.meanOutstanding += smoothing * (outstanding - state_.meanOutstanding);
    }
    /// A host wants to know the others that joined.
    /// \return whether it had not joined yet
    bool join(HostIndex host) { return state_.joined.insert(host).second; }
    /// Forgets hosts that ask for less than `minRate`. One that comes back may have forgotten which others
    /// there are, and joins anew.
    void dropIdle(double minRate, Micros now, Micros memory) {
        std::erase_if(state_.hosts,
                      [&](const auto& entry) { return entry.second.rate.rate(now, memory) < minRate; });
        std::erase_if(state_.joined, [&](HostIndex host) { return !state_.hosts.contains(host); });
    }
    /// A node started: what its predecessor completed says nothing of it.
    void restartSlowStart(Micros until) {
        state_.slowStart = {};
        state_.slowStartUntil = until;
    }

    // -- sums
    /// The hosts that use the key.
    [[nodiscard]] const std::map<HostIndex, HostUsage>& hosts() const { return state_.hosts; }
    /// The hosts that want to know each other.
    [[nodiscard]] const std::set<HostIndex>& joined() const { return state_.joined; }
    /// Units a second that one host is asked for.
    /// \throws std::out_of_range if the host does not use the key
    [[nodiscard]] double rateOf(HostIndex host, Micros now, Micros memory) const {
        return state_.hosts.at(host).rate.rate(now, memory);
    }
    /// \param memory of the rates of hosts, in microseconds
    /// \param slowStartMemory of the completed units, likewise
    [[nodiscard]] UsageTotals totals(Micros now, Micros memory, Micros slowStartMemory) const {
        UsageTotals all;
        for (const auto& [host, usage] : state_.hosts) {
            all.rate += usage.rate.rate(now, memory);
            all.outstanding += usage.outstanding;
        }
        all.wait = state_.meanWait / std::max(1.0, state_.meanOutstanding) * all.outstanding;
        all.slowStartRate = now < state_.slowStartUntil ? state_.slowStart.rate(now, slowStartMemory) : 0;
        return all;
    }

    // -- what was sent to the hosts
    /// These totals were sent to all hosts: the next ones are compared with them.
    void onSent(const UsageTotals& totals, Micros now) {
        state_.sentRate = totals.rate;
        state_.sentSlowStartRate = totals.slowStartRate;
        state_.sentWait = {totals.wait, now};
    }
    /// When totals were last sent.
    [[nodiscard]] Micros sentAt() const { return state_.sentWait.at; }
    /// The rate that was sent, in units a second.
    [[nodiscard]] double sentRate() const { return state_.sentRate; }
    /// The rate of slow start that was sent, in units a second.
    [[nodiscard]] double sentSlowStartRate() const { return state_.sentSlowStartRate; }
    /// What is left of the wait that was sent, in microseconds, as queues are worked off meanwhile.
    /// \param drainRate seconds of a queue that a second works off
    [[nodiscard]] double sentWaitLeft(Micros now, double drainRate) const {
        return std::max(0.0, state_.sentWait.value - drainRate * double(now - state_.sentWait.at));
    }

    /// For the snapshot.
    [[nodiscard]] const State& state() const { return state_; }

private:
    State state_;
};

}  // namespace wingproxy
