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
/// divides the limit and moves the chunks; here are their records and the bucket that they fill.
class VolumeLimit {
public:
    /// This host's part of the limit, by its plan. Rates are units a second, bursts are units.
    struct Shares {
        double baseRate = 0;
        double baseBurst = 0;
        double chunkRate = 0;  ///< of one chunk; 0: chunks add nothing, and none is leased
        double chunkBurst = 0;
        int ownedChunks = 0;  ///< that belong to this host
    };
    /// All that it knows but for the requests that wait, which belong to one process; for the snapshot.
    struct State {
        bool limited = false;
        Shares shares;
        TokenBucket bucket;
        std::vector<GrantedLease> granted;
        std::map<HostIndex, HeldLease> held;
        HostIndex lastPeerAsked;
        Micros lastRequestAt = kNever;
    };
    VolumeLimit() = default;
    /// Takes over what a predecessor process knew.
    explicit VolumeLimit(State state) : state_(std::move(state)) {}

    /// Whether the plan has a limit; if not, nothing else here counts.
    [[nodiscard]] bool isLimited() const { return state_.limited; }
    /// Sets this host's part; the volume is limited from now on.
    void setShares(const Shares& shares) {
        state_.limited = true;
        state_.shares = shares;
    }
    /// This host's part of the limit.
    [[nodiscard]] const Shares& shares() const { return state_.shares; }

    // -- tokens, one for each unit of work
    /// The bucket is empty at this time and fills from there.
    void startFilling(Micros at) { state_.bucket.at = at; }
    /// Brings the bucket up to date.
    /// \param chunks that fill it, see `chunksInUse`
    void refill(int chunks, Micros now) { state_.bucket.refill(rateOf(chunks), burstOf(chunks), now); }
    /// Tokens as of the last refill; below 0 where a burst passed the limit.
    [[nodiscard]] double tokens() const { return state_.bucket.tokens; }
    /// Takes the tokens of a request that is sent; does nothing if there is no limit.
    void spend(double units) {
        if (state_.limited) state_.bucket.tokens -= units;
    }
    /// A peer granted chunks with the tokens that they had saved up.
    void addTokens(double units) { state_.bucket.tokens += units; }
    /// Units a second that the base and so many chunks bring.
    [[nodiscard]] double rateOf(int chunks) const {
        return state_.shares.baseRate + chunks * state_.shares.chunkRate;
    }
    /// Capacity of the bucket that goes with it, in units.
    [[nodiscard]] double burstOf(int chunks) const {
        return state_.shares.baseBurst + chunks * state_.shares.chunkBurst;
    }
    /// The tokens that so many of the chunks in use have saved up.
    [[nodiscard]] double tokensOf(int chunks, int chunksUsed) const {
        return tokens() * std::min(1.0, chunks * state_.shares.chunkBurst / burstOf(chunksUsed));
    }

    // -- requests that wait without tokens
    /// Units that wait: a demand beyond what arrives.
    void addQueuedUnits(double units) { queuedUnits_ += units; }
    /// These units wait no more, or have their tokens.
    void removeQueuedUnits(double units) { queuedUnits_ = std::max(0.0, queuedUnits_ - units); }
    /// Units that wait beyond the tokens that there are.
    [[nodiscard]] double backlog() const { return std::max(0.0, queuedUnits_ - tokens()); }

    // -- chunks
    /// Chunks that fill the bucket: those of this host that no peer has, and those that it holds of peers.
    /// \param mayUseOwned whether this host may spend its own chunks
    [[nodiscard]] int chunksInUse(bool mayUseOwned, Micros now) const {
        int chunks = mayUseOwned ? std::max(0, state_.shares.ownedChunks - chunksGranted()) : 0;
        for (const auto& [peer, lease] : state_.held)
            if (lease.until > now) chunks += lease.chunks;
        return chunks;
    }
    /// Chunks granted to peers, but for one peer's: of each the largest grant still running at the last
    /// refill, so that a chunk never fills two buckets for the same time.
    [[nodiscard]] int chunksGranted(HostIndex exceptPeer = HostIndex()) const {
        std::map<HostIndex, int> largest;
        for (const GrantedLease& lease : state_.granted)
            if (lease.until > state_.bucket.at && lease.peer != exceptPeer)
                largest[lease.peer] = std::max(largest[lease.peer], lease.chunks);
        int sum = 0;
        for (const auto& [peer, chunks] : largest)
            sum += chunks;
        return sum;
    }
    /// A peer was granted chunks.
    void addGrant(const GrantedLease& lease) { state_.granted.push_back(lease); }
    /// A peer keeps only so many of the chunks granted up to its request `stamp`.
    void onReturned(HostIndex peer, int chunks, std::uint32_t stamp) {
        for (GrantedLease& lease : state_.granted)
            if (lease.peer == peer && std::int32_t(stamp - lease.stamp) >= 0)
                lease.chunks = std::min(lease.chunks, chunks);
    }
    /// Forgets grants that are over.
    void dropExpiredGrants(Micros now) {
        std::erase_if(state_.granted, [&](const GrantedLease& lease) { return lease.until <= now; });
    }
    /// All grants that are not forgotten.
    [[nodiscard]] const std::vector<GrantedLease>& grants() const { return state_.granted; }

    /// The lease on chunks of a peer, made if there is none.
    [[nodiscard]] HeldLease& leaseOf(HostIndex peer) { return state_.held[peer]; }
    /// All leases on chunks of peers, by the peer.
    [[nodiscard]] std::map<HostIndex, HeldLease>& held() { return state_.held; }
    /// As above, to read.
    [[nodiscard]] const std::map<HostIndex, HeldLease>& held() const { return state_.held; }
    /// The lease that a peer's answer to the request `stamp` belongs to, or null.
    [[nodiscard]] HeldLease* findRequested(HostIndex peer, std::uint32_t stamp) {
        const auto entry = state_.held.find(peer);
        if (entry == state_.held.end()) return nullptr;
        HeldLease& lease = entry->second;
        return lease.requested && lease.stamp == stamp ? &lease : nullptr;
    }
    /// A peer's new process knows of no lease.
    void dropLease(HostIndex peer) { state_.held.erase(peer); }
    /// Chunks were requested of a peer.
    void onRequestSent(HostIndex peer, Micros now) {
        state_.lastPeerAsked = peer;
        state_.lastRequestAt = now;
    }
    /// The next request goes to the peer after it.
    [[nodiscard]] HostIndex lastPeerAsked() const { return state_.lastPeerAsked; }
    /// When any peer was last requested for chunks.
    [[nodiscard]] Micros lastRequestAt() const { return state_.lastRequestAt; }

    // -- hot restart
    /// Takes the tokens of queued requests from the bucket, or a part of all if that is more.
    double reserve(double part) {
        const double wanted = std::max(queuedUnits_, part * tokens());
        const double taken = std::clamp(wanted, 0.0, std::max(0.0, tokens()));
        state_.bucket.tokens -= taken;
        return taken;
    }
    /// Leaves these tokens, which do not grow any more, and no chunks.
    void keepOnly(double tokens) {
        state_.bucket.tokens = tokens;
        state_.shares = {0, tokens, 0, 0, state_.shares.ownedChunks};
        state_.granted.clear();
        state_.held.clear();
    }
    /// For the snapshot.
    [[nodiscard]] const State& state() const { return state_; }

private:
    State state_;
    double queuedUnits_ = 0;  // of requests that wait here without tokens
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
        VolumeLimit::State limit;
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
    [[nodiscard]] State state() const {
        return {hash_, plan_, hosts_, neededAt_, demand_, limit_.state(), quota_};
    }

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
