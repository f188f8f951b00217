/// \file
/// HTTP message types and body size limits shared by the files of this folder.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>

#include "net/ring_buffer.h"

namespace wingproxy::http {

/// The request line and the header fields.
using RequestHead = boost::beast::http::request_header<>;
/// A request with its buffered body, which is empty if the body is streamed.
using RequestMessage = boost::beast::http::request<boost::beast::http::string_body>;
/// The status line and the header fields.
using ResponseHead = boost::beast::http::response_header<>;
/// A response with its buffered body.
using ResponseMessage = boost::beast::http::response<boost::beast::http::string_body>;

/// Bodies up to this size in bytes are buffered completely; longer ones are streamed through the ring
/// buffers.
constexpr std::size_t kMaxBufferedBody = std::size_t{64} * 1024;

/// The memory in bytes of a buffered body whose length is not known before: its last piece may exceed the
/// limit.
constexpr std::size_t kBufferedBodyMemory = kMaxBufferedBody + net::kMaxRingBytes;

/// The maximum body size in bytes; a longer request is rejected with 413, and a longer response is a reset.
/// It is more than any client of the platform sends, and far below the range of the counters.
constexpr std::size_t kMaxBody = std::size_t{64} * 1024 * 1024;

/// How the end of a streamed request body is marked on the connection to the node.
struct BodyFraming {
    bool chunked = false;
    std::uint64_t length = 0;  ///< bytes; meaningless if chunked
};

}  // namespace wingproxy::http
