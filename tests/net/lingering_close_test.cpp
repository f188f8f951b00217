// Tests of the time limits of a lingering close.
#include "net/lingering_close.h"

#include <doctest/doctest.h>

using namespace wingproxy;
using namespace std::chrono_literals;

namespace {

constexpr net::LingeringClose::Clock::time_point kStart{100s};

net::LingeringClose started(std::chrono::milliseconds limit) {
    net::LingeringClose lingeringClose;
    lingeringClose.start(kStart, limit);
    return lingeringClose;
}

}  // namespace

TEST_CASE("lingering close: it is active from its start on") {
    CHECK(!net::LingeringClose().isActive());
    CHECK(started(2s).isActive());
}

TEST_CASE("lingering close: a quiet client is closed 300 ms after its last byte") {
    const auto lingeringClose = started(2s);
    CHECK(lingeringClose.closeAt(kStart) == kStart + 300ms);
    CHECK(lingeringClose.closeAt(kStart + 1s) == kStart + 1300ms);
}

TEST_CASE("lingering close: a client that keeps sending is closed at the limit") {
    const auto lingeringClose = started(2s);
    CHECK(lingeringClose.closeAt(kStart + 1900ms) == kStart + 2s);
    CHECK(lingeringClose.closeAt(kStart + 5s) == kStart + 2s);
}

TEST_CASE("lingering close: a limit below the quiet period takes precedence over it") {
    CHECK(started(100ms).closeAt(kStart) == kStart + 100ms);
}

TEST_CASE("lingering close: the connection is evictable only after one quiet period") {
    const auto lingeringClose = started(2s);
    CHECK(!lingeringClose.isEvictable(kStart + 300ms));
    CHECK(lingeringClose.isEvictable(kStart + 301ms));
}
