/// \file
/// Types of HTTP messages, and the limits of their bodies, that the units of this folder share.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>

namespace wingproxy::http {

/// The request line and the header fields.
using RequestHead = boost::beast::http::request_header<>;
/// A request with a body that is buffered; empty if the body is streamed.
using RequestMessage = boost::beast::http::request<boost::beast::http::string_body>;
/// The status line and the header fields.
using ResponseHead = boost::beast::http::response_header<>;
/// A response with a body that is buffered.
using ResponseMessage = boost::beast::http::response<boost::beast::http::string_body>;

/// Bodies of up to so many bytes are buffered completely; longer ones are streamed through the ring buffers.
constexpr std::size_t kMaxBufferedBody = std::size_t{64} * 1024;

/// Longer bodies are rejected with 413: more than any client of the platform sends, and far below the range
/// of the counters.
constexpr std::size_t kMaxBody = std::size_t{64} * 1024 * 1024;

/// How a request body that is streamed to a node is delimited.
struct BodyFraming {
    bool chunked = false;
    std::uint64_t length = 0;  ///< bytes; meaningless if chunked
};

}  // namespace wingproxy::http
