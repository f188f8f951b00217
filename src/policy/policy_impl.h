/// \file
/// The parts of a `Policy` and how they are joined.
#pragma once

#include <string>
#include <vector>

#include "policy/dispatcher.h"
#include "policy/load_shedder.h"
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
    void handle(const RequestCancelled& event);
    void handle(const ShutdownStarted& event);
    void handle(const CapacityNeeded& event);
    void handle(const TimerFired& event);
    void handle(const PeerMessageReceived& event);
    void handle(const HealthCheckCompleted& event);
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
    [[nodiscard]] PendingRequest* find(RequestId id);
    [[nodiscard]] Volume& volumeOf(const Request& request);
    PendingRequest* open(const Request& request);
    void admit(PendingRequest& request);
    void retryOrGiveUp(PendingRequest& request);
    void giveUp(PendingRequest& request, Micros retryAfter, Micros minRetryAfter);
    void giveUp(PendingRequest& request, Micros retryAfter);
    void finish(PendingRequest& request);
    void shedLoad(int cell);
    void handleRecord(int from, const peer::LeaseRequest& request) { leases_.onRequest(from, request); }
    void handleRecord(int from, const peer::LeaseReturn& returned) { leases_.onReturn(from, returned); }
    void handleRecord(int from, const peer::LeaseGrant& grant) {
        if (leases_.onGrant(from, grant)) dispatcher_.markAllChanged();
    }
    template <typename GossipRecord>
    void handleRecord(int from, const GossipRecord& record) {
        gossip_.handle(from, record);
    }
    void sendRecoveryDatagrams();
    void tick();
    void reportUsage();
    void forgetUnused();
    [[nodiscard]] PolicyState exportState() const;

    Context context_;
    fleet::RestartRecovery recovery_;
    PeerOutbox outbox_;
    UsageTable usage_;
    ClusterView cluster_;
    Gossip gossip_;
    VolumeTable volumes_;
    LeaseAllocator leases_;
    Admission admission_;
    RetryPolicy retries_;
    AttemptTracker attempts_;
    Dispatcher dispatcher_;
    LoadShedder shedder_;
    RequestTable requests_;
    Micros lastReportAt_ = kNever;
    Micros lastForgetAt_ = kNever;
};

}  // namespace wingproxy
