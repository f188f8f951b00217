/// \file
/// The usage of all volumes and cells that this host knows, by their gossip key.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "policy/context.h"
#include "policy/key_usage.h"
#include "policy/peer_message.h"
#include "policy/slow_start.h"

namespace wingproxy {

/// Usage by key: the low half of the hash of a volume's name, or of a cell's number in decimal.
using UsageByKey = std::map<std::uint32_t, KeyUsage>;

/// How long figures about a key's usage are used, in microseconds.
struct UsageLifetimes {
    Micros ownRate = 0;        ///< time constant of this host's own rate, see `DecayingRate`
    Micros others = 0;         ///< lifetime of a report of the other hosts' usage
    Micros slowStart = 0;      ///< the same, where it sets the allowance for nodes in slow start
    Micros untilComplete = 0;  ///< from the first report until reports cover all hosts
};

/// Owns the usage of every key. A reference to an entry stays valid until its last volume is released.
class UsageTable {
public:
    /// \param context provides the time; must outlive the table
    UsageTable(const Context& context, const UsageLifetimes& lifetimes)
        : context_(context), lifetimes_(lifetimes) {}

    /// The key of a volume's name or a cell's number; it is the same on every host.
    static std::uint32_t keyOf(const std::string& name) { return std::uint32_t(peer::hashOf(name)); }
    /// The entry of a key, created if there is none.
    KeyUsage& entry(std::uint32_t key) { return entries_[key]; }
    /// The entry of a key, or null.
    KeyUsage* find(std::uint32_t key) {
        const auto it = entries_.find(key);
        return it == entries_.end() ? nullptr : &it->second;
    }
    /// Releases one volume of the key. The entry is removed with the last volume unless the key is a cell's.
    void releaseVolume(std::uint32_t key) {
        if (entries_.at(key).removeVolume()) entries_.erase(key);
    }

    /// Counts units requested through this host.
    void record(KeyUsage& usage, double units) const {
        usage.record(units, context_.now, lifetimes_.ownRate);
    }
    /// Demand through this host, in units per second.
    [[nodiscard]] double ownRate(const KeyUsage& usage) const {
        return usage.ownRate(context_.now, lifetimes_.ownRate);
    }
    /// Demand through the other hosts, in units per second; 0 without a recent report.
    [[nodiscard]] double othersRate(const KeyUsage& usage) const {
        return knowsOthers(usage) ? usage.others().rate : 0;
    }
    /// What the other hosts report about a cell with nodes in slow start; nothing if the last report is too
    /// old, or if reports have not come for long enough to cover all hosts.
    [[nodiscard]] std::optional<SlowStartPeers> slowStartPeers(const KeyUsage& usage) const {
        const bool isRecent = context_.now - usage.others().at < lifetimes_.slowStart;
        const bool isComplete = context_.now - usage.othersKnownSince() >= lifetimes_.untilComplete;
        if (!isRecent || !isComplete) return std::nullopt;
        const double own = ownRate(usage);
        const double all = own + usage.peakOthersRate(context_.now, lifetimes_.slowStart);
        return SlowStartPeers{all > kNegligibleRate ? own / all : 1, usage.others().slowStartRate};
    }
    /// This host's fraction of the total demand on the key, from 0 to 1; 1 without any demand.
    [[nodiscard]] double ownShare(const KeyUsage& usage) const {
        const double own = ownRate(usage);
        const double all = own + othersRate(usage);
        return all > kNegligibleRate ? own / all : 1;
    }

    /// Number of keys, for `Policy::tableEntries`.
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    /// All entries, for the snapshot.
    [[nodiscard]] const UsageByKey& entries() const { return entries_; }
    /// Restores the entries of a predecessor process, before any table that refers to them is restored.
    void restore(UsageByKey entries) { entries_ = std::move(entries); }

private:
    [[nodiscard]] bool knowsOthers(const KeyUsage& usage) const {
        return context_.now - usage.others().at < lifetimes_.others;
    }

    const Context& context_;
    UsageLifetimes lifetimes_;
    UsageByKey entries_;
};

}  // namespace wingproxy
