// Tests of the ring buffer.
#include "net/ring_buffer.h"

#include <doctest/doctest.h>

using namespace wingproxy;

namespace {

std::string contents(const net::RingBuffer& ring) {
    std::string text;
    for (const auto& part : ring.newest(ring.size()))
        text += part;
    return text;
}

}  // namespace

TEST_CASE(
    "ring buffer: the order is kept where bytes wrap around, also if all bytes are consumed during a read") {
    net::RingBuffer ring(8);
    CHECK(ring.append("abcdefghij") == 8);
    ring.consume(6);
    CHECK(ring.append("XYZ") == 3);
    std::string text;
    for (const auto& part : ring.newest(4))
        text += part;
    CHECK(text == "hXYZ");
    // The free space was given to a read before the rest was consumed: the bytes of the read must be found
    // where the read put them.
    auto space = ring.prepare();
    ring.consume(5);
    boost::asio::buffer_copy(space, boost::asio::buffer(std::string("\nq")));
    ring.commit(2);
    CHECK(ring.readLine(text));
    CHECK(text.empty());
    CHECK(!ring.readLine(text));
    CHECK(ring.size() == 1);
}

TEST_CASE("ring buffer: an empty ring has its capacity as space and no data") {
    net::RingBuffer ring(8);
    CHECK(ring.capacity() == 8);
    CHECK(ring.freeSpace() == 8);
    CHECK(boost::asio::buffer_size(ring.data()) == 0);
    CHECK(boost::asio::buffer_size(ring.prepare()) == 8);
}

TEST_CASE("ring buffer: a full ring has no free space and appends nothing") {
    net::RingBuffer ring(4);
    ring.append("abcd");
    CHECK(boost::asio::buffer_size(ring.prepare()) == 0);
    CHECK(ring.append("e") == 0);
    CHECK(contents(ring) == "abcd");
}

TEST_CASE("ring buffer: a full ring that wraps keeps its order") {
    net::RingBuffer ring(4);
    ring.append("abcd");
    ring.consume(3);
    CHECK(ring.append("efg") == 3);
    CHECK(contents(ring) == "defg");
    CHECK(boost::asio::buffer_size(ring.prepare()) == 0);
}

TEST_CASE("ring buffer: commit and consume are limited to the free space and to the bytes held") {
    net::RingBuffer ring(4);
    ring.commit(9);
    CHECK(ring.size() == 4);
    ring.consume(9);
    CHECK(ring.size() == 0);
    CHECK(ring.freeSpace() == 4);
}

TEST_CASE("ring buffer: newest() returns no more bytes than the ring holds") {
    net::RingBuffer ring(4);
    ring.append("ab");
    const auto parts = ring.newest(9);
    CHECK(parts[0] == "ab");
    CHECK(parts[1].empty());
    CHECK(ring.newest(0)[0].empty());
}

TEST_CASE("ring buffer: clear drops all bytes") {
    net::RingBuffer ring(4);
    ring.append("abc");
    ring.clear();
    CHECK(ring.size() == 0);
    CHECK(ring.append("wxyz") == 4);
    CHECK(contents(ring) == "wxyz");
}

TEST_CASE("ring buffer: a line ends at a line feed, with or without a carriage return") {
    net::RingBuffer ring(16);
    ring.append("one\r\ntwo\nrest");
    std::string line;
    CHECK(ring.readLine(line));
    CHECK(line == "one");
    CHECK(ring.readLine(line));
    CHECK(line == "two");
    CHECK(!ring.readLine(line));
    CHECK(contents(ring) == "rest");
}

TEST_CASE("ring buffer: a line whose end wraps around is complete") {
    net::RingBuffer ring(8);
    ring.append("123456");
    ring.consume(6);
    ring.append("ab\r\ncd");
    std::string line;
    CHECK(ring.readLine(line));
    CHECK(line == "ab");
    CHECK(contents(ring) == "cd");
}

TEST_CASE("ring buffer: an empty ring has no memory, and one that holds bytes keeps its memory") {
    net::RingBuffer ring(8);
    CHECK(ring.allocatedBytes() == 0);
    CHECK(ring.append("abc") == 3);
    ring.releaseIfEmpty();
    CHECK(contents(ring) == "abc");
    CHECK(ring.allocatedBytes() == 8);
    ring.clear();
    ring.releaseIfEmpty();
    CHECK(ring.allocatedBytes() == 0);
    CHECK(ring.append("defghijkl") == 8);
    CHECK(contents(ring) == "defghijk");
}
