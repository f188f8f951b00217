// Helpers shared by the tests of this folder: long requests and blocking reads.
#pragma once

#include <string>

#include "support/net_support.h"

namespace wingproxy::test {

// The Req-Id for a number: 16 hexadecimal digits.
inline std::string id(int number) { return fmt::format("{:016x}", number); }

// Exceeds kMaxBufferedBody, so it is streamed.
inline const std::string kLongBody(200'000, 'x');

// The head of a PUT; the caller sends the body. `framing` is the header line that announces it.
inline std::string streamedPut(std::string_view framing, const std::string& id = "9b1f03aa5c7e2d41",
                               int deadlineMs = 3000, std::string_view fields = "",
                               std::string_view version = "1.1") {
    return fmt::format(
        "PUT /api HTTP/{}\r\nReq-Id: {}\r\nReq-Kind: alta\r\nTier: prioritario\r\nIdempotency-Key: k\r\n"
        "Cookie: key=7f3a9c21e0b4d655\r\nReq-Deadline-Ms: {}\r\n{}{}"
        "IO-Info: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n\r\n",
        version, id, deadlineMs, fields, framing);
}

// Reads until the connection ends; returns eof after a FIN, or the error of a reset.
inline boost::system::error_code readToEnd(tcp::socket& socket, std::string& got) {
    boost::system::error_code error;
    socket.non_blocking(false);
    asio::read(socket, asio::dynamic_buffer(got), error);
    return error;
}

}  // namespace wingproxy::test
