/// \file
/// The parts of a `Policy` and how they are connected.
#pragma once

#include <string>
#include <vector>

#include "policy/dispatcher.h"
#include "policy/load_shedder.h"
#include "policy/peer_inbox.h"
#include "policy/snapshot_archive.h"

namespace wingproxy {

/// Owns the parts and handles events with them, deterministically. Not thread-safe.
struct Policy::Impl {
    /// Connects the parts and begins the first batch: starts the tick, the watch of the endpoint list and the
    /// recovery of leases.
    Impl(const Settings& settings, Micros now);
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    /// Sets the time that all parts see; to be called before each event and before the end of the batch.
    void setTime(Micros now) { context_.now = now; }
    // -- events; see wingproxy/policy.h
    /// Updates the nodes. Requests of any cell may be sendable afterwards.
    void handle(const EndpointListReceived& event);
    /// Classifies the request, queues it, and sends it at once if it may be sent.
    void handle(const RequestReceived& event);
    /// From now on the request's attempts hold slots at their nodes, and its latency objective counts.
    void handle(const RequestBodyCompleted& event);
    /// Updates the node's statistics, then finishes the request, retries it or answers it. Outcomes of
    /// attempts that are not outstanding are ignored.
    void handle(const AttemptOutcome& event);
    /// Frees the attempt's slot once the node has done its work.
    void handle(const ResponseStarted& event);
    /// Finishes the request without an answer.
    void handle(const RequestCancelled& event) {
        if (PendingRequest* const request = requests_.find(event.id)) finish(*request);
    }
    /// From now on no lease is granted that would outlast the shutdown, and the notice holders are notified;
    /// see `fleet::RestartRecovery::startShutdown`.
    void handle(const ShutdownStarted& event) { recovery_.startShutdown(event.servesUntilUs, context_.now); }
    /// Rejects or fails one queued request, the least valuable one, for each connection needed.
    void handle(const CapacityNeeded& event);
    /// The tick: periodic work, and all queues are examined again. Other tokens are ignored.
    void handle(const TimerFired& event);
    /// Handles messages of gossip, leases and lease recovery. Malformed and stale ones are counted and
    /// ignored.
    void handle(const PeerMessageReceived& event);
    /// A check that succeeded shows that requests sent before it and not yet answered are lost.
    void handle(const HealthCheckCompleted& event) {
        Node* const node = cluster_.findNode(event.node);
        if (node && event.outcome == Outcome::Ok)
            node->outliers().onHealthCheckAnswered(context_.now - event.elapsedUs);
    }
    /// Sends the requests that may be sent, sheds load, and returns the batch's actions.
    std::vector<Action> finishBatch();

    /// See `Policy::takeSnapshot`.
    std::string takeSnapshot();
    /// See `Policy::restore`.
    bool restore(const std::string& snapshot);

    /// See `Policy::tableEntries`.
    [[nodiscard]] std::size_t tableEntries() const;
    /// See `Policy::avoidedNodes`.
    [[nodiscard]] std::size_t avoidedNodes() const { return cluster_.avoidedNodes(); }
    /// See `Policy::recovery`.
    [[nodiscard]] const fleet::RestartRecovery& recovery() const { return recovery_; }

private:
    /// Used where a class has no latency objective, in microseconds.
    [[nodiscard]] static Micros defaultLatencyObjective();
    /// The volume of a request; null if there are too many volumes.
    [[nodiscard]] Volume* volumeOf(const Request& request);
    void admit(PendingRequest& request);
    void retryOrFail(PendingRequest& request);
    /// The delay that a rejected client is told to wait before it retries, in microseconds.
    struct RetryAdvice {
        Micros wanted = 0;
        Micros atLeast = 0;  ///< lower bound of `wanted`
    };
    void rejectOrFail(PendingRequest& request, RetryAdvice advice, AnswerReason reason);
    void finish(PendingRequest& request);
    void shedLoad(CellIndex cell);
    void handleRecord(HostIndex from, const peer::LeaseRequest& request) { leases_.onRequest(from, request); }
    void handleRecord(HostIndex from, const peer::LeaseReturn& returned) { leases_.onReturn(from, returned); }
    void handleRecord(HostIndex from, const peer::LeaseGrant& grant) {
        if (leases_.onGrant(from, grant)) dispatcher_.queues().markAllChanged(cluster_.cellCount());
    }
    template <typename GossipRecord>
    void handleRecord(HostIndex from, const GossipRecord& record) {
        gossip_.handle(from, record);
    }
    void sendRecoveryDatagrams() {
        for (const auto& datagram : recovery_.dueDatagrams(context_.now))
            context_.emit(SendPeerMessage{datagram.to, datagram.bytes});
    }
    void reportUsage();
    void forgetUnused();
    [[nodiscard]] PolicyState exportState() const;

    Context context_;
    fleet::RestartRecovery recovery_;
    PeerOutbox outbox_;
    PeerInbox inbox_{context_, recovery_};
    UsageTable usage_{context_, Gossip::usageLifetimes()};
    ClusterView cluster_{context_, usage_};
    Gossip gossip_{context_, usage_, cluster_, outbox_};
    VolumeTable volumes_{context_, usage_};
    LeaseAllocator leases_{context_, recovery_, usage_, volumes_, outbox_};
    Admission admission_{context_, usage_, cluster_};
    RetryPolicy retries_{context_, cluster_, leases_};
    AttemptTracker attempts_{context_, cluster_, gossip_, retries_};
    Dispatcher dispatcher_{context_, cluster_, admission_, retries_, attempts_};
    LoadShedder shedder_{context_, cluster_, admission_, leases_};
    RequestTable requests_;
    Micros lastReportAt_ = kNever;
    Micros lastForgetAt_ = kNever;
};

}  // namespace wingproxy
