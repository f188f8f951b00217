/// \file
/// The current incarnation of each peer, as far as this host knows it. No I/O and no clock: the time is
/// passed in and never decreases.
#pragma once

#include <cstddef>
#include <map>

#include "fleet/recovery_datagram.h"
#include "wingproxy/index.h"

namespace wingproxy::fleet {

/// How the incarnation in a message compares with the one known for its sender.
enum class IncarnationStatus {
    Known,  ///< the current one, or the first one seen
    New,    ///< the host restarted: all leases of its earlier incarnation have ended
    Stale,  ///< an earlier one: the message must be ignored
};

/// The current incarnation of every peer from which a message was received; at most one entry per host.
class PeerIncarnations {
public:
    /// How long after the last message of the current incarnation those of an earlier one are ignored. A
    /// later one means that the peer restarted with its clock set back.
    static constexpr Micros kStaleIncarnationPeriod = 10'000'000;

    /// Records the incarnation in a message of `peer`. A stale one changes nothing.
    IncarnationStatus observe(HostIndex peer, Incarnation incarnation, Micros now);
    /// Whether `incarnation` is the current one of `peer`; false for an unknown peer.
    [[nodiscard]] bool isCurrent(HostIndex peer, Incarnation incarnation) const;
    /// Number of known peers.
    [[nodiscard]] std::size_t size() const { return peers_.size(); }

    /// Serializes the snapshot of a hot restart, whose format fixes the order and types of the fields.
    template <typename Archive>
    void serialize(Archive& archive) {
        archive(peers_);
    }

private:
    struct Peer {
        Incarnation incarnation = 0;
        Micros lastSeenAt = 0;
        template <typename Archive>
        void serialize(Archive& archive) {
            archive(incarnation, lastSeenAt);
        }
    };
    std::map<HostIndex, Peer> peers_;
};

}  // namespace wingproxy::fleet
