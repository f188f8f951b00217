/// \file
/// Writes one request to the send buffer of a node connection: the serialized text, then the pieces of a body
/// that the client streams. Owns the text, but not the buffer.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "http/client_stream.h"
#include "http/messages.h"
#include "net/ring_buffer.h"

namespace wingproxy::http {

/// Refills a send buffer each time it has drained. Single-threaded; does no I/O.
class NodeRequestWriter {
public:
    /// Why a call of `fill()` returned.
    enum class Progress {
        BufferFull,    ///< call again once a part of the buffer has been sent
        AwaitingBody,  ///< the client has to send more of the body first, or has disconnected
        Complete,      ///< the last byte of the request is in the buffer
        Stopped,       ///< `stop()` was called
    };

    /// \param head the text of the request's head
    /// \param message has the body that follows the head, unless it is streamed
    /// \param streamed the framing of a body that `client` streams
    NodeRequestWriter(std::string head, std::shared_ptr<const RequestMessage> message,
                      std::optional<BodyFraming> streamed, std::weak_ptr<ClientStream> client);

    /// Moves as much as fits to `out`. Consuming the client's body bytes may end the attempt, which calls
    /// `stop()` before this returns.
    Progress fill(net::RingBuffer& out);

    /// Whether a part of the streamed body has been consumed, so that no other attempt can send it.
    bool hasConsumedBody() const { return bodyConsumed_; }

    /// Called when the attempt ends: no more of the body is consumed.
    void stop() { stopped_ = true; }

private:
    bool queueHead(net::RingBuffer& out);
    bool queueBufferedBody(net::RingBuffer& out);
    std::optional<Progress> queueBodyPiece(ClientStream& client, net::RingBuffer& out);
    Progress queueBodyEnd(net::RingBuffer& out);

    std::string head_;
    std::size_t headQueued_ = 0;  // bytes of the head that have been written to the buffer
    std::shared_ptr<const RequestMessage> message_;
    std::size_t bodyQueued_ = 0;  // bytes of the message's body that have been written to the buffer
    std::optional<BodyFraming> streamed_;
    std::weak_ptr<ClientStream> client_;
    bool complete_ = false;
    bool bodyConsumed_ = false;
    bool stopped_ = false;
};

}  // namespace wingproxy::http
