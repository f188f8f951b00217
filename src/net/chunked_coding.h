/// \file
/// Writes message bodies in the chunked transfer coding (RFC 9112, 7.1). Stateless.
#pragma once

#include <fmt/format.h>

#include <cstddef>
#include <string_view>

#include "net/ring_buffer.h"

namespace wingproxy::net {

/// Upper bound of the bytes that the chunked coding adds to one piece of a body: its size in hexadecimal
/// digits and two line ends.
constexpr std::size_t kMaxChunkOverhead = 16;

/// Ends a chunked body without trailer fields.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Appends a piece of a body to `out`, framed as one chunk if `chunked`. The caller ensures that the piece
/// fits, plus `kMaxChunkOverhead` bytes if chunked.
inline void appendBodyPiece(RingBuffer& out, std::string_view piece, bool chunked) {
    if (chunked) out.append(fmt::format("{:x}\r\n", piece.size()));
    out.append(piece);
    if (chunked) out.append("\r\n");
}

}  // namespace wingproxy::net
