/// \file
/// Reports to each host what the others are asked for, through one rendezvous host for each key.
///
/// Hosts do not broadcast. What a volume or a cell is asked for through a host goes to the rendezvous host of
/// its key, when it has changed. That host sums it up and reports to each host what the others are asked
/// for, how long requests wait there, and what starting nodes completed.
#pragma once

#include <map>

#include "policy/cluster_view.h"
#include "policy/key_aggregate.h"
#include "policy/peer_outbox.h"

namespace wingproxy {

/// The aggregates that one host keeps, by the key of a volume or a cell.
using AggregateByKey = std::map<std::uint32_t, KeyAggregate>;

/// Owns the aggregates of the keys whose rendezvous host this is.
class Gossip {
public:
    /// \param usage gets what the others report of this host's own keys
    /// \param cluster gets the waits that are reported for cells
    Gossip(const Context& context, UsageTable& usage, ClusterView& cluster, PeerOutbox& outbox)
        : context_(context), usage_(usage), cluster_(cluster), outbox_(outbox) {}

    /// How long what is known of a key's use counts.
    static UsageLifetimes usageMemory();

    /// What is new about a key, besides its rate.
    struct Observation {
        bool joins = false;   ///< this host wants to know the other hosts of the key
        double waitUs = 0;    ///< of an answer; 0: none
        int outstanding = 0;  ///< attempts
    };
    /// Reports the use of a key to its rendezvous host, where it has changed enough.
    void reportUsage(std::uint32_t key, KeyUsage& usage, const Observation& observation);
    /// Reports the use of a cell.
    /// \param waitUs of an answer; 0: none
    void reportCell(const Cell& cell, double waitUs = 0) {
        reportUsage(cell.key, *cell.usage, {false, waitUs, cluster_.outstandingIn(cell)});
    }
    /// As the rendezvous host: sends the aggregates that changed, and repeats the others from time to time.
    void sendChangedAggregates();

    /// \param from the host that sent it
    void handle(HostIndex from, const peer::UsageReport& report);
    /// The rendezvous host of a key reported what the others are asked for and how long requests wait there.
    void handle(HostIndex /*from*/, const peer::UsageAggregate& aggregate) {
        KeyUsage* const usage = usage_.find(aggregate.key);
        if (!usage) return;
        usage->onOthersReported({aggregate.rate.value(), context_.now, aggregate.slowStartRate.rate()},
                                usageMemory().slowStart);
        if (usage->cell().isSet() && aggregate.wait.code > 0)
            cluster_.onWaitReported(usage->cell(), aggregate.wait.us());
    }
    /// The rendezvous host of a key named another host that uses it. Numbers that are no peer are ignored.
    void handle(HostIndex /*from*/, const peer::MembershipNotice& notice) {
        KeyUsage* const usage = usage_.find(notice.key);
        const Settings& settings = context_.settings;
        const bool isPeer = notice.host.isBelow(settings.hostCount) && notice.host != settings.hostIndex;
        if (usage && isPeer) usage->addPeer(notice.host);
    }

    /// A new process of a node in this cell: what its predecessor completed says nothing of it.
    void onNodeStarted(const Cell& cell, Micros startedUs) {
        aggregates_[cell.key].restartSlowStart(startedUs + context_.settings.slowStartDurationUs);
        cell.usage->restartSlowStart();
    }
    /// Forgets keys that no host uses.
    void forgetUnused() {
        std::erase_if(aggregates_, [](const auto& entry) { return entry.second.hosts().empty(); });
    }

    /// Least time between two reports of a key that changed, in microseconds.
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
    void introduce(std::uint32_t key, const KeyAggregate& aggregate, HostIndex newcomer) {
        for (const HostIndex other : aggregate.joined()) {
            send(newcomer, peer::MembershipNotice{key, other});
            send(other, peer::MembershipNotice{key, newcomer});
        }
    }
    void sendAggregate(std::uint32_t key, const KeyAggregate& aggregate, const UsageTotals& totals,
                       HostIndex to);
    [[nodiscard]] UsageTotals totalsOf(const KeyAggregate& aggregate) const {
        return aggregate.totals(context_.now, usageMemory().ownRate, kRateTimeConstant);
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
