/// \file
/// Incremental HTTP/1.x parsing from a ring buffer, for requests and responses alike. Beast's parser is fed
/// from the ring, and bodies are read in pieces.
#pragma once

#include <algorithm>
#include <array>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>

#include "net/byte_budget.h"
#include "net/ring_buffer.h"

namespace wingproxy::net {

/// The longest message head, in bytes: 8 KiB, but never more than the ring, as the parser needs the complete
/// head there.
inline std::uint32_t headLimit(const RingBuffer& in) {
    constexpr std::size_t kMaxHeadBytes = std::size_t{8} * 1024;
    return std::uint32_t(std::min<std::size_t>(kMaxHeadBytes, in.capacity()));
}

/// The most header fields of a message. Each costs far more memory than the few bytes that it may have.
constexpr std::size_t kMaxFields = 100;

/// The number of complete lines in `in`, up to the first empty one, which ends a head.
inline std::size_t countHeadLines(const RingBuffer& in) {
    std::size_t lines = 0;
    bool isLineEmpty = true;
    for (const std::string_view part : in.newest(in.size())) {
        for (const char byte : part) {
            if (byte == '\n') {
                if (isLineEmpty) return lines;
                ++lines;
                isLineEmpty = true;
            } else if (byte != '\r') {
                isLineEmpty = false;
            }
        }
    }
    return lines;
}

/// Feeds the bytes of `in` to `parser` once and consumes those that the parser used.
/// \param error set if the bytes are no valid message
/// \return false if nothing more can be parsed from the bytes received so far
template <typename Parser>
bool parseAvailable(Parser& parser, RingBuffer& in, boost::system::error_code& error) {
    // An eager parser does not report a length over the limit if the body's first bytes are in the buffer
    // already.
    parser.eager(parser.is_header_done());
    const auto used = parser.put(in.data(), error);
    in.consume(used);
    if (error != boost::beast::http::error::need_more) return !error;
    error = {};
    return used > 0;
}

/// Reads one message: first its head, then its body in pieces of any size, as far as the ring holds its
/// bytes.
template <bool isRequest>
class MessageReader {
public:
    /// Beast's parser, which writes the body to a buffer of the caller.
    using Parser = boost::beast::http::parser<isRequest, boost::beast::http::buffer_body>;

    /// \param in the ring from which the message will be read; its capacity limits the head
    /// \param maxBodyBytes a longer body is an error
    MessageReader(const RingBuffer& in, std::size_t maxBodyBytes) {
        parser_.header_limit(headLimit(in));
        parser_.body_limit(maxBodyBytes);
    }

    /// Continues reading the head.
    /// \return true once the head is complete
    bool readHead(RingBuffer& in, boost::system::error_code& error) {
        if (!parser_.is_header_done()) checkFieldCount(in, error);
        while (!error && in.size() > 0 && !parser_.is_header_done() && parseAvailable(parser_, in, error)) {}
        return !error && parser_.is_header_done();
    }

    /// Moves up to `count` bytes of the body to `to`.
    /// \return the number of bytes moved; 0 if none has arrived, the body is complete or `error` is set
    std::size_t readBody(RingBuffer& in, char* to, std::size_t count, boost::system::error_code& error) {
        auto& body = parser_.get().body();
        body.data = to;
        body.size = count;
        body.more = true;
        parser_.eager(true);
        // Continues until the parser is done, even if all bytes of the body have been read: the end of the
        // message may follow them, as the last chunk does.
        while (in.size() > 0 && body.size > 0 && !parser_.is_done() && parseBodyBytes(in, error)) {}
        const auto moved = count - body.size;
        body.data = nullptr;
        body.size = 0;
        return moved;
    }

    /// Appends the received part of the body to `to`; stops once `to` is longer than `maxBytes`.
    void appendBody(RingBuffer& in, std::string& to, std::size_t maxBytes, boost::system::error_code& error) {
        // Zeroing 16 KiB on each call would cost more than reading a short body.
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init): only bytes that readBody() wrote are read
        std::array<char, std::size_t{16} * 1024> piece;
        auto count = piece.size();
        while (count == piece.size() && to.size() <= maxBytes && !error) {
            count = readBody(in, piece.data(), piece.size(), error);
            to.append(piece.data(), count);
        }
    }

    /// The sender closed its side, which ends a body without a length.
    /// \param error set if the message is incomplete
    void onEndOfStream(boost::system::error_code& error) { parser_.put_eof(error); }
    /// Whether head and body are complete.
    bool isComplete() const { return parser_.is_done(); }
    /// Whether any byte of the message has been read.
    bool hasParsedAny() const { return parser_.got_some(); }
    /// The parser, for access to the head.
    const Parser& parser() const { return parser_; }
    /// The same for functions of Beast that are not const, such as `content_length()`.
    Parser& parser() { return parser_; }

private:
    // The parser has no such limit, and takes each line of a head as soon as it has arrived.
    void checkFieldCount(const RingBuffer& in, boost::system::error_code& error) {
        auto& fields = parser_.get();
        const auto parsed = std::size_t(std::distance(fields.begin(), fields.end()));
        constexpr std::size_t kStartLine = 1;
        if (parsed + countHeadLines(in) <= kMaxFields + kStartLine) return;
        fields.clear();
        error = boost::beast::http::error::header_limit;
    }

    // Returns false if the parser needs another buffer or more bytes, or has found an error.
    bool parseBodyBytes(RingBuffer& in, boost::system::error_code& error) {
        const auto used = parser_.put(in.data(), error);
        in.consume(used);
        if (error == boost::beast::http::error::need_buffer) {
            error = {};
            return false;
        }
        if (error == boost::beast::http::error::need_more) {
            error = {};
            return used > 0;
        }
        return !error;
    }

    Parser parser_;
};

/// Reserves memory for the body that a complete head announces.
/// \param maxBytes the number of bytes to reserve if the head names no length
/// \return null if the budget does not have that much left
template <typename Parser>
ByteBudget::Reservation reserveBody(Parser& parser, ByteBudget& budget, std::size_t maxBytes) {
    if (const auto length = parser.content_length()) return budget.reserve(std::size_t(*length));
    return budget.reserve(parser.is_done() ? 0 : maxBytes);
}

}  // namespace wingproxy::net
