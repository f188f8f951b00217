/// \file
/// What each volume and each cell is asked for: through this host, and through the others as gossip says.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "policy/context.h"
#include "policy/decaying_rate.h"
#include "policy/peer_message.h"

namespace wingproxy {

/// What the other hosts are asked for, as their rendezvous host last said.
struct PeerUsage {
    double rate = 0;  ///< units a second
    Micros at = kNever;
    double slowStartRate = 0;  ///< units a second that starting nodes completed for all hosts
};

/// The use of one key, that is of a volume or a cell.
struct KeyUsage {
    DecayingRate demand;    ///< through this host
    DecayingRate reported;  ///< of that, what the rendezvous host was last sent
    PeerUsage others;
    double slowStartUnits = 0;  ///< completed by starting nodes since the last report
    std::set<HostIndex> peers;  ///< other hosts with this key
    CellIndex cell;             ///< none: a volume's key
    int reportedOutstanding = 0;
    int volumes = 0;  ///< known here with this key
};

using UsageByKey = std::map<std::uint32_t, KeyUsage>;

/// How long what is known of a key's use counts, in microseconds.
struct UsageMemory {
    Micros ownRate = 0;  ///< time in which a sample of this host's rate loses its weight
    Micros others = 0;   ///< since the others' use was heard of
};

/// Owns the use of every key. References to entries stay valid until the entry is released.
class UsageTable {
public:
    UsageTable(const Context& context, const UsageMemory& memory) : context_(context), memory_(memory) {}

    static std::uint32_t keyOf(const std::string& name) { return std::uint32_t(peer::hashOf(name)); }
    /// The entry of a key, made if there is none.
    KeyUsage& entry(std::uint32_t key) { return entries_[key]; }
    /// The entry of a key, or null.
    KeyUsage* find(std::uint32_t key) {
        const auto it = entries_.find(key);
        return it == entries_.end() ? nullptr : &it->second;
    }
    /// Takes one volume from the key and forgets the key with the last one.
    void releaseVolume(std::uint32_t key) {
        KeyUsage& usage = entries_.at(key);
        if (--usage.volumes == 0 && usage.cell.isNone()) entries_.erase(key);
    }

    /// Counts units that this host is asked for.
    void record(KeyUsage& usage, double units) const {
        usage.demand.add(context_.now, memory_.ownRate, units);
    }
    /// Units a second that this host is asked for.
    [[nodiscard]] double ownRate(const KeyUsage& usage) const {
        return usage.demand.rate(context_.now, memory_.ownRate);
    }
    /// Units a second that the other hosts are asked for; 0 where that is not known.
    [[nodiscard]] double othersRate(const KeyUsage& usage) const {
        return knowsOthers(usage) ? usage.others.rate : 0;
    }
    /// What the others are asked for; where that is not known, each of them as much as this host.
    [[nodiscard]] PeerUsage othersOrAssumed(const KeyUsage& usage) const {
        if (knowsOthers(usage)) return usage.others;
        return PeerUsage{ownRate(usage) * (context_.settings.hostCount - 1)};
    }
    /// This host's part of all that the key is asked for, from 0 to 1; 1 where it is asked for nothing.
    [[nodiscard]] double ownShare(const KeyUsage& usage) const {
        const double own = ownRate(usage);
        const double all = own + othersRate(usage);
        return all > kNegligibleRate ? own / all : 1;
    }

    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] const UsageByKey& entries() const { return entries_; }
    void restore(UsageByKey entries) { entries_ = std::move(entries); }

private:
    [[nodiscard]] bool knowsOthers(const KeyUsage& usage) const {
        return context_.now - usage.others.at < memory_.others;
    }

    const Context& context_;
    UsageMemory memory_;
    UsageByKey entries_;
};

}  // namespace wingproxy
