// Beast's parser over a ring, the same for requests and answers: whole messages, or bodies piece by piece.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/byte_budget.h"
#include "net/ring_buffer.h"

namespace wingproxy::net {

// A head is at most this long, and never longer than the ring: the parser wants it whole there.
inline std::uint32_t headLimit(const RingBuffer& in) {
    return std::uint32_t(std::min<std::size_t>(8 * 1024, in.capacity()));
}

// False: no more can be done with the bytes that are there; the error says so where they cannot be read.
template <typename Parser>
bool step(Parser& parser, RingBuffer& in, boost::system::error_code& error) {
    // An eager parser loses the error of a length over the limit where the body's first bytes are there.
    parser.eager(parser.is_header_done());
    const auto used = parser.put(in.data(), error);
    in.consume(used);
    if (error != boost::beast::http::error::need_more) return !error;
    error = {};
    return used > 0;
}

// A piece of a body for the other side; in chunks it takes up to kFrame bytes besides.
constexpr std::size_t kFrame = 16;
inline void putPiece(RingBuffer& out, std::string_view piece, bool chunked) {
    if (chunked) out.put(fmt::format("{:x}\r\n", piece.size()));
    out.put(piece);
    if (chunked) out.put("\r\n");
}

// A message whose body is taken out in pieces of any size, as far as its bytes are in the ring.
template <bool isRequest>
class MessageReader {
public:
    using Parser = boost::beast::http::parser<isRequest, boost::beast::http::buffer_body>;
    MessageReader(const RingBuffer& in, std::size_t mostBody) {
        parser_.header_limit(headLimit(in));
        parser_.body_limit(mostBody);
    }
    // Reads on in the head; true once it is whole.
    bool head(RingBuffer& in, boost::system::error_code& error) {
        while (in.size() > 0 && !parser_.is_header_done() && step(parser_, in, error)) {}
        return !error && parser_.is_header_done();
    }
    // Moves up to n bytes of the body to where they are wanted. 0: no more are here, or the error says why.
    std::size_t body(RingBuffer& in, char* to, std::size_t n, boost::system::error_code& error) {
        auto& body = parser_.get().body();
        body.data = to;
        body.size = n;
        body.more = true;
        parser_.eager(true);
        while (in.size() > 0 && body.size > 0 && !parser_.is_done()) {
            const auto used = parser_.put(in.data(), error);
            in.consume(used);
            const bool full = error == boost::beast::http::error::need_buffer;
            const bool short_ = error == boost::beast::http::error::need_more;
            if (full || short_) error = {};
            if (error || full || (short_ && used == 0)) break;
        }
        // The end may hide behind the last byte: a length of which nothing is left, a last chunk.
        const auto moved = n - body.size;
        body.data = nullptr;
        body.size = 0;
        return moved;
    }
    // Adds what is here of the body, until the text is longer than that.
    void append(RingBuffer& in, std::string& to, std::size_t most, boost::system::error_code& error) {
        char piece[16 * 1024];
        for (auto n = sizeof piece; n == sizeof piece && to.size() <= most && !error;) {
            n = body(in, piece, sizeof piece, error);
            to.append(piece, n);
        }
    }
    // The other side closed, which ends a body without a length.
    void ended(boost::system::error_code& error) { parser_.put_eof(error); }
    bool done() const { return parser_.is_done(); }
    bool gotSome() const { return parser_.got_some(); }
    const Parser& parser() const { return parser_; }
    Parser& parser() { return parser_; }

private:
    Parser parser_;
};

// Room for the body that a whole head announces: its length, or all that may come where none is told.
template <typename Parser>
ByteBudget::Hold holdBody(Parser& parser, ByteBudget& budget, std::size_t most) {
    const auto length = parser.content_length();
    return budget.take(length ? std::size_t(*length) : parser.is_done() ? 0 : most);
}

}  // namespace wingproxy::net
