/// \file
/// Collects the records for each peer, so that those of one batch share a datagram.
#pragma once

#include <map>
#include <string>

#include "policy/context.h"
#include "policy/peer_message.h"

namespace wingproxy {

/// Messages to peers that are being written. They leave when the batch ends, or sooner when one is full.
class PeerOutbox {
public:
    /// \param recovery names this process's incarnation in the header of each message
    /// \param maxBytes of one message
    PeerOutbox(Context& context, const fleet::RestartRecovery& recovery, std::size_t maxBytes)
        : context_(context), recovery_(recovery), maxBytes_(maxBytes) {}

    /// Adds a record to the message for a peer; does nothing where hosts may not send each other messages.
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
    /// Sends what was collected, in the order of host numbers.
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
