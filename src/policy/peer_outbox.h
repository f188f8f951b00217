/// \file
/// Collects the records for each peer, so that those of one batch share datagrams.
#pragma once

#include <map>
#include <string>

#include "policy/context.h"
#include "policy/peer_message.h"

namespace wingproxy {

/// The messages to peers that are being assembled. A message is sent when it is full, or at the end of the
/// batch.
class PeerOutbox {
public:
    /// \param recovery gives this process's incarnation, which is in the header of each message
    /// \param maxBytes size limit of a message; all references must outlive the object
    PeerOutbox(Context& context, const fleet::RestartRecovery& recovery, std::size_t maxBytes)
        : context_(context), recovery_(recovery), maxBytes_(maxBytes) {}

    /// Adds a record to the message for a peer. Does nothing if gossip is disabled or there are no peers.
    void send(HostIndex to, const peer::Record& record) {
        if (!context_.settings.mayGossip || context_.settings.hostCount <= 1) return;
        std::string encoded;
        peer::append(encoded, record);
        std::string& message = messages_[to];
        if (message.size() + encoded.size() > maxBytes_)
            context_.emit(SendPeerMessage{to, std::exchange(message, {})});
        if (message.empty()) message = peer::header(recovery_.incarnation());
        message += encoded;
    }
    /// Sends the collected messages, in the order of host indices.
    void flush() {
        for (auto& [to, bytes] : messages_)
            context_.emit(SendPeerMessage{to, std::move(bytes)});
        messages_.clear();
    }

private:
    Context& context_;
    const fleet::RestartRecovery& recovery_;
    std::size_t maxBytes_;
    std::map<HostIndex, std::string> messages_;  // by recipient
};

}  // namespace wingproxy
