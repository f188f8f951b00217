/// \file
/// Splits a volume's limit into chunks and leases them between the hosts that serve it (docs/design.md).
///
/// Each host has a base rate and owns a number of chunks. It may spend both, except the chunks that it has
/// leased to peers. The sum over all hosts never exceeds the limit, whichever messages are lost: the owner
/// grants a chunk to one peer at a time, and the lease expires at the borrower first, because the borrower
/// counts its duration from the request and the owner from the grant.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "policy/peer_outbox.h"
#include "policy/volume_table.h"

namespace wingproxy {

/// Manages the limits of the volumes in a `VolumeTable` and the leases of chunks.
class LeaseAllocator {
public:
    /// \param recovery tells when all leases granted by an earlier process of this host have expired
    /// \param usage tells which peers may hold chunks, and their demand
    /// \param outbox takes the messages to peers; all five must outlive the object
    LeaseAllocator(const Context& context, const fleet::RestartRecovery& recovery, UsageTable& usage,
                   VolumeTable& volumes, PeerOutbox& outbox);

    /// Maximum duration of a lease, in microseconds.
    static Micros leaseDuration();

    // -- limits
    /// Initializes the limit of a volume that was just added to the table.
    void open(Volume& volume);
    /// Whether the volume may spend `units` now. Refills its bucket first.
    [[nodiscard]] bool hasTokens(Volume& volume, double units) {
        if (!volume.limit().isLimited()) return true;
        refill(volume);
        return volume.limit().tokens() >= units;
    }
    /// Takes the tokens of a request that is sent. `hasTokens` must have returned true for it in this batch.
    static void spend(Volume& volume, double units) { volume.limit().spend(units); }
    /// Adds units of requests that are queued without tokens. They count as demand on top of the arrival
    /// rate.
    static void addQueuedUnits(Volume& volume, double units) { volume.limit().addQueuedUnits(units); }
    /// Removes units whose requests have left the queue or got their tokens.
    static void removeQueuedUnits(Volume& volume, double units) { volume.limit().removeQueuedUnits(units); }
    /// Estimated microseconds until the volume has tokens for `units`. While a request for chunks is
    /// unanswered, the bucket is assumed to fill at least at the rate that the other hosts leave of the
    /// limit.
    [[nodiscard]] double timeToTokens(const Volume& volume, double units) const;

    // -- leases
    /// Requests chunks if the demand exceeds the rate that this host may spend now, and returns chunks if it
    /// has fallen below.
    void rebalance(Volume& volume);
    /// Rebalances all volumes.
    void rebalanceAll() {
        for (auto& [name, volume] : volumes_.all())
            rebalance(volume);
    }
    /// Called for each client request. Adds to the byte budget for lease requests, so that the traffic
    /// between hosts stays proportional to the load.
    void addRequestBudget();
    /// Stores a peer's lease request until the end of the batch, see `serveRequests`.
    void onRequest(HostIndex from, const peer::LeaseRequest& request) {
        requests_.push_back({from, request});
    }
    /// Answers the stored lease requests in the order of host numbers, granting chunks that this host does
    /// not need itself.
    void serveRequests();
    /// A peer answered a lease request. Only an answer to the latest request to that peer is used.
    /// \return whether a client request that waits for tokens may now be sent
    bool onGrant(HostIndex from, const peer::LeaseGrant& grant);
    /// A peer returned some of the chunks that this host granted to it.
    void onReturn(HostIndex from, const peer::LeaseReturn& returned) {
        Volume* const volume = volumes_.find(returned.volume);
        if (!volume) return;
        refill(*volume);
        volume->limit().onReturned(from, returned.chunks, returned.stamp);
        refill(*volume);
    }
    /// A peer restarted: its new process does not know the leases that it granted, so this host drops them.
    void onPeerRestarted(HostIndex peer) {
        for (auto& [name, volume] : volumes_.all()) {
            refill(volume);
            volume.limit().dropLease(peer);
        }
    }

    // -- restart and hot restart
    /// Starts to spend this host's own chunks once no lease of an earlier process is outstanding.
    void useOwnedChunksOnceRecovered() {
        if (state_.recoveredAt <= context_.now || !recovery_.isRecovered(context_.now)) return;
        for (auto& [name, volume] : volumes_.all())
            refill(volume);  // up to now without the owned chunks
        state_.recoveredAt = context_.now;
    }
    /// Takes from each volume's bucket the tokens that open requests may still need; the rest goes to the
    /// successor process. Must be called before the snapshot is taken.
    /// \return the reserved units of each volume
    std::map<Volume*, double> reserveForOpenRequests();
    /// After the snapshot: leaves this process only the reserved units, and no chunks.
    static void keepOnly(const std::map<Volume*, double>& reserved) {
        for (const auto& [volume, units] : reserved)
            volume->limit().keepOnly(units);
    }

    /// State outside the volumes, for the snapshot.
    struct State {
        Micros recoveredAt = -kNever;  ///< from then on this host spends its own chunks
        double requestBudget = 0;      ///< bytes of lease requests that may still be sent
    };
    /// For the snapshot.
    [[nodiscard]] const State& state() const { return state_; }
    /// Restores the state of a predecessor process; the volumes must be restored first.
    void restore(const State& state) { state_ = state; }

private:
    /// A peer's lease request that arrived in this batch.
    struct ReceivedRequest {
        HostIndex from;
        peer::LeaseRequest request;
    };
    // At every host the base and the owned chunks add up to limit / hosts, in rate and in burst, so that the
    // total equals the limit without any message.
    static VolumeLimit::Shares splitIntoChunks(const PlanInfo& plan, int hosts);
    void refill(Volume& volume) const {
        VolumeLimit& limit = volume.limit();
        if (limit.isLimited()) limit.refill(chunksInUse(volume), context_.now);
    }
    [[nodiscard]] bool mayUseOwnedChunks(const Volume& volume) const {
        return state_.recoveredAt <= context_.now || volume.hosts() == 1;
    }
    [[nodiscard]] int chunksInUse(const Volume& volume) const {
        return volume.limit().chunksInUse(mayUseOwnedChunks(volume), context_.now);
    }
    [[nodiscard]] double demandOf(const Volume& volume) const;
    bool returnIdleChunks(Volume& volume, double surplus);
    void requestChunks(Volume& volume, int missing);
    // Returns how many further chunks the peer is expected to grant.
    int requestFrom(Volume& volume, HostIndex peer, int missing);
    void serve(const ReceivedRequest& received);
    [[nodiscard]] int grantable(const Volume& volume, HostIndex peer, int wanted) const;
    // Takes the tokens that newly granted chunks have accrued. They are sent with the grant, so that the busy
    // host can use the burst.
    peer::FixedPoint takeAccruedTokens(Volume& volume, int newChunks) const;
    // The time in milliseconds; the lowest bit is set, so that it is never 0.
    [[nodiscard]] std::uint32_t newStamp() const { return std::uint32_t(context_.now / 1000) | 1u; }

    const Context& context_;
    const fleet::RestartRecovery& recovery_;
    UsageTable& usage_;
    VolumeTable& volumes_;
    PeerOutbox& outbox_;
    State state_;
    std::vector<ReceivedRequest> requests_;  // of this batch
};

}  // namespace wingproxy
