/// \file
/// The parts of a `Policy` and how they are joined.
#pragma once

#include <string>
#include <vector>

#include "policy/dispatcher.h"
#include "policy/load_shedder.h"
#include "policy/peer_inbox.h"
#include "policy/snapshot_archive.h"

namespace wingproxy {

/// Handles events with the parts, in an order that is the same for the same events. Not thread-safe.
struct Policy::Impl {
    Impl(const Settings& settings, Micros now);
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void setTime(Micros now) { context_.now = now; }
    // Each kind of event; see wingproxy/policy.h.
    void handle(const EndpointListReceived& event);
    void handle(const RequestReceived& event);
    void handle(const RequestBodyCompleted& event);
    void handle(const AttemptOutcome& event);
    void handle(const ResponseStarted& event);
    void handle(const RequestCancelled& event) {
        if (PendingRequest* const request = requests_.find(event.id)) finish(*request);
    }
    void handle(const ShutdownStarted& event) { recovery_.startShutdown(event.servesUntilUs, context_.now); }
    void handle(const CapacityNeeded& event);
    void handle(const TimerFired& event);
    void handle(const PeerMessageReceived& event);
    void handle(const HealthCheckCompleted& event) {
        Node* const node = cluster_.findNode(event.node);
        if (node && event.outcome == Outcome::Ok)
            node->outliers().onHealthCheckAnswered(context_.now - event.elapsedUs);
    }
    /// Sends what may leave, sheds load, and returns the batch's actions.
    std::vector<Action> finishBatch();

    /// See `Policy::takeSnapshot`.
    std::string handOver();
    /// See `Policy::restore`.
    bool restore(const std::string& snapshot);

    [[nodiscard]] std::size_t tableEntries() const;
    [[nodiscard]] std::size_t avoidedNodes() const { return cluster_.avoidedNodes(); }
    [[nodiscard]] const fleet::RestartRecovery& recovery() const { return recovery_; }

private:
    /// Stands in where no class has a latency objective, in microseconds.
    [[nodiscard]] static Micros defaultLatencyObjective();
    [[nodiscard]] Volume& volumeOf(const Request& request);
    void admit(PendingRequest& request);
    void retryOrFail(PendingRequest& request);
    void rejectOrFail(PendingRequest& request, Micros retryAfter, Micros minRetryAfter);
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
    UsageTable usage_{context_, Gossip::usageMemory()};
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
