/// \file
/// The shutdown notices that a host stores for the peers whose notice holder it is. No I/O and no clock.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "fleet/recovery_datagram.h"
#include "wingproxy/index.h"

namespace wingproxy::fleet {

/// Keeps the last shutdown notice of each peer until the second incarnation after the one that wrote it is
/// seen.
class ShutdownNoticeStore {
public:
    /// Stores a notice in place of the stored one of the same peer. A notice that `writer` sent before its
    /// stored one, or at the same time, is a late or duplicate datagram and changes nothing.
    /// \param writer the incarnation of `peer` that sent the notice
    /// \return whether it is the first notice of that incarnation
    bool store(HostIndex peer, Incarnation writer, const ShutdownNotice& notice);
    /// The stored notice of `peer` if an incarnation other than `current` wrote it; empty otherwise.
    [[nodiscard]] std::optional<EarlierNotice> findEarlier(HostIndex peer, Incarnation current) const;
    /// Drops the notice of `peer` when `current` is the second incarnation after its writer. A notice is
    /// valid for the next incarnation only: its time need not cover the leases which that incarnation grants.
    void observeIncarnation(HostIndex peer, Incarnation current);
    /// Number of stored notices; at most one per peer.
    [[nodiscard]] std::size_t size() const { return notices_.size(); }

    /// Serializes the snapshot of a hot restart, whose format fixes the order and types of the fields.
    template <typename Archive>
    void serialize(Archive& archive) {
        archive(notices_);
    }

private:
    struct StoredNotice {
        Incarnation writer = 0;
        ShutdownNotice notice;
        Incarnation successor = 0;  ///< the first incarnation seen after the writer; 0: none yet
        template <typename Archive>
        void serialize(Archive& archive) {
            archive(writer, notice.sentMs, notice.leasesExpiredMs, successor);
        }
    };
    std::map<HostIndex, StoredNotice> notices_;  // by the peer that wrote it
};

}  // namespace wingproxy::fleet
