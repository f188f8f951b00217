/// \file
/// What all hosts together are asked for under one key, as the key's rendezvous host keeps it.
#pragma once

#include <algorithm>
#include <map>
#include <set>

#include "policy/decaying_rate.h"

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

/// Records of one key, and the sums that were last sent to the hosts.
struct KeyAggregate {
    std::map<HostIndex, HostUsage> hosts;
    std::set<HostIndex> joined;      ///< hosts that want to know each other
    double sentRate = 0;             ///< units a second
    double sentSlowStartRate = 0;    ///< units a second
    double meanWait = 0;             ///< of answers, microseconds, smoothed
    double meanOutstanding = 0;      ///< while these waited, smoothed
    TimedValue sentWait;             ///< microseconds
    DecayingRate slowStart;          ///< units completed by starting nodes for all hosts
    Micros slowStartUntil = kNever;  ///< end of the slow start of the cell's newest node

    /// Replaces what is known of a host.
    /// \return whether the host is new
    bool record(HostIndex host, double rate, int outstanding, Micros now) {
        const bool isNew = !hosts.contains(host);
        hosts[host] = {{rate, now}, outstanding};
        return isNew;
    }
    /// An answer waited so long. How long is smoothed together with how many attempts were outstanding, so
    /// that these say of a queue before any answer can.
    void recordWait(double wait, int outstanding, double smoothing) {
        meanWait += smoothing * (wait - meanWait);
        meanOutstanding += smoothing * (outstanding - meanOutstanding);
    }
    /// Forgets hosts that ask for less than `minRate`. One that comes back may have forgotten which others
    /// there are, and joins anew.
    void dropIdle(double minRate, Micros now, Micros memory) {
        std::erase_if(hosts,
                      [&](const auto& entry) { return entry.second.rate.rate(now, memory) < minRate; });
        std::erase_if(joined, [&](HostIndex host) { return !hosts.contains(host); });
    }
    /// \param memory of the rates of hosts, in microseconds
    /// \param slowStartMemory of the completed units, likewise
    [[nodiscard]] UsageTotals totals(Micros now, Micros memory, Micros slowStartMemory) const {
        UsageTotals all;
        for (const auto& [host, usage] : hosts) {
            all.rate += usage.rate.rate(now, memory);
            all.outstanding += usage.outstanding;
        }
        all.wait = meanWait / std::max(1.0, meanOutstanding) * all.outstanding;
        all.slowStartRate = now < slowStartUntil ? slowStart.rate(now, slowStartMemory) : 0;
        return all;
    }
    /// These totals were sent to all hosts: the next ones are compared with them.
    void onSent(const UsageTotals& totals, Micros now) {
        sentRate = totals.rate;
        sentSlowStartRate = totals.slowStartRate;
        sentWait = {totals.wait, now};
    }
    /// What is left of the wait that was sent, as queues are worked off meanwhile.
    /// \param drainRate seconds of a queue that a second works off
    [[nodiscard]] double sentWaitLeft(Micros now, double drainRate) const {
        return std::max(0.0, sentWait.value - drainRate * double(now - sentWait.at));
    }
    /// A node started: what its predecessor completed says nothing of it.
    void restartSlowStart(Micros until) {
        slowStart = {};
        slowStartUntil = until;
    }
};

}  // namespace wingproxy
