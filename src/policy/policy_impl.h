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
    /// Joins the parts and begins the first batch: the tick, the watch of the endpoint list, lease recovery.
    Impl(const Settings& settings, Micros now);
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    /// Sets the time that all parts see; to be called before each event and before the end of the batch.
    void setTime(Micros now) { context_.now = now; }
    // -- events; see wingproxy/policy.h
    /// Nodes appear, change and go; requests of any cell may have become possible.
    void handle(const EndpointListReceived& event);
    /// Classifies the request, queues it and sends it at once if it may be sent.
    void handle(const RequestReceived& event);
    /// The request's attempts hold slots at their nodes from now on, and its own time runs.
    void handle(const RequestBodyCompleted& event);
    /// Learns from the outcome, then ends the request, retries it or answers it. Outcomes of attempts that
    /// are not outstanding are ignored.
    void handle(const AttemptOutcome& event);
    /// The attempt's slot is free once its node has done its work.
    void handle(const ResponseStarted& event);
    /// Ends the request without an answer.
    void handle(const RequestCancelled& event) {
        if (PendingRequest* const request = requests_.find(event.id)) finish(*request);
    }
    /// From now on leases end before the shutdown does, and the notice holders are notified.
    void handle(const ShutdownStarted& event) { recovery_.startShutdown(event.servesUntilUs, context_.now); }
    /// Answers the least valuable of the requests that wait.
    void handle(const CapacityNeeded& event);
    /// The tick: looks at what is due and at what waits. Other tokens are ignored.
    void handle(const TimerFired& event);
    /// Takes gossip, leases and lease recovery. Malformed and stale messages are counted and ignored.
    void handle(const PeerMessageReceived& event);
    /// A check that was answered shows that earlier requests without an answer are lost.
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

    /// See `Policy::tableEntries`.
    [[nodiscard]] std::size_t tableEntries() const;
    /// See `Policy::avoidedNodes`.
    [[nodiscard]] std::size_t avoidedNodes() const { return cluster_.avoidedNodes(); }
    /// See `Policy::recovery`.
    [[nodiscard]] const fleet::RestartRecovery& recovery() const { return recovery_; }

private:
    /// Stands in where no class has a latency objective, in microseconds.
    [[nodiscard]] static Micros defaultLatencyObjective();
    [[nodiscard]] Volume& volumeOf(const Request& request);
    void admit(PendingRequest& request);
    void retryOrFail(PendingRequest& request);
    /// How long an answered client is told to stay away, in microseconds.
    struct RetryAdvice {
        Micros wanted = 0;
        Micros atLeast = 0;
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
