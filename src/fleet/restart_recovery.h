/// \file
/// Determines which leases a restarted host may spend and grant, usually sooner than after the longest lease
/// duration. No I/O and no clock: the time is passed in and never decreases.
///
/// A host grants its peers leases on chunks of its limits. After a restart it does not know the leases that
/// its earlier incarnation granted. It has *recovered*, and may spend all its chunks, once
///  - all peers have replied that they hold no lease of an earlier incarnation,
///  - the longest lease duration has passed since the start, or
///  - the time given in the shutdown notice of the earlier incarnation has passed.
/// During a graceful shutdown a host sends that notice to a few peers, its *notice holders*, which return it
/// to the next incarnation. docs/fleet.md proves that no chunk is ever held by two hosts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "fleet/peer_incarnations.h"
#include "fleet/recovery_datagram.h"
#include "fleet/shutdown_notice_store.h"
#include "wingproxy/index.h"

namespace wingproxy::fleet {

/// A datagram for the caller to send.
struct OutgoingDatagram {
    HostIndex to;
    std::string bytes;
};

/// Runs the recovery of this host after its start, and answers the queries of recovering peers. Owns the
/// known incarnations of the peers and the shutdown notices stored for them.
///
/// A value type: a copy has its own state. Not thread-safe.
class RestartRecovery {
public:
    /// How long a shutdown notice is valid after it was sent. For the same time after its start, a host
    /// grants no lease until all its notice holders have replied: one that has not might return an older
    /// notice to a later incarnation.
    static constexpr Micros kNoticeRetention = 10'000'000;
    /// Interval between queries, or notices, to the same host. It allows three repeats within a lease of 2 s.
    static constexpr Micros kQueryInterval = 500'000;
    /// How long after its start a host queries only its notice holders. Without a valid notice it then
    /// queries all peers. Longer than a round trip within a site.
    static constexpr Micros kNoticeHoldersOnlyPeriod = 50'000;
    /// Fleets of up to this number of hosts query all peers from the start.
    static constexpr int kSmallFleet = 8;

    /// Options that are fixed for one run of a host.
    struct Options {
        HostIndex hostIndex{0};    ///< index of this host
        int hostCount = 1;         ///< hosts of the fleet, this one included
        Micros leaseDuration = 0;  ///< longest duration of a lease on a chunk
        bool mayGossip = true;     ///< whether hosts may send each other messages
    };
    /// Counters since the start of the process. They are not part of the snapshot of a hot restart.
    struct Counters {
        std::uint64_t stale = 0;            ///< ignored messages of an earlier incarnation of a peer
        std::uint64_t malformed = 0;        ///< ignored datagrams that were malformed or came from no peer
        std::uint64_t newIncarnations = 0;  ///< observed restarts of peers
        std::uint64_t storedNotices = 0;    ///< incarnations of peers whose shutdown notice was stored here
    };
    /// What established that no peer holds a lease of an earlier incarnation.
    enum class RecoveryCause {
        NotRecovered,     ///< nothing yet
        ShutdownNotice,   ///< the time in the earlier incarnation's notice passed
        AllPeersReplied,  ///< all peers replied that they hold none
        LeaseExpired,     ///< the longest lease duration passed since the start
    };

    /// A host without peers.
    RestartRecovery() = default;
    /// \param startedAt the start of this run, by the same clock as the times of later calls; the
    ///        incarnation is derived from it
    RestartRecovery(const Options& options, Micros startedAt);

    /// The incarnation of this run. A later run has a higher number unless the machine's clock is set back.
    [[nodiscard]] Incarnation incarnation() const { return incarnation_; }
    /// Counts a datagram that is neither of this protocol nor of the policy's gossip.
    void countMalformed() { ++counters_.malformed; }

    /// The result of handling a datagram.
    struct DatagramResult {
        IncarnationStatus status = IncarnationStatus::Stale;  ///< of the sender; Stale also if malformed
        std::vector<OutgoingDatagram> replies;                ///< to be sent by the caller, in this order
    };
    /// Handles a datagram for which `isRecoveryDatagram` holds. One that is malformed or comes from no peer
    /// is counted and otherwise ignored.
    /// \param from the sender's host index, as the transport reports it
    DatagramResult handleDatagram(HostIndex from, const std::string& bytes, Micros now);
    /// Records the incarnation given in a message of a peer, of this protocol or another.
    IncarnationStatus observeIncarnation(HostIndex from, Incarnation incarnation, Micros now);
    /// Returns the queries or shutdown notices that are due. To be called a few times a second.
    std::vector<OutgoingDatagram> dueDatagrams(Micros now);

    /// Whether this host may spend all its own chunks.
    [[nodiscard]] bool isRecovered(Micros now) const { return now >= recoveredAt_; }
    /// Whether this host may grant a lease of the longest duration.
    [[nodiscard]] bool mayLend(Micros now) const;
    /// The reason of the recovery, final once `isRecovered` returns true. Before that it is the reason of the
    /// earliest recovery known so far: `LeaseExpired` until a reply allows an earlier one.
    [[nodiscard]] RecoveryCause recoveryCause() const { return cause_; }
    /// Begins a graceful shutdown: from now on `dueDatagrams` notifies the notice holders, and no lease is
    /// granted that ends after `until` or after a lease granted at `now` would, whichever is later.
    void startShutdown(Micros until, Micros now);
    /// The reference is valid as long as this object.
    [[nodiscard]] const Counters& counters() const { return counters_; }
    /// Number of entries in the tables of incarnations and notices, to check that they are bounded: at most
    /// two per host.
    [[nodiscard]] std::size_t tableEntries() const { return peers_.size() + notices_.size(); }
    /// The peers that store this host's shutdown notice: at most three, spread over the host indices.
    [[nodiscard]] std::vector<HostIndex> noticeHolders() const;

    /// Serializes the snapshot of a hot restart, whose format fixes the order and types of the fields.
    /// Counters are not included.
    template <typename Archive>
    void serialize(Archive& archive) {
        archive(options_.hostIndex, options_.hostCount, options_.leaseDuration, options_.mayGossip,
                startedAt_, recoveredAt_, lastQueryAt_, lastQueryToAllAt_, lastNoticeAt_, lastLeaseEnd_,
                incarnation_, queriesAll_, cause_, peers_, repliedPeers_, notices_);
    }

private:
    void handle(HostIndex from, Incarnation sender, const ShutdownNotice& notice);
    void handle(HostIndex from, const RecoveryReply& reply, Micros now);
    [[nodiscard]] RecoveryReply replyTo(HostIndex from, Incarnation sender) const;
    /// Whether a reply that is still missing from `peer` would let this host spend or lend sooner.
    [[nodiscard]] bool needsReplyOf(HostIndex peer, Micros now) const;

    std::vector<OutgoingDatagram> dueNotices(Micros now);
    std::vector<OutgoingDatagram> dueQueries(Micros now);
    /// Whether all peers must be queried, as the notice holders have no valid notice or did not reply in
    /// time.
    [[nodiscard]] bool queriesAllPeers(Micros now) const;
    [[nodiscard]] OutgoingDatagram datagramTo(HostIndex host, const RecoveryMessage& message) const;

    void recoverAt(Micros at, RecoveryCause cause);
    /// Whether no notice holder can return a notice from before this incarnation to a later one.
    [[nodiscard]] bool noticeHoldersKnowIncarnation(Micros now) const;
    [[nodiscard]] bool isNoticeHolder(HostIndex host) const;

    Options options_;
    Micros startedAt_ = 0;
    Micros recoveredAt_ = 0;
    Micros lastQueryAt_ = 0;
    Micros lastQueryToAllAt_ = 0;
    Micros lastNoticeAt_ = 0;
    Micros lastLeaseEnd_ = 0;  // no lease is granted beyond it; 0: no shutdown has begun
    Incarnation incarnation_ = 0;
    bool queriesAll_ = false;  // a notice holder has no valid notice, or the fleet is small: all are queried
    RecoveryCause cause_ = RecoveryCause::NotRecovered;
    PeerIncarnations peers_;
    std::set<HostIndex> repliedPeers_;  // peers that hold no lease of an earlier incarnation
    ShutdownNoticeStore notices_;
    Counters counters_;
};

}  // namespace wingproxy::fleet
