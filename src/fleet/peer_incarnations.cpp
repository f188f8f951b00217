#include "fleet/peer_incarnations.h"

namespace wingproxy::fleet {

IncarnationStatus PeerIncarnations::observe(HostIndex peer, Incarnation incarnation, Micros now) {
    Peer& known = peers_.try_emplace(peer, Peer{incarnation, now}).first->second;
    const bool isEarlier = isBefore(incarnation, known.incarnation);
    if (isEarlier && now - known.lastSeenAt < kStaleIncarnationPeriod) return IncarnationStatus::Stale;
    const bool isNew = known.incarnation != incarnation;
    known = {incarnation, now};
    return isNew ? IncarnationStatus::New : IncarnationStatus::Known;
}

bool PeerIncarnations::isCurrent(HostIndex peer, Incarnation incarnation) const {
    const auto it = peers_.find(peer);
    return it != peers_.end() && it->second.incarnation == incarnation;
}

}  // namespace wingproxy::fleet
