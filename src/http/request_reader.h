/// \file
/// Reads the requests of one client connection from its receive buffer: head, framing rules, and a body that
/// is buffered or, where it is long, streamed.
#pragma once

#include <optional>

#include "http/buffered_body.h"
#include "http/messages.h"
#include "net/byte_budget.h"
#include "net/message_reader.h"

namespace wingproxy::http {

/// Why a head's body cannot be read.
enum class FramingError {
    AmbiguousLength,    ///< a length and chunks, or chunks in HTTP/1.0: the body may hide a second request
    UnsupportedCoding,  ///< a transfer coding other than chunked
};

/// Checks the transfer coding of a request (RFC 9112, 6.1).
std::optional<FramingError> checkFraming(const RequestHead& head);

/// Where the reading of a request stands.
enum class RequestProgress {
    NeedsMore,  ///< no more can be done with what has arrived
    Complete,   ///< head and body are here
    Streaming,  ///< the body is longer than is buffered; see `streamed()`
    Invalid,    ///< it cannot be read; the error says why
};

/// Reads one request after the other; `reset` begins the next. The receive buffer has to outlive it.
class RequestReader {
public:
    /// Beast's parser of the request that is being read.
    using Parser = net::MessageReader<true>::Parser;

    /// \param in the receive buffer; its capacity limits the head
    explicit RequestReader(net::RingBuffer& in) : in_(in) { reset(); }

    /// Forgets the request and begins the next one.
    void reset();

    /// Reads on in the head. \return whether it is complete and has not been reported before
    bool readHead(boost::system::error_code& error);
    /// Whether `readHead` has reported the head of this request.
    bool hasHead() const { return headComplete_; }

    /// Reserves memory for a body that will be buffered. To be called once, with the complete head.
    /// \return false if the budget has not so much left
    bool reserveBody(net::ByteBudget& budget);

    /// Reads on in the body, past the head.
    RequestProgress readBody(boost::system::error_code& error);

    /// How a body that is not buffered is framed, where `readBody` returned Streaming.
    BodyFraming streamed() const;

    /// Moves up to `capacity` bytes of a streamed body to `to`, the buffered part first.
    std::size_t consumeBody(char* to, std::size_t capacity, boost::system::error_code& error);

    /// Whether the announced length alone says that the body will be streamed.
    bool announcesLongBody() const;
    /// Whether the last byte of the request has been parsed.
    bool isComplete() const { return reader_->isComplete(); }
    /// Whether any byte of the request has arrived.
    bool hasBegun() const { return in_.size() > 0 || reader_->hasParsedAny(); }
    /// Whether any byte of the request has been parsed.
    bool hasParsedAny() const { return reader_->hasParsedAny(); }

    /// Gives access to what the head says about the message, as its length.
    const Parser& parser() const { return reader_->parser(); }
    /// The request line and the header fields; valid once `hasHead`.
    const RequestHead& head() const { return reader_->parser().get().base(); }
    /// The buffered part of the body, which `consumeBody` takes first.
    BufferedBody& body() { return body_; }
    /// The buffered part of the body, which `consumeBody` takes first.
    const BufferedBody& body() const { return body_; }

private:
    net::RingBuffer& in_;
    std::optional<net::MessageReader<true>> reader_;
    BufferedBody body_;
    bool headComplete_ = false;
};

}  // namespace wingproxy::http
