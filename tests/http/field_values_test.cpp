// Parsing of header field values.
#include "http/field_values.h"

#include <doctest/doctest.h>

using namespace wingproxy;

TEST_CASE("field values: whitespace is trimmed at both ends only") {
    CHECK(http::trimWhitespace(" \ta b\t ") == "a b");
    CHECK(http::trimWhitespace(" \t").empty());
    CHECK(http::trimWhitespace("").empty());
}

TEST_CASE("field values: a number spans the whole text and is finite") {
    CHECK(http::parseNumber<int>("-7") == -7);
    CHECK(http::parseNumber<double>("2.5") == 2.5);
    for (const char* text : {"", "7x", " 7", "+7", "inf", "nan", "1e999"})
        CHECK_MESSAGE(!http::parseNumber<double>(text), text);
    CHECK(!http::parseNumber<int>("99999999999"));
}

TEST_CASE("field values: an identifier has 16 hexadecimal digits") {
    CHECK(http::isHex16("00fF03b4d6002191"));
    CHECK(!http::isHex16("00fF03b4d600219"));
    CHECK(!http::isHex16("00fF03b4d600219g"));
}

TEST_CASE("field values: the first parameter with exactly this name is found") {
    CHECK(http::findParameter("keys=1; key=2;key=3", ';', "key") == "2");
    CHECK(http::findParameter("a=,b", ',', "a") == "");
    CHECK(!http::findParameter("a=1,b", ',', "b"));
    CHECK(!http::findParameter("", ',', "a"));
}
