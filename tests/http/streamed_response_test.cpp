// Framing of responses that are passed on while they arrive.
#include "http/streamed_response.h"

#include <doctest/doctest.h>

using namespace wingproxy;
using http::ResponseFraming;
using http::StreamedResponse;

namespace {

// Gives this text once.
http::ClientStream::BodySource once(std::string text) {
    return [text = std::move(text)](char* to, std::size_t capacity) mutable {
        REQUIRE(text.size() <= capacity);
        text.copy(to, text.size());
        return std::exchange(text, "").size();
    };
}

std::string contents(const net::RingBuffer& buffer) {
    std::string all;
    for (const auto& part : buffer.newest(buffer.size()))
        all += part;
    return all;
}

}  // namespace

TEST_CASE("streamed response: a known length is announced, and the pieces are sent as they are") {
    StreamedResponse response({"text/plain", 5}, once("datos"), false);
    CHECK(response.framing() == ResponseFraming::ContentLength);
    CHECK(response.serializeHead(true) ==
          "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n");
    net::RingBuffer out(net::kMinRingBytes);
    response.fill(out);
    CHECK(contents(out) == "datos");
    CHECK(response.terminator().empty());
}

TEST_CASE("streamed response: an unknown length is sent in chunks") {
    StreamedResponse response({"", std::nullopt}, once("datos"), false);
    CHECK(response.framing() == ResponseFraming::Chunked);
    CHECK(response.serializeHead(true) == "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    net::RingBuffer out(net::kMinRingBytes);
    response.fill(out);
    CHECK(contents(out) == "5\r\ndatos\r\n");
    CHECK(response.terminator() == "0\r\n\r\n");
}

TEST_CASE("streamed response: to HTTP/1.0 an unknown length ends with the connection") {
    const StreamedResponse response({"", std::nullopt}, once(""), true);
    CHECK(response.framing() == ResponseFraming::UntilClose);
    CHECK(response.serializeHead(false) == "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    CHECK(response.terminator().empty());
}

TEST_CASE("streamed response: nothing is taken from the source after its end") {
    StreamedResponse response({"", 5}, once("datos"), false);
    response.end();
    net::RingBuffer out(net::kMinRingBytes);
    response.fill(out);
    CHECK(out.size() == 0);
    CHECK(!response.isActive());
}
