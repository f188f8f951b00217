// The process's clock.
#include "net/clock.h"

#include <doctest/doctest.h>

using namespace wingproxy;

TEST_CASE("clock: it counts Unix microseconds") {
    const net::Clock clock;
    const auto unixTime = std::chrono::system_clock::now().time_since_epoch();
    const auto difference = std::chrono::microseconds(clock.now()) - unixTime;
    CHECK(difference < std::chrono::seconds(10));
    CHECK(difference > -std::chrono::seconds(10));
}

TEST_CASE("clock: it never goes back") {
    const net::Clock clock;
    const auto first = clock.now();
    CHECK(clock.now() >= first);
}

TEST_CASE("clock: a time is translated to the steady clock with its distance kept") {
    const net::Clock clock;
    const auto now = clock.now();
    CHECK(clock.at(now + 5'000) - clock.at(now) == std::chrono::milliseconds(5));
    CHECK(clock.at(now) <= std::chrono::steady_clock::now());
}

TEST_CASE("clock: durations translate between the policy's unit and the standard library's") {
    CHECK(net::toDuration(1'500) == std::chrono::microseconds(1'500));
    CHECK(net::toMicros(std::chrono::milliseconds(3)) == 3'000);
}
