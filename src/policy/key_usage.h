/// \file
/// The demand on one volume or cell: through this host, and through the others as gossip reports it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

#include "policy/decaying_rate.h"
#include "wingproxy/index.h"

namespace wingproxy {

/// The demand through the other hosts, as the rendezvous host of the key last reported it.
struct PeerUsage {
    double rate = 0;           ///< units per second
    Micros at = kNever;        ///< when the report arrived
    double slowStartRate = 0;  ///< units per second that nodes in slow start completed for all hosts
};

/// The usage of one key, which identifies a volume or a cell in gossip. Owned by `UsageTable`.
class KeyUsage {
public:
    /// All state that a successor process takes over; for the snapshot.
    struct State {
        DecayingRate demand;    ///< through this host
        DecayingRate reported;  ///< the demand last reported to the rendezvous host
        PeerUsage others;
        double slowStartUnits = 0;  ///< completed by nodes in slow start since the last report
        std::set<HostIndex> peers;  ///< the other hosts that use the key
        CellIndex cell;             ///< the cell of the key; none: a key of volumes
        int reportedOutstanding = 0;
        int volumes = 0;  ///< number of this host's volumes with the key, as names may share a hash
    };
    /// A key without any reports.
    KeyUsage() = default;
    /// Restores the state of a predecessor process.
    explicit KeyUsage(State state) : state_(std::move(state)) {}

    /// Counts units requested through this host.
    /// \param timeConstant see `DecayingRate`
    void record(double units, Micros now, Micros timeConstant) {
        state_.demand.add(now, timeConstant, units);
    }
    /// Demand through this host, in units per second.
    [[nodiscard]] double ownRate(Micros now, Micros timeConstant) const {
        return state_.demand.rate(now, timeConstant);
    }
    /// The last reported demand through the other hosts; `PeerUsage::at` gives its age.
    [[nodiscard]] const PeerUsage& others() const { return state_.others; }
    /// The rendezvous host reported the demand through the other hosts.
    /// \param lifetime how long a report is used, in microseconds
    void onOthersReported(const PeerUsage& others, Micros lifetime) {
        if (others.at - state_.others.at > lifetime) othersKnownSince_ = others.at;
        const double decayedPeak = peakOthersRate_.rate(others.at, lifetime);
        peakOthersRate_ = {std::max(decayedPeak, others.rate), others.at};
        state_.others = others;
    }
    /// The larger of the last reported rate of the other hosts and their decaying peak, in units per second.
    /// The peak counts because a rendezvous host that has just started knows only some of the hosts.
    /// \param timeConstant of the peak's decay, see `DecayingRate`
    [[nodiscard]] double peakOthersRate(Micros now, Micros timeConstant) const {
        return std::max(state_.others.rate, peakOthersRate_.rate(now, timeConstant));
    }
    /// Since when this process has received reports without a gap longer than their lifetime.
    [[nodiscard]] Micros othersKnownSince() const { return othersKnownSince_; }

    /// The demand last reported to the rendezvous host, to report only changes.
    [[nodiscard]] const DecayingRate& reported() const { return state_.reported; }
    /// Outstanding attempts at the last report.
    [[nodiscard]] int reportedOutstanding() const { return state_.reportedOutstanding; }
    /// Records the figures that were sent to the rendezvous host.
    /// \param rate of this host, in units per second
    void onReported(double rate, int outstanding, Micros now) {
        state_.reported = {rate, now};
        state_.reportedOutstanding = outstanding;
    }

    /// Counts units that a node in slow start completed for this host.
    void onSlowStartCompleted(double units) { state_.slowStartUnits += units; }
    /// Returns the units completed since the last call and resets them, so that each is reported once.
    [[nodiscard]] double takeSlowStartUnits() { return std::exchange(state_.slowStartUnits, 0); }
    /// A node of the cell restarted: discards the units that its predecessor completed.
    void restartSlowStart() {
        state_.slowStartUnits = 0;
        state_.others.slowStartRate = 0;
    }

    /// The other hosts that use the key; leases may be requested of them.
    [[nodiscard]] const std::set<HostIndex>& peers() const { return state_.peers; }
    /// Adds a host that the rendezvous host named as a user of the key.
    void addPeer(HostIndex host) { state_.peers.insert(host); }

    /// The cell that the key belongs to; none for a key of volumes.
    [[nodiscard]] CellIndex cell() const { return state_.cell; }
    /// Makes it the key of a cell; such keys are never removed.
    void assignCell(CellIndex cell) { state_.cell = cell; }
    /// Counts a volume of this host that has the key.
    void addVolume() { ++state_.volumes; }
    /// A volume with the key was removed.
    /// \return whether no volume and no cell has the key any more
    [[nodiscard]] bool removeVolume() { return --state_.volumes == 0 && state_.cell.isNone(); }

    /// For the snapshot.
    [[nodiscard]] const State& state() const { return state_; }

private:
    State state_;
    Micros othersKnownSince_ = 0;
    DecayingRate peakOthersRate_;
};

}  // namespace wingproxy
