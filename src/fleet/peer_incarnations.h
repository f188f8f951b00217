/// \file
/// Which incarnation of each peer this host heard of last. No I/O and no clock: the time is passed in and
/// never falls.
#pragma once

#include <cstddef>
#include <map>

#include "fleet/recovery_datagram.h"
#include "wingproxy/index.h"

namespace wingproxy::fleet {

/// The sender's incarnation compared with what is known of that host.
enum class IncarnationStatus {
    Known,  ///< the current one, or the first that was heard of
    New,    ///< the host restarted: all leases of its earlier incarnation are over
    Stale,  ///< an earlier one: the message must be ignored
};

/// The current incarnation of every peer that was ever heard of; at most one entry for each host.
class PeerIncarnations {
public:
    /// A message of an earlier incarnation is ignored for so long after the newer one was last heard; later
    /// it means that the peer's clock was set back.
    static constexpr Micros kStaleIncarnationPeriod = 10'000'000;

    /// Takes the incarnation that stands in a message of `peer`. A stale one changes nothing.
    IncarnationStatus observe(HostIndex peer, Incarnation incarnation, Micros now);
    /// Whether `incarnation` is the current one of `peer`; false for a peer that was never heard of.
    [[nodiscard]] bool isCurrent(HostIndex peer, Incarnation incarnation) const;
    /// Peers that were heard of.
    [[nodiscard]] std::size_t size() const { return peers_.size(); }

    /// For the snapshot of a hot restart, which fixes the order and the types.
    template <typename Archive>
    void serialize(Archive& archive) {
        archive(peers_);
    }

private:
    struct Peer {
        Incarnation incarnation = 0;
        Micros heardAt = 0;
        template <typename Archive>
        void serialize(Archive& archive) {
            archive(incarnation, heardAt);
        }
    };
    std::map<HostIndex, Peer> peers_;
};

}  // namespace wingproxy::fleet
