/// \file
/// Which leases a restarted host may spend and grant, and how it learns that sooner than by waiting until
/// every lease has expired. No I/O and no clock: the time is passed in and never falls.
///
/// A host grants its peers leases on chunks of its limits. After a restart it does not know the leases that
/// its earlier incarnation granted. It has *recovered*, so that it may spend all its chunks, when
///  - all peers have replied that they hold no lease of an earlier incarnation,
///  - the longest lease has passed since the start, or
///  - the time has passed that the earlier incarnation named in its shutdown notice.
/// During a graceful shutdown a host sends that notice to a few peers, its *notice holders*, which return it
/// to the next incarnation. docs/fleet.md has the proof that no chunk is ever with two hosts.
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

/// A datagram that the caller must send.
struct OutgoingDatagram {
    HostIndex to;
    std::string bytes;
};

/// The recovery of one host after its start, and its part in that of its peers. Owns what it knows of the
/// incarnations of the peers and the shutdown notices that it stores for them.
///
/// A value type: copying it copies the whole state. Not thread-safe.
class RestartRecovery {
public:
    /// A shutdown notice counts until it is this old. For as long after its start a host grants no lease
    /// while a notice holder has not replied, as that holder might return an older notice to a later
    /// incarnation.
    static constexpr Micros kNoticeRetention = 10'000'000;
    /// Between two queries, or two notices, to the same host. A lease of 2 s leaves time for three repeats.
    static constexpr Micros kQueryInterval = 500'000;
    /// After its start a host asks only the notice holders for so long, and then everyone: more than a round
    /// trip within a site.
    static constexpr Micros kNoticeHoldersOnlyPeriod = 50'000;
    /// Up to this number of hosts, all peers are asked at once.
    static constexpr int kSmallFleet = 8;

    /// What is fixed for one run of a host.
    struct Options {
        HostIndex hostIndex{0};    ///< of this host
        int hostCount = 1;         ///< of the fleet, this host included
        Micros leaseDuration = 0;  ///< the longest lease on a chunk
        bool mayGossip = true;     ///< hosts may send each other messages
    };
    /// Counted since the start of the process. They are not in the snapshot of a hot restart.
    struct Counters {
        std::uint64_t stale = 0;            ///< messages of an earlier incarnation, which changed nothing
        std::uint64_t malformed = 0;        ///< datagrams that could not be read, which changed nothing
        std::uint64_t newIncarnations = 0;  ///< restarts of peers that were observed
        std::uint64_t storedNotices = 0;    ///< shutdown notices stored here for peers
    };
    /// What made it certain that no lease of an earlier incarnation is out.
    enum class RecoveryCause {
        NotRecovered,     ///< nothing yet
        ShutdownNotice,   ///< the time that the earlier incarnation named in its notice
        AllPeersReplied,  ///< no peer holds a lease of it
        LeaseExpired,     ///< the longest lease has passed since the start
    };

    /// A host that is alone.
    RestartRecovery() = default;
    /// \param startedAt the start of this run, by this machine's clock, which later calls go on with; the
    ///        incarnation is derived from it
    RestartRecovery(const Options& options, Micros startedAt);

    /// This run of the host. A later run has a higher number unless the machine's clock is set back.
    [[nodiscard]] Incarnation incarnation() const { return incarnation_; }
    /// Counts a datagram that is neither of this protocol nor of the policy's gossip.
    void countMalformed() { ++counters_.malformed; }

    /// What a received datagram led to.
    struct DatagramResult {
        IncarnationStatus status = IncarnationStatus::Stale;  ///< of its sender; Stale also if malformed
        std::vector<OutgoingDatagram> replies;                ///< to be sent in this order
    };
    /// Handles a datagram for which `isRecoveryDatagram` holds. One that is malformed or comes from no peer
    /// is counted and changes nothing. \param from the sender's host index, as the transport reports it
    DatagramResult handleDatagram(HostIndex from, const std::string& bytes, Micros now);
    /// Notes the incarnation that stands in any message of a peer.
    IncarnationStatus observeIncarnation(HostIndex from, Incarnation incarnation, Micros now);
    /// The queries and shutdown notices that are due; to be called a few times a second.
    std::vector<OutgoingDatagram> dueDatagrams(Micros now);

    /// Whether this host may spend all its own chunks.
    [[nodiscard]] bool isRecovered(Micros now) const { return now >= recoveredAt_; }
    /// Whether this host may grant a lease of the longest duration.
    [[nodiscard]] bool mayLend(Micros now) const;
    /// What the end of the recovery goes back to, as far as is known now: `LeaseExpired` until a reply brings
    /// it forward. It holds once `isRecovered` does.
    [[nodiscard]] RecoveryCause recoveryCause() const { return cause_; }
    /// Begins a graceful shutdown: the notice holders are notified, and no lease is granted beyond `until`,
    /// or beyond those that may be out at `now`, whichever is later.
    void startShutdown(Micros until, Micros now);
    /// Valid as long as this object.
    [[nodiscard]] const Counters& counters() const { return counters_; }
    /// Entries of all tables, for the check that none grows without bound; two for each host at the most.
    [[nodiscard]] std::size_t tableEntries() const { return peers_.size() + notices_.size(); }
    /// The peers that store this host's shutdown notice: three at the most, spread over the host indices.
    [[nodiscard]] std::vector<HostIndex> noticeHolders() const;

    /// For the snapshot of a hot restart, which fixes the order and the types; counters are not in it.
    template <typename Archive>
    void serialize(Archive& archive) {
        archive(options_.hostIndex, options_.hostCount, options_.leaseDuration, options_.mayGossip,
                startedAt_, recoveredAt_, lastQueryAt_, lastQueryToAllAt_, lastNoticeAt_, servesUntil_,
                incarnation_, queriesAll_, cause_, peers_, repliedPeers_, notices_);
    }

private:
    void handle(HostIndex from, Incarnation sender, const ShutdownNotice& notice);
    void handle(HostIndex from, const RecoveryReply& reply, Micros now);
    [[nodiscard]] RecoveryReply replyTo(HostIndex from, Incarnation sender) const;
    /// Whether a reply of `peer` is still missing that would let this host spend or lend sooner.
    [[nodiscard]] bool needsReplyOf(HostIndex peer, Micros now) const;

    std::vector<OutgoingDatagram> dueNotices(Micros now);
    std::vector<OutgoingDatagram> dueQueries(Micros now);
    [[nodiscard]] bool queriesEveryone(Micros now) const;
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
    Micros servesUntil_ = 0;  // 0: no shutdown has begun
    Incarnation incarnation_ = 0;
    bool queriesAll_ = false;  // the notice holders cannot help: all peers are asked
    RecoveryCause cause_ = RecoveryCause::NotRecovered;
    PeerIncarnations peers_;
    std::set<HostIndex> repliedPeers_;  // they hold no lease of an earlier incarnation
    ShutdownNoticeStore notices_;
    Counters counters_;
};

}  // namespace wingproxy::fleet
