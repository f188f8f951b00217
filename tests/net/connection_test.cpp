// What a connection leaves in the system's send buffer when it is closed.
#include "net/connection.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "net/socket_pair.h"

using namespace wingproxy;

namespace {

// More than the buffers of both ends take.
const std::string kLongMessage(8'000'000, 'x');

struct ConnectionPair : test::SocketPair {
    ConnectionPair() : connection(io, net::kMinRingBytes) {
        connection.socket = std::move(socket);
        connection.configureSocket();
    }
    // Writes until the system takes no more. Returns the number of bytes that it took.
    std::size_t fillSendBuffer() {
        boost::system::error_code error;
        std::size_t written = 0;
        while (!error)
            written += connection.socket.write_some(
                boost::asio::buffer(kLongMessage.data() + written, kLongMessage.size() - written), error);
        return written;
    }
    boost::system::error_code readToEnd(std::string& received) {
        boost::system::error_code error;
        boost::asio::read(peer, boost::asio::dynamic_buffer(received), error);
        return error;
    }

    net::Connection connection;
};

}  // namespace

TEST_CASE("connection: bytes that the peer has not taken are unacknowledged until it reads them") {
    ConnectionPair pair;
    CHECK(pair.connection.unacknowledgedBytes() == 0);
    const auto written = pair.fillSendBuffer();
    CHECK(pair.connection.unacknowledgedBytes() > 0);
    CHECK(pair.connection.unacknowledgedBytes() < written);
}

TEST_CASE("connection: a closed connection delivers nothing of its send buffer") {
    ConnectionPair pair;
    const auto written = pair.fillSendBuffer();
    pair.connection.close();
    std::string received;
    CHECK(pair.readToEnd(received) == boost::asio::error::connection_reset);
    CHECK(received.size() < written);
}

TEST_CASE("connection: one without undelivered bytes is closed without a reset") {
    ConnectionPair pair;
    pair.connection.close();
    std::string received;
    CHECK(pair.readToEnd(received) == boost::asio::error::eof);
    CHECK(pair.connection.unacknowledgedBytes() == 0);  // of a closed socket
}

// Guards against requests that a node runs although the process that sent them was killed.
TEST_CASE("connection: nothing of the send buffer is delivered after the end of the process") {
    ConnectionPair pair;
    const auto written = pair.fillSendBuffer();
    ::close(pair.connection.socket.release());  // as the system does at the end of a process
    std::string received;
    CHECK(pair.readToEnd(received) == boost::asio::error::connection_reset);
    CHECK(received.size() < written);
}

TEST_CASE("connection: what was written is still delivered if the caller asks for it") {
    ConnectionPair pair;
    const auto written = pair.fillSendBuffer();
    pair.connection.closeAfterDelivery();
    std::string received;
    CHECK(pair.readToEnd(received) == boost::asio::error::eof);
    CHECK(received.size() == written);
}
