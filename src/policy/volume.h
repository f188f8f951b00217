/// \file
/// A volume as this host knows it, with the records of its leases and of its quota.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "policy/context.h"
#include "policy/decaying_rate.h"
#include "policy/key_usage.h"
#include "policy/token_bucket.h"

namespace wingproxy {

/// Chunks of this host that a peer holds.
struct GrantedLease {
    HostIndex peer;
    int chunks = 0;
    Micros until = 0;         ///< by this host's clock, from the grant
    std::uint32_t stamp = 0;  ///< of the peer's request
};

/// Chunks of a peer that this host holds.
struct HeldLease {
    int chunks = 0;
    Micros until = 0;         ///< by this host's clock, from its request
    std::uint32_t stamp = 0;  ///< of the last request
    bool requested = false;   ///< and not answered yet
    Micros requestedAt = 0;

    /// Whether it gives this host chunks.
    [[nodiscard]] bool isRunning(Micros now) const { return chunks > 0 && until > now; }
    /// Whether the answer to a request is still to be expected.
    [[nodiscard]] bool isAwaited(Micros now, Micros timeout) const {
        return requested && now - requestedAt < timeout;
    }
    /// Chunks were requested of the peer.
    void onRequested(std::uint32_t requestStamp, Micros now) {
        stamp = requestStamp;
        requested = true;
        requestedAt = now;
    }
    /// The last request was answered.
    /// \param duration of the lease, from its request
    void onGranted(int grantedChunks, Micros duration) {
        requested = false;
        chunks = grantedChunks;
        until = requestedAt + duration;
    }
    /// Gives back all but so many chunks; an answer that is on its way counts no more.
    void reduceTo(int keptChunks) {
        chunks = keptChunks;
        requested = false;
    }
};

/// The part of a volume's limit that this host may spend: a base of its own, and chunks. `LeaseAllocator`
/// cuts and moves the chunks; here are only their records and the bucket that they fill. Rates are in units a
/// second.
struct VolumeLimit {
    bool limited = false;  ///< false: the plan has no limit, and nothing else here counts
    double baseRate = 0;
    double baseBurst = 0;  ///< units
    double chunkRate = 0;
    double chunkBurst = 0;  ///< units
    int ownedChunks = 0;    ///< that belong to this host
    TokenBucket bucket;
    double queuedUnits = 0;  ///< of requests that wait here without tokens
    std::vector<GrantedLease> granted;
    std::map<HostIndex, HeldLease> held;  ///< by the peer whose chunks they are
    HostIndex lastPeerAsked;              ///< the next request goes to the peer after it
    Micros lastRequestAt = kNever;

    /// Chunks granted to peers, but for one peer's: of each the largest grant still running at the last
    /// refill, so that a chunk never fills two buckets for the same time.
    [[nodiscard]] int chunksGranted(HostIndex exceptPeer = HostIndex()) const {
        std::map<HostIndex, int> largest;
        for (const GrantedLease& lease : granted)
            if (lease.until > bucket.at && lease.peer != exceptPeer)
                largest[lease.peer] = std::max(largest[lease.peer], lease.chunks);
        int sum = 0;
        for (const auto& [peer, chunks] : largest)
            sum += chunks;
        return sum;
    }
    /// Chunks that fill the bucket: those of this host that no peer has, and those that it holds of peers.
    /// \param mayUseOwned whether this host may spend its own chunks
    [[nodiscard]] int chunksInUse(bool mayUseOwned, Micros now) const {
        int chunks = mayUseOwned ? std::max(0, ownedChunks - chunksGranted()) : 0;
        for (const auto& [peer, lease] : held)
            if (lease.until > now) chunks += lease.chunks;
        return chunks;
    }
    /// Rate of a claim of so many chunks.
    [[nodiscard]] double rateOf(int chunks) const { return baseRate + chunks * chunkRate; }
    /// Capacity of the bucket that goes with it.
    [[nodiscard]] double burstOf(int chunks) const { return baseBurst + chunks * chunkBurst; }
    /// The lease that a peer's answer to the request `stamp` belongs to, or null.
    [[nodiscard]] HeldLease* findRequested(HostIndex peer, std::uint32_t stamp) {
        const auto entry = held.find(peer);
        if (entry == held.end() || !entry->second.requested || entry->second.stamp != stamp) return nullptr;
        return &entry->second;
    }
    /// A peer keeps only so many of the chunks granted up to its request `stamp`.
    void onReturned(HostIndex peer, int chunks, std::uint32_t stamp) {
        for (GrantedLease& lease : granted)
            if (lease.peer == peer && std::int32_t(stamp - lease.stamp) >= 0)
                lease.chunks = std::min(lease.chunks, chunks);
    }
    /// Forgets grants that are over.
    void dropExpiredGrants(Micros now) {
        std::erase_if(granted, [&](const GrantedLease& lease) { return lease.until <= now; });
    }
    /// Units that wait beyond the tokens that there are.
    [[nodiscard]] double backlog() const { return std::max(0.0, queuedUnits - bucket.tokens); }
    /// The tokens that so many of the chunks in use have saved up.
    [[nodiscard]] double tokensOf(int chunks, int chunksUsed) const {
        return bucket.tokens * std::min(1.0, chunks * chunkBurst / burstOf(chunksUsed));
    }
    /// Takes the tokens of queued requests from the bucket, or a part of all if that is more.
    double reserve(double part) {
        const double wanted = std::max(queuedUnits, part * bucket.tokens);
        const double taken = std::clamp(wanted, 0.0, std::max(0.0, bucket.tokens));
        bucket.tokens -= taken;
        return taken;
    }
    /// Leaves these tokens, which do not grow any more, and no chunks.
    void keepOnly(double tokens) {
        bucket.tokens = tokens;
        baseBurst = tokens;
        baseRate = 0;
        chunkRate = 0;
        chunkBurst = 0;
        granted.clear();
        held.clear();
    }
};

/// A volume's use of one cell through this host, and what of its weighted share is left there.
struct CellQuota {
    DecayingRate demand;
    TokenBucket share;
};

/// What is left of a volume's guaranteed rate and shares; `Admission` fills and spends it.
struct VolumeQuota {
    std::map<CellIndex, CellQuota> byCell;
    std::vector<DecayingRate> demandByClass;
    TokenBucket guaranteed;
};

/// A volume that was asked for here, or by a peer, not long ago. Owned by `VolumeTable`.
class Volume {
public:
    /// All that it knows but for its entry in the usage table; for the snapshot.
    struct State {
        std::uint64_t hash = 0;
        PlanIndex plan;
        int hosts = 1;
        Micros neededAt = 0;
        DecayingRate demand;
        VolumeLimit limit;
        VolumeQuota quota;
    };
    /// Only for containers that are being read from a snapshot.
    Volume() = default;
    /// A volume that is asked for the first time.
    /// \param hash of its name; the low half is its key in gossip
    /// \param plan none: its name is unknown, and requests for it have neither limit nor quota
    /// \param hosts that serve it, this one included
    Volume(std::uint64_t hash, PlanIndex plan, int hosts, KeyUsage& usage)
        : hash_(hash), plan_(plan), hosts_(hosts), usage_(&usage) {}
    /// Takes over what a predecessor process knew; `attach` must follow.
    explicit Volume(State state)
        : hash_(state.hash),
          plan_(state.plan),
          hosts_(state.hosts),
          neededAt_(state.neededAt),
          demand_(state.demand),
          limit_(std::move(state.limit)),
          quota_(std::move(state.quota)) {}
    /// Sets its entry in the usage table, which must outlive it.
    void attach(KeyUsage& usage) { usage_ = &usage; }

    /// Hash of its name, by which leases name it.
    [[nodiscard]] std::uint64_t hash() const { return hash_; }
    /// Its key in gossip and in `UsageTable`.
    [[nodiscard]] std::uint32_t key() const { return static_cast<std::uint32_t>(hash_); }
    /// None: unknown.
    [[nodiscard]] PlanIndex plan() const { return plan_; }
    /// Hosts that serve it, at least 1.
    [[nodiscard]] int hosts() const { return hosts_; }
    /// What it is asked for, here and at the other hosts.
    [[nodiscard]] KeyUsage& usage() const { return *usage_; }

    /// Counts units that this host is asked for.
    void recordDemand(double units, Micros now) { demand_.add(now, kRateMemory, units); }
    /// Units a second that this host is asked for.
    [[nodiscard]] double demandRate(Micros now) const { return demand_.rate(now, kRateMemory); }
    /// A request or a peer needs it: it is kept for a while from now on.
    void onNeeded(Micros now) { neededAt_ = now; }
    /// When it was needed last.
    [[nodiscard]] Micros neededAt() const { return neededAt_; }

    /// This host's part of its limit, which `LeaseAllocator` alone changes.
    [[nodiscard]] VolumeLimit& limit() { return limit_; }
    /// As above, to read.
    [[nodiscard]] const VolumeLimit& limit() const { return limit_; }
    /// What is left of its guaranteed rate and shares, which `Admission` alone changes.
    [[nodiscard]] VolumeQuota& quota() { return quota_; }

    /// For the snapshot.
    [[nodiscard]] State state() const { return {hash_, plan_, hosts_, neededAt_, demand_, limit_, quota_}; }

private:
    std::uint64_t hash_ = 0;
    PlanIndex plan_;
    int hosts_ = 1;
    Micros neededAt_ = 0;
    DecayingRate demand_;
    KeyUsage* usage_ = nullptr;  // owned by UsageTable
    VolumeLimit limit_;
    VolumeQuota quota_;
};

}  // namespace wingproxy
