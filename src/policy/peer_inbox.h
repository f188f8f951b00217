/// \file
/// Reads the datagrams of peers.
#pragma once

#include <vector>

#include "policy/context.h"
#include "policy/peer_message.h"

namespace wingproxy {

/// What a datagram holds, and whether its sender runs anew.
struct PeerDatagram {
    bool isAccepted = false;       ///< false: malformed, or of an incarnation that is over
    bool senderRestarted = false;  ///< the sender knows nothing of what its earlier process did
    std::vector<peer::Record> records;
};

/// Tells the datagrams of lease recovery, which it hands to `fleet::RestartRecovery`, from those of the
/// policy.
class PeerInbox {
public:
    /// Replies of lease recovery become actions of the batch; both must outlive the object.
    PeerInbox(Context& context, fleet::RestartRecovery& recovery) : context_(context), recovery_(recovery) {}

    /// Reads a datagram, and answers it where it belongs to lease recovery. One from this host itself, or
    /// from no host, is not accepted.
    PeerDatagram receive(const PeerMessageReceived& event) {
        using fleet::IncarnationStatus;
        PeerDatagram datagram;
        const Settings& settings = context_.settings;
        if (event.from == settings.hostIndex || !event.from.isBelow(settings.hostCount)) return datagram;
        fleet::RestartRecovery::DatagramResult result;
        if (fleet::isRecoveryDatagram(event.bytes)) {
            result = recovery_.handleDatagram(event.from, event.bytes, context_.now);
        } else if (auto message = peer::decode(event.bytes)) {
            datagram.records = std::move(message->records);
            const auto incarnation = std::uint32_t(message->incarnation);
            result.status = recovery_.observeIncarnation(event.from, incarnation, context_.now);
        } else {
            recovery_.countMalformed();
            return datagram;
        }
        datagram.isAccepted = result.status != IncarnationStatus::Stale;
        datagram.senderRestarted = result.status == IncarnationStatus::New;
        if (datagram.isAccepted)
            for (const auto& reply : result.replies)
                context_.emit(SendPeerMessage{reply.to, reply.bytes});
        return datagram;
    }

private:
    Context& context_;
    fleet::RestartRecovery& recovery_;
};

}  // namespace wingproxy
