// The timeout between two reads: when it expires and when it is given again.
#include "net/stall_timer.h"

#include <doctest/doctest.h>

#include <array>

#include "net/socket_pair.h"

using namespace wingproxy;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::microseconds kTimeout = 2ms;
constexpr std::chrono::microseconds kLongTimeout = 10s;

struct Stalling : test::SocketPair {
    void start(std::chrono::microseconds timeout = kTimeout) {
        timer.start(timeout, socket, [this] { ++stalls; });
    }
    // Waits until the system has all bytes of the other side.
    void awaitUnread(std::size_t count) {
        socket.wait(boost::asio::ip::tcp::socket::wait_read);
        REQUIRE(socket.available() == count);
    }

    net::StallTimer timer{io.get_executor()};
    int stalls = 0;
};

}  // namespace

TEST_CASE_FIXTURE(Stalling, "stall timer: it expires once if nothing comes") {
    start();
    io.run();
    CHECK(stalls == 1);
}

TEST_CASE_FIXTURE(Stalling, "stall timer: while bytes wait unread the timeout is given again") {
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

TEST_CASE_FIXTURE(Stalling, "stall timer: a start anew replaces the timeout before it") {
    start();
    start();
    io.run();
    CHECK(stalls == 1);
}

TEST_CASE_FIXTURE(Stalling,
                  "stall timer: an expiry that is queued already does not count after a start anew") {
    // Both expire in the same turn of the loop; this handler runs first, as its time is earlier.
    boost::asio::steady_timer earlier(io, std::chrono::steady_clock::now() - 1s);
    bool startedAnew = false;
    earlier.async_wait([&](const boost::system::error_code&) {
        start(kLongTimeout);
        startedAnew = true;
    });
    start(0us);
    io.run_one();
    CHECK(startedAnew);
    io.run_one();
    CHECK(stalls == 0);
    timer.stop();
    io.run();
    CHECK(stalls == 0);
}

TEST_CASE_FIXTURE(Stalling, "stall timer: a cancelled timeout does not expire, and can be started again") {
    start(kLongTimeout);
    timer.cancel();
    io.run();
    CHECK(stalls == 0);
    io.restart();
    start();
    io.run();
    CHECK(stalls == 1);
}

TEST_CASE_FIXTURE(Stalling, "stall timer: once stopped it calls nothing") {
    start(kLongTimeout);
    timer.stop();
    io.run();
    CHECK(stalls == 0);
}
