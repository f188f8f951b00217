// Which texts are accepted as a number.
#include "config/parse_number.h"

#include <doctest/doctest.h>

#include <cstdint>

using wingproxy::config::parseHexadecimal;
using wingproxy::config::parseNumber;

TEST_CASE("number: a text that consists of a number within the type's range is accepted") {
    CHECK(parseNumber<int>("-12") == -12);
    CHECK(parseNumber<double>("2.5") == 2.5);
    CHECK(parseNumber<std::uint8_t>("255") == 255);
    CHECK(parseHexadecimal<std::uint64_t>("8c1f30d27a5be964") == 0x8c1f30d27a5be964ull);
}

TEST_CASE("number: text before or after the number, and a number beyond the type's range, are rejected") {
    for (const char* invalid : {"", " 1", "1 ", "1x", "x", "256", "-1", "+1"})
        CHECK_MESSAGE(!parseNumber<std::uint8_t>(invalid), invalid);
    CHECK(!parseHexadecimal<std::uint64_t>("0x1"));
    CHECK(!parseHexadecimal<std::uint64_t>("xyz"));
}
