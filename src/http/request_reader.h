/// \file
/// Reads the requests of one client connection from its receive buffer: the head, the body's framing, and a
/// body that is buffered or, if it is long, streamed.
#pragma once

#include <optional>
#include <utility>

#include "http/buffered_body.h"
#include "http/messages.h"
#include "net/byte_budget.h"
#include "net/message_reader.h"

namespace wingproxy::http {

/// Why a request's body cannot be read.
enum class FramingError {
    AmbiguousLength,    ///< Content-Length and chunks, or chunks in HTTP/1.0: allows request smuggling
    UnsupportedCoding,  ///< a transfer coding other than chunked
};

/// Checks the transfer coding of a request (RFC 9112, 6.1). Returns nothing if the body can be read.
std::optional<FramingError> checkFraming(const RequestHead& head);

/// The progress of reading a request.
enum class RequestProgress {
    NeedsMore,  ///< the bytes that have arrived are parsed, and more are needed
    Complete,   ///< head and body are complete
    Streaming,  ///< the body exceeds `kMaxBufferedBody`; see `streamedFraming()`
    Invalid,    ///< the request cannot be parsed; the error says why
};

/// Reads requests one after the other; `reset` begins the next. The receive buffer has to outlive it.
class RequestReader {
public:
    /// Beast's parser of the current request.
    using Parser = net::MessageReader<true>::Parser;

    /// \param in the receive buffer, whose capacity limits the size of the head
    explicit RequestReader(net::RingBuffer& in) : in_(in) { reset(); }

    /// Discards the current request's state and begins the next request.
    void reset();

    /// Continues reading the head.
    /// \return true once per request, when the head is complete
    bool readHead(boost::system::error_code& error);
    /// Whether `readHead` has returned true for this request.
    bool hasHead() const { return headComplete_; }

    /// Reserves memory for the head, and for what the engine holds for a request. Call after the head is
    /// complete; does nothing if it is reserved already.
    /// \return false if the budget has too little memory left
    bool reserveHead(net::ByteBudget& budget);
    /// Transfers the head's reservation to the caller, who takes the head over.
    net::ByteBudget::Reservation releaseHeadReservation() { return std::exchange(headReservation_, nullptr); }
    /// Drops the head and the buffered body, and their reservations. Only the framing is still known.
    void discardMessage();

    /// Reserves memory for a body that will be buffered. Call once, after the head is complete.
    /// \return false if the budget has too little memory left
    bool reserveBody(net::ByteBudget& budget);

    /// Continues reading the body, after the head.
    RequestProgress readBody(boost::system::error_code& error);

    /// The framing of a streamed body, after `readBody` returned Streaming.
    BodyFraming streamedFraming() const;

    /// Moves up to `capacity` bytes of a streamed body to `to`, the buffered part first.
    std::size_t consumeBody(char* to, std::size_t capacity, boost::system::error_code& error);

    /// Whether the Content-Length exceeds `kMaxBufferedBody`, so that the body will be streamed.
    bool announcesLongBody() const;
    /// Whether the last byte of the request may have arrived. Exact if the body has a length; a chunked body
    /// may end with any byte that was not parsed yet.
    /// \param unreadBytes bytes that have arrived and are not in the receive buffer yet
    bool mayHaveArrived(std::size_t unreadBytes) const;
    /// Whether the last byte of the request has been parsed.
    bool isComplete() const { return reader_->isComplete(); }
    /// Whether any byte of the request has arrived.
    bool hasBegun() const { return in_.size() > 0 || reader_->hasParsedAny(); }
    /// Whether any byte of the request has been parsed.
    bool hasParsedAny() const { return reader_->hasParsedAny(); }

    /// The parser, for properties of the message such as its length.
    const Parser& parser() const { return reader_->parser(); }
    /// The request line and the header fields; valid once `hasHead`, until `takeHead` or `discardMessage`.
    const RequestHead& head() const { return head_; }
    /// Moves the head out. Trailers are no part of it.
    RequestHead takeHead() { return std::exchange(head_, RequestHead()); }
    /// The buffered part of the body, which `consumeBody` consumes first.
    BufferedBody& body() { return body_; }
    /// The buffered part of the body, which `consumeBody` consumes first.
    const BufferedBody& body() const { return body_; }

private:
    net::RingBuffer& in_;
    std::optional<net::MessageReader<true>> reader_;
    void discardTrailers();

    RequestHead head_;
    net::ByteBudget::Reservation headReservation_;
    BufferedBody body_;
    bool headComplete_ = false;
};

}  // namespace wingproxy::http
