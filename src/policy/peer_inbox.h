/// \file
/// Decodes the datagrams of peers.
#pragma once

#include <vector>

#include "policy/context.h"
#include "policy/peer_message.h"

namespace wingproxy {

/// The contents of a datagram, and whether its sender has restarted.
struct PeerDatagram {
    bool isAccepted = false;  ///< false: malformed, not from a peer, or from an earlier incarnation
    bool senderRestarted =
        false;  ///< first datagram of a new incarnation, which does not know the earlier state
    std::vector<peer::Record> records;
};

/// Passes the datagrams of lease recovery to `fleet::RestartRecovery` and decodes those of the policy.
class PeerInbox {
public:
    /// \param context gets the replies of lease recovery as actions; both must outlive the object
    PeerInbox(Context& context, fleet::RestartRecovery& recovery) : context_(context), recovery_(recovery) {}

    /// Decodes a datagram, or answers it if it belongs to lease recovery. Datagrams from this host itself or
    /// from an unknown host index are not accepted.
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
