// The ring buffer alone.
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

TEST_CASE("ring buffer: order over the seam, and a read in progress while all bytes are consumed") {
    net::RingBuffer ring(8);
    CHECK(ring.append("abcdefghij") == 8);
    ring.consume(6);
    CHECK(ring.append("XYZ") == 3);
    std::string text;
    for (const auto& part : ring.newest(4))
        text += part;
    CHECK(text == "hXYZ");
    // The room was given to a read before the rest was consumed: its bytes must be found where it put them.
    auto room = ring.prepare();
    ring.consume(5);
    boost::asio::buffer_copy(room, boost::asio::buffer(std::string("\nq")));
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

TEST_CASE("ring buffer: a full ring offers no room and takes nothing") {
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

TEST_CASE("ring buffer: more than is there can be neither committed nor consumed") {
    net::RingBuffer ring(4);
    ring.commit(9);
    CHECK(ring.size() == 4);
    ring.consume(9);
    CHECK(ring.size() == 0);
    CHECK(ring.freeSpace() == 4);
}

TEST_CASE("ring buffer: the newest bytes are at most those held") {
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
