// Buffered bodies and their reservations in the memory budget.
#include "http/buffered_body.h"

#include <doctest/doctest.h>

#include <boost/asio/buffer.hpp>

#include "http/request_reader.h"

using namespace wingproxy;

namespace {

void receive(net::RingBuffer& in, std::string_view text) { REQUIRE(in.append(text) == text.size()); }

}  // namespace

TEST_CASE("buffered body: the reservation is released when the last byte is consumed") {
    net::ByteBudget budget(100);
    net::RingBuffer in(net::kMinRingBytes);
    http::RequestReader reader(in);
    receive(in, "PUT / HTTP/1.1\r\nContent-Length: 5\r\n\r\ndatos");
    boost::system::error_code error;
    REQUIRE(reader.readHead(error));
    REQUIRE(reader.reserveBody(budget));
    CHECK(budget.reservedBytes() == 5);
    REQUIRE(reader.readBody(error) == http::RequestProgress::Complete);
    char to[8];
    CHECK(reader.body().consume(to, 3) == 3);
    CHECK(budget.reservedBytes() == 5);
    CHECK(reader.body().consume(to, sizeof to) == 2);
    CHECK(budget.reservedBytes() == 0);
    CHECK(reader.body().empty());
}

TEST_CASE("buffered body: the released reservation outlives the body") {
    net::ByteBudget budget(100);
    http::BufferedBody body;
    body.setReservation(budget.reserve(10));
    auto reservation = body.releaseReservation();
    CHECK(!body.hasReservation());
    body.clear();
    CHECK(budget.reservedBytes() == 10);
    reservation = nullptr;
    CHECK(budget.reservedBytes() == 0);
}
