/// \file
/// A volume's state at this host: its limit with the leases of chunks, and its quota.
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

/// A lease that this host granted: chunks of its own that a peer holds.
struct GrantedLease {
    HostIndex peer;
    int chunks = 0;
    Micros until = 0;         ///< expiry by this host's clock, counted from the grant
    std::uint32_t stamp = 0;  ///< of the peer's request
};

/// A lease that a peer granted: chunks of the peer that this host holds.
struct HeldLease {
    int chunks = 0;
    Micros until = 0;         ///< expiry by this host's clock, counted from its request
    std::uint32_t stamp = 0;  ///< of the last request
    bool requested = false;   ///< the last request is not answered yet
    Micros requestedAt = 0;

    /// Whether it has chunks and has not expired.
    [[nodiscard]] bool isActive(Micros now) const { return chunks > 0 && until > now; }
    /// Whether a request is unanswered and has not timed out.
    [[nodiscard]] bool isAnswerPending(Micros now, Micros timeout) const {
        return requested && now - requestedAt < timeout;
    }
    /// Chunks were requested of the peer.
    void onRequested(std::uint32_t requestStamp, Micros now) {
        stamp = requestStamp;
        requested = true;
        requestedAt = now;
    }
    /// The last request was answered.
    /// \param duration of the lease, counted from the request
    void onGranted(int grantedChunks, Micros duration) {
        requested = false;
        chunks = grantedChunks;
        until = requestedAt + duration;
    }
    /// Keeps only `keptChunks`; an outstanding answer will be ignored.
    void reduceTo(int keptChunks) {
        chunks = keptChunks;
        requested = false;
    }
};

/// The part of a volume's limit that this host may spend: a fixed base, and chunks. Holds the leases and the
/// token bucket that base and chunks fill; `LeaseAllocator` divides the limit and moves the chunks.
class VolumeLimit {
public:
    /// This host's part of the limit, derived from the plan. Rates are units per second, bursts are units.
    struct Shares {
        double baseRate = 0;
        double baseBurst = 0;
        double chunkRate = 0;  ///< of one chunk; 0: chunks are worth nothing and are not leased
        double chunkBurst = 0;
        int ownedChunks = 0;  ///< chunks that belong to this host, leased to peers or not
    };
    /// All state except the units of queued requests, which belong to one process; for the snapshot.
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
    /// Restores the state of a predecessor process.
    explicit VolumeLimit(State state) : state_(std::move(state)) {}

    /// Whether the plan has a limit; if not, the rest of this object is unused.
    [[nodiscard]] bool isLimited() const { return state_.limited; }
    /// Sets this host's part; the volume is limited from now on.
    void setShares(const Shares& shares) {
        state_.limited = true;
        state_.shares = shares;
    }
    /// This host's part of the limit.
    [[nodiscard]] const Shares& shares() const { return state_.shares; }

    // -- tokens, one per unit of work
    /// Sets the time from which the bucket fills.
    void startFilling(Micros at) { state_.bucket.at = at; }
    /// Adds the tokens accrued since the last refill.
    /// \param chunks that fill the bucket, see `chunksInUse`
    void refill(int chunks, Micros now) { state_.bucket.refill(rateOf(chunks), burstOf(chunks), now); }
    /// Tokens as of the last refill; negative if a burst exceeded the limit.
    [[nodiscard]] double tokens() const { return state_.bucket.tokens; }
    /// Takes the tokens of a request that is sent; no effect without a limit.
    void spend(double units) {
        if (state_.limited) state_.bucket.tokens -= units;
    }
    /// Adds the tokens that came with the chunks of a peer's grant.
    void addTokens(double units) { state_.bucket.tokens += units; }
    /// Rate of the base and `chunks` chunks, in units per second.
    [[nodiscard]] double rateOf(int chunks) const {
        return state_.shares.baseRate + chunks * state_.shares.chunkRate;
    }
    /// Bucket capacity for the base and `chunks` chunks, in units.
    [[nodiscard]] double burstOf(int chunks) const {
        return state_.shares.baseBurst + chunks * state_.shares.chunkBurst;
    }
    /// The part of the tokens that `chunks` of the `chunksUsed` chunks in use have accrued.
    [[nodiscard]] double tokensOf(int chunks, int chunksUsed) const {
        return tokens() * std::min(1.0, chunks * state_.shares.chunkBurst / burstOf(chunksUsed));
    }

    // -- requests queued without tokens
    /// Adds units of requests that are queued without tokens.
    void addQueuedUnits(double units) { queuedUnits_ += units; }
    /// Removes units whose requests have left the queue or got their tokens.
    void removeQueuedUnits(double units) { queuedUnits_ = std::max(0.0, queuedUnits_ - units); }
    /// Queued units that exceed the available tokens.
    [[nodiscard]] double backlog() const { return std::max(0.0, queuedUnits_ - tokens()); }

    // -- chunks
    /// Chunks that fill the bucket: owned ones that are not leased out, and those leased from peers.
    /// \param mayUseOwned whether this host may spend its own chunks
    [[nodiscard]] int chunksInUse(bool mayUseOwned, Micros now) const {
        int chunks = mayUseOwned ? std::max(0, state_.shares.ownedChunks - chunksGranted()) : 0;
        for (const auto& [peer, lease] : state_.held)
            if (lease.until > now) chunks += lease.chunks;
        return chunks;
    }
    /// Chunks granted to peers other than `exceptPeer`: for each peer the largest grant that had not expired
    /// at the last refill, so that no chunk fills two buckets for the same period.
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
    /// Records a grant to a peer.
    void addGrant(const GrantedLease& lease) { state_.granted.push_back(lease); }
    /// A peer keeps at most `chunks` of the chunks granted for its requests up to `stamp`.
    void onReturned(HostIndex peer, int chunks, std::uint32_t stamp) {
        for (GrantedLease& lease : state_.granted)
            if (lease.peer == peer && std::int32_t(stamp - lease.stamp) >= 0)
                lease.chunks = std::min(lease.chunks, chunks);
    }
    /// Removes expired grants.
    void dropExpiredGrants(Micros now) {
        std::erase_if(state_.granted, [&](const GrantedLease& lease) { return lease.until <= now; });
    }
    /// All grants that have not been removed.
    [[nodiscard]] const std::vector<GrantedLease>& grants() const { return state_.granted; }

    /// The lease on chunks of a peer, created if there is none.
    [[nodiscard]] HeldLease& leaseOf(HostIndex peer) { return state_.held[peer]; }
    /// All leases on chunks of peers, by peer.
    [[nodiscard]] std::map<HostIndex, HeldLease>& held() { return state_.held; }
    /// Const overload of the above.
    [[nodiscard]] const std::map<HostIndex, HeldLease>& held() const { return state_.held; }
    /// The lease that waits for a peer's answer to the request `stamp`, or null.
    [[nodiscard]] HeldLease* findRequested(HostIndex peer, std::uint32_t stamp) {
        const auto entry = state_.held.find(peer);
        if (entry == state_.held.end()) return nullptr;
        HeldLease& lease = entry->second;
        return lease.requested && lease.stamp == stamp ? &lease : nullptr;
    }
    /// Whether a peer may hold chunks of this host.
    [[nodiscard]] bool hasGrants(Micros now) const {
        return std::any_of(state_.granted.begin(), state_.granted.end(),
                           [&](const GrantedLease& lease) { return lease.until > now; });
    }
    /// Drops the lease of a peer that restarted and no longer knows of it.
    void dropLease(HostIndex peer) { state_.held.erase(peer); }
    /// Chunks were requested of a peer: sets `lastPeerAsked` and `lastRequestAt`.
    void onRequestSent(HostIndex peer, Micros now) {
        state_.lastPeerAsked = peer;
        state_.lastRequestAt = now;
    }
    /// The peer of the last request; the next request goes to the peer after it.
    [[nodiscard]] HostIndex lastPeerAsked() const { return state_.lastPeerAsked; }
    /// When chunks were last requested of any peer.
    [[nodiscard]] Micros lastRequestAt() const { return state_.lastRequestAt; }

    // -- hot restart
    /// Takes from the bucket the tokens of queued requests, or `fraction` of all tokens if that is more.
    /// \return the tokens taken, at most those in the bucket
    double reserve(double fraction) {
        const double wanted = std::max(queuedUnits_, fraction * tokens());
        const double taken = std::clamp(wanted, 0.0, std::max(0.0, tokens()));
        state_.bucket.tokens -= taken;
        return taken;
    }
    /// Sets the tokens, stops the bucket from filling, and drops all leases.
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
    double queuedUnits_ = 0;  // of requests queued without tokens
};

/// A volume's demand on one cell through this host, and the bucket of its weighted share there.
struct CellQuota {
    DecayingRate demand;
    TokenBucket share;
};

/// The token buckets of a volume's guaranteed rate and shares, filled and spent by `Admission`.
struct VolumeQuota {
    std::map<CellIndex, CellQuota> byCell;
    std::vector<DecayingRate> demandByClass;
    TokenBucket guaranteed;
};

/// A volume with recent client requests or recent lease requests of peers. Owned by `VolumeTable`.
class Volume {
public:
    /// All state except the entry in the usage table; for the snapshot.
    struct State {
        std::uint64_t hash = 0;
        PlanIndex plan;
        int hosts = 1;
        Micros neededAt = 0;
        DecayingRate demand;
        VolumeLimit::State limit;
        VolumeQuota quota;
    };
    /// Only for containers that are filled from a snapshot.
    Volume() = default;
    /// A volume that is requested for the first time.
    /// \param hash of its name; the low half is its key in gossip
    /// \param plan none: unknown, and requests for the volume have neither limit nor quota
    /// \param hosts number of hosts that serve it, this one included
    Volume(std::uint64_t hash, PlanIndex plan, int hosts, KeyUsage& usage)
        : hash_(hash), plan_(plan), hosts_(hosts), usage_(&usage) {}
    /// Restores the state of a predecessor process; `attach` must follow.
    explicit Volume(State state)
        : hash_(state.hash),
          plan_(state.plan),
          hosts_(state.hosts),
          neededAt_(state.neededAt),
          demand_(state.demand),
          limit_(std::move(state.limit)),
          quota_(std::move(state.quota)) {}
    /// Sets its entry in the usage table, which must outlive the volume.
    void attach(KeyUsage& usage) { usage_ = &usage; }

    /// Hash of its name, which identifies it in lease messages.
    [[nodiscard]] std::uint64_t hash() const { return hash_; }
    /// Its key in gossip and in `UsageTable`.
    [[nodiscard]] std::uint32_t key() const { return static_cast<std::uint32_t>(hash_); }
    /// Its service plan; none: unknown.
    [[nodiscard]] PlanIndex plan() const { return plan_; }
    /// Number of hosts that serve it, at least 1.
    [[nodiscard]] int hosts() const { return hosts_; }
    /// Its demand at this host and at the others, as gossip reports it.
    [[nodiscard]] KeyUsage& usage() const { return *usage_; }

    /// Counts units requested through this host.
    void recordDemand(double units, Micros now) { demand_.add(now, kRateTimeConstant, units); }
    /// Demand through this host, in units per second.
    [[nodiscard]] double demandRate(Micros now) const { return demand_.rate(now, kRateTimeConstant); }
    /// A client request or a peer's lease request needs it; see `VolumeTable::forgetUnneeded`.
    void onNeeded(Micros now) { neededAt_ = now; }
    /// When it was last needed.
    [[nodiscard]] Micros neededAt() const { return neededAt_; }

    /// This host's part of its limit, which `LeaseAllocator` alone changes.
    [[nodiscard]] VolumeLimit& limit() { return limit_; }
    /// Const overload of the above.
    [[nodiscard]] const VolumeLimit& limit() const { return limit_; }
    /// The buckets of its guaranteed rate and shares, which `Admission` alone changes.
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
