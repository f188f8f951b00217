/// \file
/// Cuts a volume's limit into chunks, and leases them between the hosts that serve it (docs/design.md).
///
/// Each host has a base rate and a number of chunks that it owns. It spends both, but for the chunks that it
/// leased to peers. The sum over all hosts is the limit, whichever messages are lost: the owner grants a
/// chunk once, and the lease ends at the borrower first, which counts from its request, the owner from its
/// grant.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "policy/peer_outbox.h"
#include "policy/volume_table.h"

namespace wingproxy {

/// Owns the limits of the volumes in a `VolumeTable`, and the leases of chunks.
class LeaseAllocator {
public:
    /// \param recovery says when leases of an earlier process of this host are over
    /// \param usage says which peers may have chunks, and what they are asked for
    /// \param outbox takes the messages; all five must outlive the object
    LeaseAllocator(const Context& context, const fleet::RestartRecovery& recovery, UsageTable& usage,
                   VolumeTable& volumes, PeerOutbox& outbox);

    /// The longest time that a chunk is leased for, in microseconds.
    static Micros leaseDuration();

    // -- limits
    /// Sets up the limit of a volume that was just opened.
    void open(Volume& volume);
    /// Whether the volume may spend `units` now. Brings its bucket up to date.
    [[nodiscard]] bool hasTokens(Volume& volume, double units) {
        if (!volume.limit().isLimited()) return true;
        refill(volume);
        return volume.limit().tokens() >= units;
    }
    /// Takes tokens for a request that is sent. `hasTokens` must have allowed it in this batch.
    static void spend(Volume& volume, double units) { volume.limit().spend(units); }
    /// Units of requests that wait without tokens: a demand beyond what arrives.
    static void addQueuedUnits(Volume& volume, double units) { volume.limit().addQueuedUnits(units); }
    /// These units wait no more, or have their tokens.
    static void removeQueuedUnits(Volume& volume, double units) { volume.limit().removeQueuedUnits(units); }
    /// Microseconds until the volume has tokens for `units`. A request for chunks that is under way counts as
    /// granted, as far as the other hosts leave of the limit.
    [[nodiscard]] double timeToTokens(const Volume& volume, double units) const;

    // -- leases
    /// Requests chunks where demand passes what this host may spend now, returns them where it fell below.
    void rebalance(Volume& volume);
    /// Rebalances all volumes.
    void rebalanceAll() {
        for (auto& [name, volume] : volumes_.all())
            rebalance(volume);
    }
    /// A request came from a client: it pays for bytes of requests for chunks, so that the messages between
    /// hosts stay in proportion to the work.
    void addRequestBudget();
    /// Keeps a peer's request until the batch ends.
    void onRequest(HostIndex from, const peer::LeaseRequest& request) {
        requests_.push_back({from, request});
    }
    /// Grants what this host does not need itself, to lower host numbers first.
    void serveRequests();
    /// A peer answered a request for chunks. Answers to other requests than the last one are ignored.
    /// \return whether a client's request may have become possible
    bool onGrant(HostIndex from, const peer::LeaseGrant& grant);
    /// A peer keeps fewer of the chunks that this host granted.
    void onReturn(HostIndex from, const peer::LeaseReturn& returned) {
        Volume* const volume = volumes_.find(returned.volume);
        if (!volume) return;
        refill(*volume);
        volume->limit().onReturned(from, returned.chunks, returned.stamp);
        refill(*volume);
    }
    /// A peer's new process knows nothing of the chunks that it granted: they go back to it.
    void onPeerRestarted(HostIndex peer) {
        for (auto& [name, volume] : volumes_.all()) {
            refill(volume);
            volume.limit().dropLease(peer);
        }
    }

    // -- restart and hot restart
    /// Uses the chunks of this host once no lease of an earlier process is out.
    void useOwnedChunksOnceRecovered() {
        if (state_.recoveredAt <= context_.now || !recovery_.isRecovered(context_.now)) return;
        for (auto& [name, volume] : volumes_.all())
            refill(volume);  // until now without its own chunks
        state_.recoveredAt = context_.now;
    }
    /// Takes from each volume the tokens that open requests may need yet; the rest goes to the successor
    /// process. To be called before the snapshot is taken.
    /// \return units kept, by volume
    std::map<Volume*, double> reserveForOpenRequests();
    /// Leaves the reserved units here, and no other right.
    static void keepOnly(const std::map<Volume*, double>& reserved) {
        for (const auto& [volume, units] : reserved)
            volume->limit().keepOnly(units);
    }

    /// What is not in the volumes; for the snapshot.
    struct State {
        Micros recoveredAt = -kNever;  ///< since then this host spends its own chunks
        double requestBudget = 0;      ///< bytes that requests for chunks may still cost
    };
    /// For the snapshot.
    [[nodiscard]] const State& state() const { return state_; }
    /// Takes over from a predecessor process; the volumes must have been restored before.
    void restore(const State& state) { state_ = state; }

private:
    /// A peer's request of this batch.
    struct ReceivedRequest {
        HostIndex from;
        peer::LeaseRequest request;
    };
    // Base and owned chunks together are limit / hosts at every host, in rate and burst: the sum needs no
    // message to arrive.
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
    // Returns how many chunks may be expected of the peer beyond those that it granted already.
    int requestFrom(Volume& volume, HostIndex peer, int missing);
    void serve(const ReceivedRequest& received);
    [[nodiscard]] int grantable(const Volume& volume, HostIndex peer, int wanted) const;
    // What a newly granted chunk has saved up goes with it, so that the busy host can use the burst.
    peer::FixedPoint splitSavedTokens(Volume& volume, int newChunks) const;
    // Milliseconds, and never 0.
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
