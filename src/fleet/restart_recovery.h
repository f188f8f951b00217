// What a host that has just started may spend and lend of its chunks, and how it learns that sooner than by
// waiting for every lease to run out. Pure: no I/O, the time is passed in (microseconds, never falling).
//
// A host lends chunks of its limits for short leases and, started anew, knows nothing of the loans of its
// earlier life. It is clear of them when all peers have said that they hold none, when a lease has passed
// since its start, or when the time is over that its earlier life named in a shutdown notice. A shutdown
// notice is told while a host leaves in order, to a few peers that keep it: its holders. docs/fleet.md has
// the proof.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace wingproxy::fleet {

using Micros = std::int64_t;

struct OutgoingDatagram {
    int to = 0;  // a host's number
    std::string bytes;
};

class RestartRecovery {
public:
    // Until a shutdown notice is this old a new life may go by it; so long a host whose holders have not
    // answered lends nothing, as a later life might go by a shutdown notice from before it.
    static constexpr Micros kNoticeRetention = 10'000'000;
    static constexpr Micros kQueryInterval =
        500'000;  // between two hellos, or shutdown notices, to the same host
    static constexpr Micros kHoldersOnlyPeriod =
        50'000;                            // then all are asked: a crossing of the network and more
    static constexpr int kSmallFleet = 8;  // of so many hosts all are asked at once
    static constexpr Micros kStaleIncarnationPeriod =
        10'000'000;  // a life before the newest is not believed for so long
    static constexpr std::size_t kMaxDatagramBytes = 22;  // of a datagram

    struct Options {
        int host = 0, hosts = 1;
        Micros lease = 0;   // of a chunk, at the longest
        bool talks = true;  // hosts may tell each other anything
    };
    struct Counters {
        std::uint64_t stale = 0, malformed = 0;  // datagrams that changed nothing
        std::uint64_t newIncarnations = 0;       // of peers that began anew
        std::uint64_t storedNotices = 0;         // kept here for others
    };
    enum class IncarnationStatus { Known, New, Stale };
    enum class RecoveryCause {
        NotRecovered,
        ShutdownNotice,
        AllPeersReplied,
        LeaseExpired
    };  // what made it clear

    RestartRecovery() = default;
    RestartRecovery(const Options& terms, Micros startedAt);

    // Names this life: a later one has a higher number, for as long as the machine's clock is not set back.
    std::uint32_t incarnation() const { return life_; }
    void countMalformed() { ++counters_.malformed; }           // a datagram in neither of the front's forms
    static bool isRecoveryDatagram(const std::string& bytes);  // a datagram for heard()
    struct DatagramResult {
        IncarnationStatus status =
            IncarnationStatus::Stale;  // Fresh: whatever that host lent in its earlier life is over
        std::vector<OutgoingDatagram> replies;
    };
    DatagramResult handleDatagram(int from, const std::string& bytes, Micros now);
    IncarnationStatus observeIncarnation(int from, std::uint32_t life, Micros now);  // in whatever it says
    std::vector<OutgoingDatagram> dueDatagrams(
        Micros now);  // hellos and shutdown notices; to be asked a few times a second

    bool isRecovered(Micros now) const { return now >= clearAt_; }  // may spend all of its own chunks
    bool mayLend(Micros now) const;                                 // may lend them for a whole lease
    RecoveryCause recoveryCause() const { return by_; }
    // It ends in order: nothing is lent beyond then, or beyond what is lent already, and the holders are
    // told.
    void startShutdown(Micros until, Micros now) {
        leavingUntil_ = until > now + terms_.lease ? until : now + terms_.lease;
    }
    const Counters& counters() const { return counters_; }
    std::size_t tableEntries() const { return peers_.size() + notices_.size(); }
    std::vector<int> holders() const;  // three at the most, spread over the numbers

    template <typename Archive>
    void serialize(Archive& a) {
        a(terms_.host, terms_.hosts, terms_.lease, terms_.talks, startedAt_, clearAt_, lastHello_, lastToAll_,
          lastNotice_, leavingUntil_, life_, askAll_, by_, peers_, welcomedBy_, notices_);
    }

private:
    struct Peer {
        std::uint32_t life = 0;
        Micros at = 0;  // heard last
        template <typename Archive>
        void serialize(Archive& a) {
            a(life, at);
        }
    };
    struct ShutdownNotice {
        std::uint32_t life = 0, sentMs = 0, overMs = 0;  // of the leaving host's clock
        std::uint32_t next = 0;                          // the life that followed it, once it is met
        template <typename Archive>
        void serialize(Archive& a) {
            a(life, sentMs, overMs, next);
        }
    };
    void clearBy(RecoveryCause by, Micros at);
    bool holdersKnow(
        Micros now) const;  // of this life, all of them; or no shutdown notice from before it counts

    Options terms_;
    Micros startedAt_ = 0, clearAt_ = 0, lastHello_ = 0, lastToAll_ = 0, lastNotice_ = 0, leavingUntil_ = 0;
    std::uint32_t life_ = 0;
    bool askAll_ = false;  // a holder knows of no shutdown notice
    RecoveryCause by_ = RecoveryCause::NotRecovered;
    std::map<int, Peer> peers_;
    std::set<int> welcomedBy_;               // they hold nothing of earlier lives
    std::map<int, ShutdownNotice> notices_;  // by the host that left
    Counters counters_;
};

}  // namespace wingproxy::fleet
