// Framing of responses that are forwarded while they arrive.
#include "http/streamed_response.h"

#include <doctest/doctest.h>

using namespace wingproxy;
using http::ResponseFraming;
using http::StreamedResponse;

namespace {

// A source that supplies the text in one piece, then nothing.
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

TEST_CASE("streamed response: with a known length the pieces are sent without chunk framing") {
    StreamedResponse response({"text/plain", 5}, once("datos"), false);
    CHECK(response.framing() == ResponseFraming::ContentLength);
    CHECK(response.serializeHead(true) ==
          "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n");
    net::RingBuffer out(net::kMinRingBytes);
    response.fill(out);
    CHECK(contents(out) == "datos");
    CHECK(response.terminator().empty());
}

TEST_CASE("streamed response: a body of unknown length is sent in chunks") {
    StreamedResponse response({"", std::nullopt}, once("datos"), false);
    CHECK(response.framing() == ResponseFraming::Chunked);
    CHECK(response.serializeHead(true) == "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    net::RingBuffer out(net::kMinRingBytes);
    response.fill(out);
    CHECK(contents(out) == "5\r\ndatos\r\n");
    CHECK(response.terminator() == "0\r\n\r\n");
}

TEST_CASE("streamed response: for HTTP/1.0 a body of unknown length ends with the connection") {
    const StreamedResponse response({"", std::nullopt}, once(""), true);
    CHECK(response.framing() == ResponseFraming::UntilClose);
    CHECK(response.serializeHead(false) == "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    CHECK(response.terminator().empty());
}

TEST_CASE("streamed response: nothing is read from the source after the response has ended") {
    StreamedResponse response({"", 5}, once("datos"), false);
    response.end();
    net::RingBuffer out(net::kMinRingBytes);
    response.fill(out);
    CHECK(out.size() == 0);
    CHECK(!response.isActive());
}
