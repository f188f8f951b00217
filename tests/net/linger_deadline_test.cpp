// The time rules of a graceful close.
#include "net/linger_deadline.h"

#include <doctest/doctest.h>

using namespace wingproxy;
using namespace std::chrono_literals;

namespace {

constexpr net::LingerDeadline::Clock::time_point kStart{100s};

net::LingerDeadline started(std::chrono::milliseconds limit) {
    net::LingerDeadline deadline;
    deadline.start(kStart, limit);
    return deadline;
}

}  // namespace

TEST_CASE("linger deadline: it is active from its start on") {
    CHECK(!net::LingerDeadline().active());
    CHECK(started(2s).active());
}

TEST_CASE("linger deadline: a quiet client is closed 300 ms after its last byte") {
    const auto deadline = started(2s);
    CHECK(deadline.closeAt(kStart) == kStart + 300ms);
    CHECK(deadline.closeAt(kStart + 1s) == kStart + 1300ms);
}

TEST_CASE("linger deadline: a client that keeps sending is closed at the limit") {
    const auto deadline = started(2s);
    CHECK(deadline.closeAt(kStart + 1900ms) == kStart + 2s);
    CHECK(deadline.closeAt(kStart + 5s) == kStart + 2s);
}

TEST_CASE("linger deadline: a limit below the quiet period holds") {
    CHECK(started(100ms).closeAt(kStart) == kStart + 100ms);
}

TEST_CASE("linger deadline: the connection is evictable only after one quiet period") {
    const auto deadline = started(2s);
    CHECK(!deadline.evictable(kStart + 300ms));
    CHECK(deadline.evictable(kStart + 301ms));
}
