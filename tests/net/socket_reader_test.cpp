// Tests of the read loop of a connection: when it reads, and how it reports the end of the stream.
#include "net/socket_reader.h"

#include <doctest/doctest.h>

#include <vector>

#include "net/socket_pair.h"

using namespace wingproxy;

namespace {

struct SocketReaderFixture : test::SocketPair {
    void read() {
        reader.read(socket, ring, [this](const boost::system::error_code& error, std::size_t count) {
            errors.push_back(error);
            counts.push_back(count);
        });
    }

    net::RingBuffer ring{8};
    net::SocketReader reader;
    std::vector<boost::system::error_code> errors;
    std::vector<std::size_t> counts;
};

}  // namespace

TEST_CASE_FIXTURE(SocketReaderFixture,
                  "socket reader: received bytes are in the ring when the handler is called") {
    read();
    CHECK(reader.isReading());
    sendFromPeer("abc");
    io.run();
    CHECK(counts == std::vector<std::size_t>{3});
    CHECK(!errors[0]);
    CHECK(ring.newest(3)[0] == "abc");
    CHECK(!reader.isReading());
    CHECK(!reader.hasEnded());
}

TEST_CASE_FIXTURE(SocketReaderFixture, "socket reader: a second read while one is pending does nothing") {
    read();
    read();
    sendFromPeer("abc");
    io.run();
    CHECK(counts.size() == 1);
}

TEST_CASE_FIXTURE(SocketReaderFixture, "socket reader: nothing is read while the ring is full") {
    ring.append("12345678");
    read();
    CHECK(!reader.isReading());
    ring.consume(1);
    read();
    CHECK(reader.isReading());
    sendFromPeer("abc");
    io.run();
    CHECK(counts == std::vector<std::size_t>{1});
}

TEST_CASE_FIXTURE(SocketReaderFixture,
                  "socket reader: the other side's close ends the stream, and no read follows it") {
    read();
    peer.close();
    io.run();
    REQUIRE(errors.size() == 1);
    CHECK(errors[0] == boost::asio::error::eof);
    CHECK(reader.hasEnded());
    read();
    CHECK(!reader.isReading());
}

TEST_CASE_FIXTURE(SocketReaderFixture,
                  "socket reader: a reset ends the stream with an error other than eof") {
    read();
    peer.set_option(boost::asio::socket_base::linger(true, 0));
    peer.close();
    io.run();
    REQUIRE(errors.size() == 1);
    CHECK(errors[0] == boost::asio::error::connection_reset);
    CHECK(reader.hasEnded());
}

TEST_CASE_FIXTURE(SocketReaderFixture,
                  "socket reader: after stop() a pending read adds no bytes and does not call its handler") {
    read();
    sendFromPeer("abc");
    reader.stop();
    io.run();
    CHECK(counts.empty());
    CHECK(ring.size() == 0);
    read();
    CHECK(!reader.isReading());
}
