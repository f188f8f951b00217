/// \file
/// A response that is passed on to the client while it arrives from the node.
#pragma once

#include <string>
#include <string_view>

#include "http/client_stream.h"
#include "net/ring_buffer.h"

namespace wingproxy::http {

/// How the client recognizes the end of a streamed response.
enum class ResponseFraming {
    ContentLength,
    Chunked,     ///< the length is not known
    UntilClose,  ///< nor does HTTP/1.0 have chunks: the end of the connection is the end of the body
};

/// Frames the body pieces of one response. It owns their source until it is replaced.
class StreamedResponse {
public:
    /// \param source gives the body as it comes from the node
    /// \param isHttp10 the client does not know chunks
    StreamedResponse(ClientStream::StreamedHead head, ClientStream::BodySource source, bool isHttp10);

    /// Chosen by the head and the client's version of HTTP.
    ResponseFraming framing() const { return framing_; }
    /// The status line and the header fields.
    std::string serializeHead(bool keepAlive) const;
    /// Moves pieces from the source to `out` while there is space, the source has more, and it is active.
    void fill(net::RingBuffer& out);
    /// Whether the response is neither complete nor aborted.
    bool isActive() const { return active_; }
    /// To be called once, at the end of the body or when the response is aborted; also from within the
    /// source.
    void end() { active_ = false; }
    /// What follows the last piece of a complete body.
    std::string_view trailer() const;

private:
    ClientStream::StreamedHead head_;
    ClientStream::BodySource source_;
    ResponseFraming framing_;
    bool active_ = true;
};

}  // namespace wingproxy::http
