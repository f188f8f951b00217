// Tests of reading a node's response: interim responses, and how the end of a response is found.
#include "net/response_reader.h"

#include <doctest/doctest.h>

#include "net/reader_support.h"

using namespace wingproxy;
using test::ringWith;

namespace {

constexpr std::size_t kMaxBody = 64;

// Reads a response as far as `text` goes.
struct ReadResponse {
    explicit ReadResponse(std::string_view text) : in(ringWith(text)), reader(in, kMaxBody) {
        headComplete = reader.readHead(in, error);
        if (headComplete) reader.appendBody(in, body, kMaxBody, error);
    }
    unsigned status() const { return reader.parser().get().result_int(); }

    net::RingBuffer in;
    net::ResponseReader reader;
    boost::system::error_code error;
    std::string body;
    bool headComplete = false;
};

}  // namespace

TEST_CASE(
    "response reader: a response with a length is complete with its last byte, and keeps the connection") {
    ReadResponse response("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
    CHECK(response.status() == 200);
    CHECK(response.body == "abc");
    CHECK(response.reader.isComplete());
    CHECK(response.reader.keepAlive());
}

TEST_CASE("response reader: a chunked response is complete with its last chunk") {
    ReadResponse response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    CHECK(response.body == "abc");
    CHECK(response.reader.isComplete());
    CHECK(response.reader.keepAlive());
}

TEST_CASE("response reader: interim responses are skipped") {
    ReadResponse response(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    CHECK(response.headComplete);
    CHECK(response.status() == 503);
    CHECK(response.reader.isComplete());
}

TEST_CASE("response reader: an interim response alone does not complete the head") {
    ReadResponse response("HTTP/1.1 100 Continue\r\n\r\n");
    CHECK(!response.headComplete);
    CHECK(!response.error);
    CHECK(!response.reader.hasParsedAny());
    CHECK(!response.reader.isComplete());
}

TEST_CASE("response reader: 101 is a final response, as it ends HTTP on the connection") {
    ReadResponse response("HTTP/1.1 101 Switching Protocols\r\n\r\n");
    CHECK(response.headComplete);
    CHECK(response.status() == 101);
}

TEST_CASE("response reader: eight interim responses are skipped, and the ninth is read as the final one") {
    std::string text;
    for (int i = 0; i < 8; ++i)
        text += "HTTP/1.1 100 Continue\r\n\r\n";
    ReadResponse eight(text + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK(eight.status() == 200);
    ReadResponse nine(text + "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK(nine.headComplete);
    CHECK(nine.status() == 100);
}

TEST_CASE("response reader: the node's close completes a body without length and chunks") {
    ReadResponse response("HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK(!response.reader.isComplete());
    response.reader.onEndOfStream(response.error);
    CHECK(!response.error);
    CHECK(response.body == "abc");
    CHECK(response.reader.isComplete());
    CHECK(!response.reader.keepAlive());
}

TEST_CASE("response reader: the node's close truncates a body that is shorter than its length") {
    ReadResponse response("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    response.reader.onEndOfStream(response.error);
    CHECK(response.error);
    CHECK(!response.reader.isComplete());
}

TEST_CASE("response reader: the node's close truncates a chunked body without its last chunk") {
    ReadResponse response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    response.reader.onEndOfStream(response.error);
    CHECK(response.error);
}

TEST_CASE("response reader: a close before any byte is no error of the response") {
    ReadResponse response("");
    response.reader.onEndOfStream(response.error);
    CHECK(!response.error);
    CHECK(!response.reader.hasParsedAny());
    CHECK(!response.reader.isComplete());
}

TEST_CASE("response reader: a response with \"Connection: close\" does not keep the connection") {
    ReadResponse response("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    CHECK(response.reader.isComplete());
    CHECK(!response.reader.keepAlive());
}

TEST_CASE("response reader: a length above the body limit is an error") {
    ReadResponse response("HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\nabc");
    CHECK(response.error == boost::beast::http::error::body_limit);
}
