// Tests of the timeout between two reads: when it expires, and when it is restarted.
#include "net/stall_timer.h"

#include <doctest/doctest.h>

#include <array>

#include "net/socket_pair.h"

using namespace wingproxy;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::microseconds kTimeout = 2ms;
constexpr std::chrono::microseconds kLongTimeout = 10s;

struct StallTimerFixture : test::SocketPair {
    void start(std::chrono::microseconds timeout = kTimeout) {
        timer.start(timeout, socket, [this] { ++stalls; });
    }
    // Waits until the socket has unread bytes, and requires that there are `count`.
    void awaitUnread(std::size_t count) {
        socket.wait(boost::asio::ip::tcp::socket::wait_read);
        REQUIRE(socket.available() == count);
    }

    net::StallTimer timer{io.get_executor()};
    int stalls = 0;
};

}  // namespace

TEST_CASE_FIXTURE(StallTimerFixture, "stall timer: it expires once if no bytes arrive") {
    start();
    io.run();
    CHECK(stalls == 1);
}

TEST_CASE_FIXTURE(StallTimerFixture, "stall timer: the timeout is restarted while bytes wait unread") {
    sendFromPeer("abc");
    awaitUnread(3);
    start();
    io.run_one();
    io.run_one();
    CHECK(stalls == 0);
    std::array<char, 8> bytes{};
    CHECK(socket.read_some(boost::asio::buffer(bytes)) == 3);
    io.run();
    CHECK(stalls == 1);
}

TEST_CASE_FIXTURE(StallTimerFixture, "stall timer: a restart replaces the previous timeout") {
    start();
    start();
    io.run();
    CHECK(stalls == 1);
}

TEST_CASE_FIXTURE(StallTimerFixture,
                  "stall timer: an expiry that is already queued is ignored after a restart") {
    // Both expire in the same turn of the loop; this handler runs first, as its time is earlier.
    boost::asio::steady_timer earlier(io, std::chrono::steady_clock::now() - 1s);
    bool restarted = false;
    earlier.async_wait([&](const boost::system::error_code&) {
        start(kLongTimeout);
        restarted = true;
    });
    start(0us);
    io.run_one();
    CHECK(restarted);
    io.run_one();
    CHECK(stalls == 0);
    timer.stop();
    io.run();
    CHECK(stalls == 0);
}

TEST_CASE_FIXTURE(StallTimerFixture,
                  "stall timer: a cancelled timeout does not expire, and can be started again") {
    start(kLongTimeout);
    timer.cancel();
    io.run();
    CHECK(stalls == 0);
    io.restart();
    start();
    io.run();
    CHECK(stalls == 1);
}

TEST_CASE_FIXTURE(StallTimerFixture, "stall timer: after stop() the handler is not called") {
    start(kLongTimeout);
    timer.stop();
    io.run();
    CHECK(stalls == 0);
}
