/// \file
/// The shutdown notices that a host stores as the notice holder of its peers. No I/O and no clock.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "fleet/recovery_datagram.h"
#include "wingproxy/index.h"

namespace wingproxy::fleet {

/// Keeps the last shutdown notice of each peer until the second incarnation after its writer is heard of.
class ShutdownNoticeStore {
public:
    /// Stores a notice in place of an older one of the same peer. A notice that `writer` sent before the
    /// stored one, or at the same time, is a late or duplicated datagram and changes nothing.
    /// \param writer the incarnation of `peer` that sent the notice
    /// \return whether it is the first notice of that incarnation
    bool store(HostIndex peer, Incarnation writer, const ShutdownNotice& notice);
    /// The stored notice of `peer`, unless `current` itself wrote it.
    [[nodiscard]] std::optional<EarlierNotice> findEarlier(HostIndex peer, Incarnation current) const;
    /// Drops the notice of `peer` when `current` is the second incarnation after its writer. A notice is for
    /// the next incarnation only: a later one might go by a time that does not cover the leases of the
    /// incarnation in between.
    void observeIncarnation(HostIndex peer, Incarnation current);
    /// Notices that are stored; at most one for each peer.
    [[nodiscard]] std::size_t size() const { return notices_.size(); }

    /// For the snapshot of a hot restart, which fixes the order and the types.
    template <typename Archive>
    void serialize(Archive& archive) {
        archive(notices_);
    }

private:
    struct StoredNotice {
        Incarnation writer = 0;
        ShutdownNotice notice;
        Incarnation successor = 0;  ///< the incarnation after the writer; 0: none was heard of yet
        template <typename Archive>
        void serialize(Archive& archive) {
            archive(writer, notice.sentMs, notice.leasesExpiredMs, successor);
        }
    };
    std::map<HostIndex, StoredNotice> notices_;  // by the host that wrote it
};

}  // namespace wingproxy::fleet
