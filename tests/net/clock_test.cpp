// Tests of the process's clock.
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

TEST_CASE("clock: conversion to the steady clock preserves differences between times") {
    const net::Clock clock;
    const auto now = clock.now();
    CHECK(clock.at(now + 5'000) - clock.at(now) == std::chrono::milliseconds(5));
    CHECK(clock.at(now) <= std::chrono::steady_clock::now());
}

TEST_CASE("clock: durations convert between the policy's unit and std::chrono") {
    CHECK(net::toDuration(1'500) == std::chrono::microseconds(1'500));
    CHECK(net::toMicros(std::chrono::milliseconds(3)) == 3'000);
}
