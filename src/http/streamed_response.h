/// \file
/// A response that is forwarded to the client while it arrives from the node.
#pragma once

#include <string>
#include <string_view>

#include "http/client_stream.h"
#include "net/ring_buffer.h"

namespace wingproxy::http {

/// How the end of a streamed response is marked for the client.
enum class ResponseFraming {
    ContentLength,
    Chunked,     ///< the length is unknown
    UntilClose,  ///< the length is unknown and HTTP/1.0 has no chunked coding: the close ends the body
};

/// Serializes one streamed response: its head and the framed pieces of its body. Owns their source.
class StreamedResponse {
public:
    /// \param source supplies the body bytes as they arrive from the node
    /// \param isHttp10 whether the client uses HTTP/1.0, which has no chunked coding
    StreamedResponse(ClientStream::StreamedHead head, ClientStream::BodySource source, bool isHttp10);

    /// The framing, chosen by the head and the client's HTTP version.
    ResponseFraming framing() const { return framing_; }
    /// Serializes the status line and the header fields.
    std::string serializeHead(bool keepAlive) const;
    /// Moves pieces from the source to `out` while there is space, the source has bytes, and the response is
    /// active.
    void fill(net::RingBuffer& out);
    /// Whether the response is neither complete nor aborted.
    bool isActive() const { return active_; }
    /// Call once, at the end of the body or when the response is aborted; may be called from within the
    /// source.
    void end() { active_ = false; }
    /// The bytes that follow the last piece of a complete body: the last chunk, or nothing.
    std::string_view terminator() const;

private:
    ClientStream::StreamedHead head_;
    ClientStream::BodySource source_;
    ResponseFraming framing_;
    bool active_ = true;
};

}  // namespace wingproxy::http
