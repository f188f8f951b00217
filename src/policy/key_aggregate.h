/// \file
/// The usage of one key by all hosts, as the key's rendezvous host records it.
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
    int outstanding = 0;  ///< attempts without an outcome
};

/// Sums over all hosts at one point in time.
struct UsageTotals {
    double rate = 0;           ///< units per second
    int outstanding = 0;       ///< attempts without an outcome
    double wait = 0;           ///< expected wait of a request, given the outstanding attempts, microseconds
    double slowStartRate = 0;  ///< units per second that nodes in slow start complete
};

/// The reports of all hosts on one key, and the totals that were last sent to them. Owned by `Gossip`.
class KeyAggregate {
public:
    /// All state, for the snapshot.
    struct State {
        std::map<HostIndex, HostUsage> hosts;
        std::set<HostIndex> joined;      ///< hosts that asked to learn of each other
        double sentRate = 0;             ///< units per second
        double sentSlowStartRate = 0;    ///< units per second
        double meanWait = 0;             ///< of answers, microseconds, smoothed
        double meanOutstanding = 0;      ///< outstanding attempts at these answers, smoothed
        TimedValue sentWait;             ///< microseconds, and when the totals were sent
        DecayingRate slowStart;          ///< units completed by nodes in slow start, for all hosts
        Micros slowStartUntil = kNever;  ///< end of the slow start of the cell's newest node
    };
    KeyAggregate() = default;
    /// Restores the state of a predecessor process.
    explicit KeyAggregate(State state) : state_(std::move(state)) {}

    // -- reports of hosts
    /// Replaces the figures of a host.
    /// \param rate units per second
    /// \return whether the host is new
    bool record(HostIndex host, double rate, int outstanding, Micros now) {
        const bool isNew = !state_.hosts.contains(host);
        state_.hosts[host] = {{rate, now}, outstanding};
        return isNew;
    }
    /// Counts units that nodes in slow start completed for a host.
    /// \param timeConstant see `DecayingRate`
    void recordSlowStart(double units, Micros now, Micros timeConstant) {
        state_.slowStart.add(now, timeConstant, units);
    }
    /// Records how long an answer waited. The wait and the number of outstanding attempts are smoothed
    /// alike, so that their ratio predicts the wait from the outstanding attempts before an answer shows it.
    /// \param wait microseconds
    /// \param smoothing weight of this answer, from 0 to 1
    void recordWait(double wait, int outstanding, double smoothing) {
        state_.meanWait += smoothing * (wait - state_.meanWait);
        state_.meanOutstanding += smoothing * (outstanding - state_.meanOutstanding);
    }
    /// A host asks to learn of the other hosts that joined.
    /// \return whether it had not joined before
    bool join(HostIndex host) { return state_.joined.insert(host).second; }
    /// Removes hosts whose rate is below `minRate`, also from those that joined: a host that returns may have
    /// forgotten the others and joins again.
    void dropIdle(double minRate, Micros now, Micros timeConstant) {
        std::erase_if(state_.hosts,
                      [&](const auto& entry) { return entry.second.rate.rate(now, timeConstant) < minRate; });
        std::erase_if(state_.joined, [&](HostIndex host) { return !state_.hosts.contains(host); });
    }
    /// A node started: discards the units that its predecessor completed.
    /// \param until end of the node's slow start
    void restartSlowStart(Micros until) {
        state_.slowStart = {};
        state_.slowStartUntil = until;
    }

    // -- sums
    /// The hosts that use the key, with their figures.
    [[nodiscard]] const std::map<HostIndex, HostUsage>& hosts() const { return state_.hosts; }
    /// The hosts that asked to learn of each other.
    [[nodiscard]] const std::set<HostIndex>& joined() const { return state_.joined; }
    /// Rate of one host, in units per second.
    /// \throws std::out_of_range if the host does not use the key
    [[nodiscard]] double rateOf(HostIndex host, Micros now, Micros timeConstant) const {
        return state_.hosts.at(host).rate.rate(now, timeConstant);
    }
    /// Sums over all hosts at `now`.
    /// \param timeConstant of the hosts' rates, see `DecayingRate`
    /// \param slowStartTimeConstant of the rate of units completed in slow start, see `DecayingRate`
    [[nodiscard]] UsageTotals totals(Micros now, Micros timeConstant, Micros slowStartTimeConstant) const {
        UsageTotals all;
        for (const auto& [host, usage] : state_.hosts) {
            all.rate += usage.rate.rate(now, timeConstant);
            all.outstanding += usage.outstanding;
        }
        all.wait = state_.meanWait / std::max(1.0, state_.meanOutstanding) * all.outstanding;
        all.slowStartRate =
            now < state_.slowStartUntil ? state_.slowStart.rate(now, slowStartTimeConstant) : 0;
        return all;
    }

    // -- totals sent to the hosts
    /// Records the totals that were sent to all hosts, to compare the next ones with.
    void onSent(const UsageTotals& totals, Micros now) {
        state_.sentRate = totals.rate;
        state_.sentSlowStartRate = totals.slowStartRate;
        state_.sentWait = {totals.wait, now};
    }
    /// When totals were last sent.
    [[nodiscard]] Micros sentAt() const { return state_.sentWait.at; }
    /// The rate that was last sent, in units per second.
    [[nodiscard]] double sentRate() const { return state_.sentRate; }
    /// The slow start rate that was last sent, in units per second.
    [[nodiscard]] double sentSlowStartRate() const { return state_.sentSlowStartRate; }
    /// The wait that was last sent, less what the queues have drained since, in microseconds.
    /// \param drainRate microseconds of wait that are worked off per microsecond
    [[nodiscard]] double sentWaitLeft(Micros now, double drainRate) const {
        return std::max(0.0, state_.sentWait.value - drainRate * double(now - state_.sentWait.at));
    }

    /// For the snapshot.
    [[nodiscard]] const State& state() const { return state_; }

private:
    State state_;
};

}  // namespace wingproxy
