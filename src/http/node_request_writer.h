/// \file
/// Puts one request into the send buffer of a connection to a node: its text, then the pieces of a body that
/// the client streams. Owns the text; the buffer is the connection's.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "http/client_stream.h"
#include "http/messages.h"
#include "net/ring_buffer.h"

namespace wingproxy::http {

/// Fills a send buffer as it drains. Single-threaded; does no I/O.
class NodeRequestWriter {
public:
    /// What ended a call of `fill()`.
    enum class Progress {
        BufferFull,    ///< more follows when a part of the buffer is written
        AwaitingBody,  ///< the client has to send more of the body first, or is gone
        Complete,      ///< the last byte of the request is in the buffer
        Stopped,       ///< `stop()` was called
    };

    /// \param text the complete request, or only its head if the body is streamed
    /// \param streamed the framing of a body that `client` streams
    NodeRequestWriter(std::string text, std::optional<BodyFraming> streamed,
                      std::weak_ptr<ClientStream> client);

    /// Moves as much as fits to `out`. Takes the client's body bytes, which may end the attempt, and with it
    /// call `stop()`, before this returns.
    Progress fill(net::RingBuffer& out);

    /// Whether a part of the streamed body was taken from the client: no other attempt can send it.
    bool hasConsumedBody() const { return bodyConsumed_; }

    /// The attempt is over: no more is taken from the client.
    void stop() { stopped_ = true; }

private:
    bool queueText(net::RingBuffer& out);
    std::optional<Progress> queueBodyPiece(ClientStream& client, net::RingBuffer& out);
    Progress queueBodyEnd(net::RingBuffer& out);

    std::string text_;
    std::size_t textQueued_ = 0;  // bytes of the text that are in the buffer, or were
    std::optional<BodyFraming> streamed_;
    std::weak_ptr<ClientStream> client_;
    bool complete_ = false;
    bool bodyConsumed_ = false;
    bool stopped_ = false;
};

}  // namespace wingproxy::http
