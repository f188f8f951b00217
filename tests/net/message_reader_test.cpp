// Tests of incremental parsing of HTTP messages from a ring buffer.
#include "net/message_reader.h"

#include <doctest/doctest.h>

#include "net/reader_support.h"

using namespace wingproxy;
using test::ringWith;

namespace {

constexpr std::size_t kMaxBody = 64;

}  // namespace

TEST_CASE("message reader: the head limit is 8 KiB, or the ring's capacity where that is less") {
    CHECK(net::headLimit(net::RingBuffer(16 * 1024)) == 8 * 1024);
    CHECK(net::headLimit(net::RingBuffer(4 * 1024)) == 4 * 1024);
}

TEST_CASE("message reader: a head that arrives in parts is complete with its last byte") {
    net::RingBuffer in(1024);
    net::MessageReader<true> reader(in, kMaxBody);
    boost::system::error_code error;
    in.append("GET / HTTP/1.1\r\nHost: a\r\n");
    CHECK(!reader.readHead(in, error));
    CHECK(reader.hasParsedAny());
    in.append("\r\n");
    CHECK(reader.readHead(in, error));
    CHECK(!error);
    CHECK(reader.isComplete());
}

TEST_CASE("message reader: a body is read in pieces of the requested size") {
    auto in = ringWith("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde");
    net::MessageReader<true> reader(in, kMaxBody);
    boost::system::error_code error;
    REQUIRE(reader.readHead(in, error));
    std::array<char, 3> piece{};
    CHECK(reader.readBody(in, piece.data(), piece.size(), error) == 3);
    CHECK(std::string_view(piece.data(), 3) == "abc");
    CHECK(!reader.isComplete());
    CHECK(reader.readBody(in, piece.data(), piece.size(), error) == 2);
    CHECK(std::string_view(piece.data(), 2) == "de");
    CHECK(!error);
    CHECK(reader.isComplete());
}

TEST_CASE("message reader: the body of a chunked message is read without its framing") {
    auto in = ringWith(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    net::MessageReader<true> reader(in, kMaxBody);
    boost::system::error_code error;
    REQUIRE(reader.readHead(in, error));
    std::string body;
    reader.appendBody(in, body, kMaxBody, error);
    CHECK(body == "abcde");
    CHECK(!error);
    CHECK(reader.isComplete());
    CHECK(in.size() == 0);
}

TEST_CASE("message reader: reading a body before its bytes have arrived returns none and no error") {
    auto in = ringWith("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n");
    net::MessageReader<true> reader(in, kMaxBody);
    boost::system::error_code error;
    REQUIRE(reader.readHead(in, error));
    char byte = 0;
    CHECK(reader.readBody(in, &byte, 1, error) == 0);
    CHECK(!error);
    CHECK(!reader.isComplete());
}

TEST_CASE("message reader: bytes that are no HTTP message are an error") {
    auto in = ringWith("no message\r\n\r\n");
    net::MessageReader<true> reader(in, kMaxBody);
    boost::system::error_code error;
    CHECK(!reader.readHead(in, error));
    CHECK(error);
}

TEST_CASE("message reader: a length above the body limit is an error of the head") {
    auto in = ringWith("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\nabc");
    net::MessageReader<true> reader(in, kMaxBody);
    boost::system::error_code error;
    CHECK(!reader.readHead(in, error));
    CHECK(error == boost::beast::http::error::body_limit);
}

TEST_CASE("message reader: the announced length is reserved, or the maximum if no length is announced") {
    net::ByteBudget budget(100);
    boost::system::error_code error;
    auto sized = ringWith("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n");
    net::MessageReader<true> sizedReader(sized, kMaxBody);
    REQUIRE(sizedReader.readHead(sized, error));
    const auto five = net::reserveBody(sizedReader.parser(), budget, 40);
    CHECK(budget.reservedBytes() == 5);
    auto chunked = ringWith("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    net::MessageReader<true> chunkedReader(chunked, kMaxBody);
    REQUIRE(chunkedReader.readHead(chunked, error));
    const auto maximum = net::reserveBody(chunkedReader.parser(), budget, 40);
    CHECK(budget.reservedBytes() == 45);
}

TEST_CASE("message reader: a message without a body reserves no memory, but succeeds") {
    net::ByteBudget budget(100);
    boost::system::error_code error;
    auto in = ringWith("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    net::MessageReader<true> reader(in, kMaxBody);
    REQUIRE(reader.readHead(in, error));
    CHECK(net::reserveBody(reader.parser(), budget, 40) != nullptr);
    CHECK(budget.reservedBytes() == 0);
}

// Guards against heads whose short fields take many times the memory of their bytes.
TEST_CASE("message reader: a head with too many fields is refused before they are parsed") {
    const auto headWith = [](std::size_t fields) {
        std::string head = "GET / HTTP/1.1\r\n";
        for (std::size_t i = 0; i < fields; ++i)
            head += "a:\r\n";
        return head;
    };
    const auto errorOf = [](const std::string& head, std::size_t piece) {
        net::RingBuffer in(4096);
        net::MessageReader<true> reader(in, kMaxBody);
        boost::system::error_code error;
        for (std::size_t at = 0; at < head.size() && !error; at += piece) {
            in.append(std::string_view(head).substr(at, piece));
            reader.readHead(in, error);
        }
        if (error) CHECK(reader.parser().get().begin() == reader.parser().get().end());
        return error;
    };
    for (const std::size_t piece : {1, 7, 4096}) {
        CAPTURE(piece);
        CHECK(!errorOf(headWith(net::kMaxFields) + "\r\n" + std::string(300, '\n'), piece));
        CHECK(errorOf(headWith(net::kMaxFields + 2), piece) == boost::beast::http::error::header_limit);
    }
}
