/// \file
/// The use of all volumes and cells that this host knows, by the key that gossip gives them.
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

/// A key is the low half of the hash of a volume's name, or of a cell's number in decimal.
using UsageByKey = std::map<std::uint32_t, KeyUsage>;

/// How long what is known of a key's use counts, in microseconds.
struct UsageLifetimes {
    Micros ownRate = 0;        ///< time in which a sample of this host's rate loses its weight
    Micros others = 0;         ///< since the others' use was last reported
    Micros slowStart = 0;      ///< the same, for the budgets of nodes in slow start
    Micros untilComplete = 0;  ///< from the first report until reports cover all hosts
};

/// Owns the use of every key. References to entries stay valid until the entry is released.
class UsageTable {
public:
    /// \param context gives the time; must outlive the table
    UsageTable(const Context& context, const UsageLifetimes& lifetimes)
        : context_(context), lifetimes_(lifetimes) {}

    /// The key of a volume's name or a cell's number: the same on every host.
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
        if (entries_.at(key).removeVolume()) entries_.erase(key);
    }

    /// Counts units that this host is asked for.
    void record(KeyUsage& usage, double units) const {
        usage.record(units, context_.now, lifetimes_.ownRate);
    }
    /// Units a second that this host is asked for.
    [[nodiscard]] double ownRate(const KeyUsage& usage) const {
        return usage.ownRate(context_.now, lifetimes_.ownRate);
    }
    /// Units a second that the other hosts are asked for; 0 where that is not known.
    [[nodiscard]] double othersRate(const KeyUsage& usage) const {
        return knowsOthers(usage) ? usage.others().rate : 0;
    }
    /// What the others say of a cell with nodes in slow start; nothing where that is old, or too new to be
    /// complete.
    [[nodiscard]] std::optional<SlowStartPeers> slowStartPeers(const KeyUsage& usage) const {
        const bool isRecent = context_.now - usage.others().at < lifetimes_.slowStart;
        const bool isComplete = context_.now - usage.othersKnownSince() >= lifetimes_.untilComplete;
        if (!isRecent || !isComplete) return std::nullopt;
        const double own = ownRate(usage);
        const double all = own + usage.peakOthersRate(context_.now, lifetimes_.slowStart);
        return SlowStartPeers{all > kNegligibleRate ? own / all : 1, usage.others().slowStartRate};
    }
    /// This host's part of all that the key is asked for, from 0 to 1; 1 where it is asked for nothing.
    [[nodiscard]] double ownShare(const KeyUsage& usage) const {
        const double own = ownRate(usage);
        const double all = own + othersRate(usage);
        return all > kNegligibleRate ? own / all : 1;
    }

    /// Number of keys, for `Policy::tableEntries`.
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    /// All entries, for the snapshot.
    [[nodiscard]] const UsageByKey& entries() const { return entries_; }
    /// Takes over a predecessor's entries, before any table that refers to them is restored.
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
