// Tests of writing bodies in the chunked transfer coding.
#include "net/chunked_coding.h"

#include <doctest/doctest.h>

#include <string>

using namespace wingproxy;

TEST_CASE("chunked coding: a piece is framed as one chunk only if requested") {
    net::RingBuffer out(64);
    net::appendBodyPiece(out, "0123456789abcdef", true);
    net::appendBodyPiece(out, "plain", false);
    const auto parts = out.newest(out.size());
    CHECK(std::string(parts[0]) == "10\r\n0123456789abcdef\r\nplain");
}

TEST_CASE("chunked coding: the overhead of the longest piece is within its bound") {
    net::RingBuffer out(net::kMaxRingBytes);
    const std::string piece(net::kMaxRingBytes - net::kMaxChunkOverhead, 'x');
    net::appendBodyPiece(out, piece, true);
    CHECK(out.size() > piece.size());
    CHECK(out.size() - piece.size() <= net::kMaxChunkOverhead);
    CHECK(out.newest(2)[0] == "\r\n");
}
