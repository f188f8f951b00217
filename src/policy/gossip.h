/// \file
/// Exchanges the demand for volumes and cells between hosts, through one rendezvous host for each key.
///
/// Hosts do not broadcast. Each host reports its own demand for a volume or a cell to the rendezvous host of
/// that key, when the demand has changed. The rendezvous host adds the reports up and sends each host the
/// demand of the others, how long requests wait in the cell, and what nodes in slow start completed.
#pragma once

#include <map>

#include "policy/cluster_view.h"
#include "policy/key_aggregate.h"
#include "policy/peer_outbox.h"

namespace wingproxy {

/// The aggregates that one rendezvous host keeps, by the key of a volume or a cell.
using AggregateByKey = std::map<std::uint32_t, KeyAggregate>;

/// Owns the aggregates of the keys whose rendezvous host this is.
class Gossip {
public:
    /// \param usage receives the other hosts' demand for the keys that this host uses
    /// \param cluster receives the waits that are reported for cells
    Gossip(const Context& context, UsageTable& usage, ClusterView& cluster, PeerOutbox& outbox)
        : context_(context), usage_(usage), cluster_(cluster), outbox_(outbox) {}

    /// How long figures about the usage of a key are used.
    static UsageLifetimes usageLifetimes();

    /// What this host reports of a key besides its rate.
    struct Observation {
        bool joins = false;   ///< this host wants to know the other hosts of the key
        double waitUs = 0;    ///< how long a response waited; 0: no response
        int outstanding = 0;  ///< outstanding attempts
    };
    /// Reports the use of a key to its rendezvous host, if it has changed enough since the last report.
    void reportUsage(std::uint32_t key, KeyUsage& usage, const Observation& observation);
    /// Reports the use of a cell.
    /// \param waitUs how long a response waited, in microseconds; 0: no response
    void reportCell(const Cell& cell, double waitUs = 0) {
        reportUsage(cell.key, *cell.usage, {false, waitUs, cluster_.outstandingIn(cell)});
    }
    /// As the rendezvous host: sends the aggregates that changed, and the others again at a longer interval.
    void sendChangedAggregates();

    /// As the rendezvous host: updates the aggregate of a key.
    /// \param from the host that sent the report
    void handle(HostIndex from, const peer::UsageReport& report);
    /// The rendezvous host of a key sent the demand of the other hosts and the wait in the cell.
    void handle(HostIndex /*from*/, const peer::UsageAggregate& aggregate) {
        KeyUsage* const usage = usage_.find(aggregate.key);
        if (!usage) return;
        usage->onOthersReported({aggregate.rate.value(), context_.now, aggregate.slowStartRate.rate()},
                                usageLifetimes().slowStart);
        if (usage->cell().isSet() && aggregate.wait.code > 0)
            cluster_.onWaitReported(usage->cell(), aggregate.wait.us());
    }
    /// The rendezvous host of a key named another host that uses it. Host indices of no peer are ignored.
    void handle(HostIndex /*from*/, const peer::MembershipNotice& notice) {
        KeyUsage* const usage = usage_.find(notice.key);
        const Settings& settings = context_.settings;
        const bool isPeer = notice.host.isBelow(settings.hostCount) && notice.host != settings.hostIndex;
        if (usage && isPeer) usage->addPeer(notice.host);
    }

    /// A node of this cell has a new process. Restarts the count of units completed in slow start, as those
    /// of the earlier process say nothing about the new one.
    void onNodeStarted(const Cell& cell, Micros startedUs) {
        aggregates_[cell.key].restartSlowStart(startedUs + context_.settings.slowStartDurationUs);
        cell.usage->restartSlowStart();
    }
    /// Forgets keys that no host uses.
    void forgetUnused() {
        std::erase_if(aggregates_, [](const auto& entry) { return entry.second.hosts().empty(); });
    }

    /// Minimum interval between two reports of a key whose rate changed, in microseconds.
    static Micros reportInterval();

    /// Number of aggregates, for `Policy::tableEntries`.
    [[nodiscard]] std::size_t size() const { return aggregates_.size(); }
    /// For the snapshot.
    [[nodiscard]] const AggregateByKey& aggregates() const { return aggregates_; }
    /// Takes over the aggregates of a predecessor process.
    void restore(AggregateByKey aggregates) { aggregates_ = std::move(aggregates); }

private:
    template <typename Message>
    void send(HostIndex to, const Message& message) {
        if (to == context_.settings.hostIndex)
            handle(to, message);
        else
            outbox_.send(to, message);
    }
    void announceMember(std::uint32_t key, const KeyAggregate& aggregate, HostIndex newMember) {
        for (const HostIndex other : aggregate.joined()) {
            send(newMember, peer::MembershipNotice{key, other});
            send(other, peer::MembershipNotice{key, newMember});
        }
    }
    void sendAggregate(std::uint32_t key, const KeyAggregate& aggregate, const UsageTotals& totals,
                       HostIndex to);
    [[nodiscard]] UsageTotals totalsOf(const KeyAggregate& aggregate) const {
        return aggregate.totals(context_.now, usageLifetimes().ownRate, kRateTimeConstant);
    }
    [[nodiscard]] bool isDue(const KeyUsage& usage, const Observation& observation) const;
    [[nodiscard]] bool isDue(const KeyAggregate& aggregate, const UsageTotals& totals) const;
    [[nodiscard]] double significantWait() const;
    [[nodiscard]] double significantRate() const;

    const Context& context_;
    UsageTable& usage_;
    ClusterView& cluster_;
    PeerOutbox& outbox_;
    AggregateByKey aggregates_;
};

}  // namespace wingproxy
