// Reading requests from a receive buffer.
#include "http/request_reader.h"

#include <doctest/doctest.h>

using namespace wingproxy;
using http::RequestProgress;

namespace {

// A reader and its receive buffer.
struct Fixture {
    void receive(std::string_view text) { REQUIRE(in.append(text) == text.size()); }
    net::RingBuffer in{net::kMaxRingBytes};
    http::RequestReader reader{in};
    boost::system::error_code error;
};

http::RequestHead head(unsigned version, const char* coding, const char* length = "") {
    http::RequestHead head;
    head.version(version);
    if (*coding) head.set("Transfer-Encoding", coding);
    if (*length) head.set("Content-Length", length);
    return head;
}

}  // namespace

TEST_CASE(
    "request framing: Content-Length with chunked coding, or chunked coding in HTTP/1.0, is ambiguous") {
    CHECK(http::checkFraming(head(11, "chunked", "4")) == http::FramingError::AmbiguousLength);
    CHECK(http::checkFraming(head(10, "chunked")) == http::FramingError::AmbiguousLength);
}

TEST_CASE("request framing: chunked is the only transfer coding") {
    CHECK(!http::checkFraming(head(11, "CHUNKED")));
    CHECK(!http::checkFraming(head(11, "", "4")));
    CHECK(http::checkFraming(head(11, "gzip")) == http::FramingError::UnsupportedCoding);
}

TEST_CASE_FIXTURE(Fixture, "request reader: a request that arrives in parts is complete with its last byte") {
    receive("PUT / HTTP/1.1\r\nContent-");
    CHECK(!reader.readHead(error));
    CHECK(reader.hasBegun());
    receive("Length: 3\r\n\r\nab");
    REQUIRE(reader.readHead(error));
    CHECK(reader.readBody(error) == RequestProgress::NeedsMore);
    receive("c");
    CHECK(reader.readBody(error) == RequestProgress::Complete);
    CHECK(!error);
    CHECK(reader.body().releaseBytes() == "abc");
}

TEST_CASE_FIXTURE(Fixture,
                  "request reader: a body with a long Content-Length is streamed before it arrives") {
    receive("PUT / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n");
    REQUIRE(reader.readHead(error));
    CHECK(reader.announcesLongBody());
    REQUIRE(reader.readBody(error) == RequestProgress::Streaming);
    CHECK(!reader.streamedFraming().chunked);
    CHECK(reader.streamedFraming().length == 70'000);
}

TEST_CASE_FIXTURE(Fixture, "request reader: a chunked body is streamed once it exceeds the buffer limit") {
    receive("PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    REQUIRE(reader.readHead(error));
    const std::string piece(1000, 'x');
    auto progress = RequestProgress::NeedsMore;
    std::size_t sent = 0;
    for (; progress == RequestProgress::NeedsMore; sent += piece.size()) {
        receive("3e8\r\n" + piece + "\r\n");
        progress = reader.readBody(error);
    }
    REQUIRE(progress == RequestProgress::Streaming);
    CHECK(sent == 66'000);
    CHECK(reader.streamedFraming().chunked);
    char first[100];
    CHECK(reader.consumeBody(first, sizeof first, error) == sizeof first);
    CHECK(reader.body().size() == sent - sizeof first);
}

TEST_CASE_FIXTURE(Fixture, "request reader: a body with a length has arrived when its last byte has") {
    receive("PUT / HTTP/1.1\r\nContent-Length: 70000\r\n\r\nabc");
    REQUIRE(reader.readHead(error));
    CHECK(!reader.mayHaveArrived(0));
    CHECK(!reader.mayHaveArrived(69'996));
    CHECK(reader.mayHaveArrived(69'997));
    std::array<char, 2> piece{};
    CHECK(reader.consumeBody(piece.data(), piece.size(), error) == 2);
    CHECK(!reader.mayHaveArrived(69'996));
    CHECK(reader.mayHaveArrived(69'997));
}

TEST_CASE_FIXTURE(Fixture, "request reader: a chunked body may have arrived while any byte is not parsed") {
    receive("PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    REQUIRE(reader.readHead(error));
    CHECK(!reader.mayHaveArrived(0));
    CHECK(reader.mayHaveArrived(1));
    receive("5");
    CHECK(reader.mayHaveArrived(0));
}

TEST_CASE_FIXTURE(Fixture, "request reader: a message that cannot be parsed is invalid, and sets the error") {
    receive("PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
    REQUIRE(reader.readHead(error));
    CHECK(reader.readBody(error) == RequestProgress::Invalid);
    CHECK(bool(error));
}

TEST_CASE_FIXTURE(Fixture, "request reader: a body beyond the memory budget gets no reservation") {
    net::ByteBudget budget(2);
    receive("PUT / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
    REQUIRE(reader.readHead(error));
    CHECK(!reader.reserveBody(budget));
}

TEST_CASE_FIXTURE(Fixture, "request reader: after a reset the next request is read") {
    receive("GET /1 HTTP/1.1\r\n\r\n");
    REQUIRE(reader.readHead(error));
    CHECK(reader.readBody(error) == RequestProgress::Complete);
    reader.reset();
    CHECK(!reader.hasBegun());
    CHECK(!reader.hasHead());
    receive("GET /2 HTTP/1.1\r\n\r\n");
    REQUIRE(reader.readHead(error));
    CHECK(reader.head().target() == "/2");
}

TEST_CASE_FIXTURE(Fixture, "request reader: the head's memory is reserved until the message is discarded") {
    net::ByteBudget budget(4096);
    receive("PUT /a HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 3\r\n\r\nabc");
    REQUIRE(reader.readHead(error));
    CHECK(reader.reserveHead(budget));
    const auto reserved = budget.reservedBytes();
    CHECK(reserved > 1024);
    CHECK(reader.reserveHead(budget));  // only once
    CHECK(budget.reservedBytes() == reserved);
    REQUIRE(reader.readBody(error) == RequestProgress::Complete);
    reader.discardMessage();
    CHECK(budget.reservedBytes() == 0);
    CHECK(reader.body().empty());
    CHECK(reader.head().begin() == reader.head().end());
}

TEST_CASE_FIXTURE(Fixture, "request reader: a head beyond the memory budget gets no reservation") {
    net::ByteBudget budget(1024);
    receive("GET /a HTTP/1.1\r\nReq-Id: 1\r\n\r\n");
    REQUIRE(reader.readHead(error));
    CHECK(!reader.reserveHead(budget));
    CHECK(budget.reservedBytes() == 0);
}

TEST_CASE_FIXTURE(Fixture, "request reader: trailers are no part of the head and are not kept") {
    receive(
        "PUT /a HTTP/1.1\r\nReq-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nReq-Id: 2\r\n\r\n");
    REQUIRE(reader.readHead(error));
    REQUIRE(reader.readBody(error) == RequestProgress::Complete);
    CHECK(reader.head().count("Req-Id") == 1);
    CHECK(reader.parser().get().begin() == reader.parser().get().end());
}
