// The ring buffer alone.
#include "net/ring_buffer.h"

#include <doctest/doctest.h>

using namespace wingproxy;

TEST_CASE("ring buffer: order over the seam, and a read under way while all is consumed") {
    net::RingBuffer ring(8);
    CHECK(ring.put("abcdefghij") == 8);
    ring.consume(6);
    CHECK(ring.put("XYZ") == 3);
    std::string text;
    for (const auto& part : ring.newest(4))
        text += part;
    CHECK(text == "hXYZ");
    // The room was handed to a read before the rest was consumed: its bytes must be found where it put them.
    auto room = ring.room();
    ring.consume(5);
    boost::asio::buffer_copy(room, boost::asio::buffer(std::string("\nq")));
    ring.commit(2);
    CHECK(ring.line(text));
    CHECK(text.empty());
    CHECK(!ring.line(text));
    CHECK(ring.size() == 1);
}
