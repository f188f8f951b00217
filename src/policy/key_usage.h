/// \file
/// What one volume or one cell is asked for: through this host, and through the others as gossip reports it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

#include "policy/decaying_rate.h"
#include "wingproxy/index.h"

namespace wingproxy {

/// What the other hosts are asked for, as the rendezvous host of the key last reported it.
struct PeerUsage {
    double rate = 0;           ///< units a second
    Micros at = kNever;        ///< when the report came
    double slowStartRate = 0;  ///< units a second that nodes in slow start completed for all hosts
};

/// The use of one key, which names a volume or a cell in gossip. Owned by `UsageTable`.
class KeyUsage {
public:
    /// All that it knows; for the snapshot.
    struct State {
        DecayingRate demand;    ///< through this host
        DecayingRate reported;  ///< the demand that the rendezvous host was last sent
        PeerUsage others;
        double slowStartUnits = 0;  ///< completed by nodes in slow start since the last report
        std::set<HostIndex> peers;  ///< the other hosts that use the key
        CellIndex cell;             ///< none: the key of a volume
        int reportedOutstanding = 0;
        int volumes = 0;  ///< how many volumes of this host have the key, as two names may share a hash
    };
    /// Nothing is known of the key yet.
    KeyUsage() = default;
    /// Takes over what a predecessor process knew.
    explicit KeyUsage(State state) : state_(std::move(state)) {}

    /// Counts units that this host is asked for.
    /// \param memory see `DecayingRate`
    void record(double units, Micros now, Micros memory) { state_.demand.add(now, memory, units); }
    /// Units a second that this host is asked for.
    [[nodiscard]] double ownRate(Micros now, Micros memory) const { return state_.demand.rate(now, memory); }
    /// What the other hosts are asked for; `PeerUsage::at` says how old that is.
    [[nodiscard]] const PeerUsage& others() const { return state_.others; }
    /// The rendezvous host reported what the other hosts are asked for.
    /// \param lifetime how long a report counts, in microseconds
    void onOthersReported(const PeerUsage& others, Micros lifetime) {
        if (others.at - state_.others.at > lifetime) othersKnownSince_ = others.at;
        const double held = peakOthersRate_.rate(others.at, lifetime);
        peakOthersRate_ = {std::max(held, others.rate), others.at};
        state_.others = others;
    }
    /// Units a second that the other hosts are asked for, or were shortly before: a rendezvous host that has
    /// just started knows a part of them only.
    /// \param memory time in which an earlier peak loses its weight, in microseconds
    [[nodiscard]] double peakOthersRate(Micros now, Micros memory) const {
        return std::max(state_.others.rate, peakOthersRate_.rate(now, memory));
    }
    /// Since when reports have come without a gap, in this process.
    [[nodiscard]] Micros othersKnownSince() const { return othersKnownSince_; }

    /// The demand that the rendezvous host knows of, so that only a change is reported.
    [[nodiscard]] const DecayingRate& reported() const { return state_.reported; }
    /// The attempts that were outstanding at the last report.
    [[nodiscard]] int reportedOutstanding() const { return state_.reportedOutstanding; }
    /// The rendezvous host was sent these figures.
    /// \param rate units a second of this host
    void onReported(double rate, int outstanding, Micros now) {
        state_.reported = {rate, now};
        state_.reportedOutstanding = outstanding;
    }

    /// A node in slow start completed units for this host.
    void onSlowStartCompleted(double units) { state_.slowStartUnits += units; }
    /// The units completed since the last call; each is reported once.
    [[nodiscard]] double takeSlowStartUnits() { return std::exchange(state_.slowStartUnits, 0); }
    /// A node of the cell started anew: what its predecessor completed says nothing of it.
    void restartSlowStart() {
        state_.slowStartUnits = 0;
        state_.others.slowStartRate = 0;
    }

    /// The other hosts that use the key, of which leases may be requested.
    [[nodiscard]] const std::set<HostIndex>& peers() const { return state_.peers; }
    /// The rendezvous host named another host that uses the key.
    void addPeer(HostIndex host) { state_.peers.insert(host); }

    /// The cell that the key belongs to; none for the key of a volume.
    [[nodiscard]] CellIndex cell() const { return state_.cell; }
    /// Makes it the key of a cell, which is never forgotten.
    void assignCell(CellIndex cell) { state_.cell = cell; }
    /// A volume of this host has the key.
    void addVolume() { ++state_.volumes; }
    /// A volume was forgotten.
    /// \return whether nothing has the key any more
    [[nodiscard]] bool removeVolume() { return --state_.volumes == 0 && state_.cell.isNone(); }

    /// For the snapshot.
    [[nodiscard]] const State& state() const { return state_; }

private:
    State state_;
    Micros othersKnownSince_ = 0;
    DecayingRate peakOthersRate_;
};

}  // namespace wingproxy
