// The wire format of the recovery protocol. Datagrams written by an earlier version are in tests/golden.
#include "fleet/recovery_datagram.h"

#include <doctest/doctest.h>

#include <vector>

using namespace wingproxy::fleet;

namespace {

std::string bytesOf(const std::vector<int>& values) {
    std::string bytes;
    for (const int value : values)
        bytes += static_cast<char>(value);
    return bytes;
}

const std::vector<RecoveryDatagram> kOneOfEachKind = {
    {0x01020304, RecoveryQuery{}},
    {0x01020304, RecoveryReply{0x0A0B0C0D, {}}},
    {0x01020304, ShutdownNotice{7, 0xFFFFFFFF}},
    {0x01020304, RecoveryReply{1, EarlierNotice{2, {3, 4}}}},
};

}  // namespace

TEST_CASE("recovery datagram: format byte, sender, tag and fields are encoded in little-endian order") {
    CHECK(encode(kOneOfEachKind[0]) == bytesOf({0xB1, 4, 3, 2, 1, 1}));
    CHECK(encode(kOneOfEachKind[1]) == bytesOf({0xB1, 4, 3, 2, 1, 2, 0x0D, 0x0C, 0x0B, 0x0A}));
    CHECK(encode(kOneOfEachKind[2]) == bytesOf({0xB1, 4, 3, 2, 1, 3, 7, 0, 0, 0, 0xFF, 0xFF, 0xFF, 0xFF}));
    CHECK(encode(kOneOfEachKind[3]) ==
          bytesOf({0xB1, 4, 3, 2, 1, 4, 1, 0, 0, 0, 2, 0, 0, 0, 3, 0, 0, 0, 4, 0, 0, 0}));
}

TEST_CASE("recovery datagram: decoding an encoded datagram of each kind gives the same datagram") {
    for (const auto& datagram : kOneOfEachKind) {
        const auto decoded = decode(encode(datagram));
        REQUIRE(decoded);
        CHECK(*decoded == datagram);
    }
}

TEST_CASE("recovery datagram: the longest kind has the documented size") {
    for (const auto& datagram : kOneOfEachKind)
        CHECK(encode(datagram).size() <= kMaxRecoveryDatagramBytes);
    CHECK(encode(kOneOfEachKind[3]).size() == kMaxRecoveryDatagramBytes);
}

TEST_CASE("recovery datagram: truncated and extended datagrams are not decoded") {
    for (const auto& datagram : kOneOfEachKind) {
        const auto bytes = encode(datagram);
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CHECK(!decode(bytes.substr(0, length)));
        CHECK(!decode(bytes + "x"));
        CHECK(!decode(bytes + "four"));
    }
}

TEST_CASE("recovery datagram: an unknown tag or format is not decoded") {
    const auto query = encode(kOneOfEachKind[0]);
    for (const int tag : {0, 5, 255}) {
        auto bytes = query;
        bytes[5] = static_cast<char>(tag);
        CHECK(!decode(bytes));
    }
    auto bytes = query;
    bytes[0] = 0x31;
    CHECK(!isRecoveryDatagram(bytes));
    CHECK(!decode(bytes));
    CHECK(!isRecoveryDatagram(""));
}

TEST_CASE("recovery datagram: numbers are compared modulo 2^32") {
    CHECK(isBefore(1, 2));
    CHECK(!isBefore(2, 2));
    CHECK(!isBefore(2, 1));
    CHECK(isBefore(0xFFFFFFFF, 0));
    CHECK(toWireMillis(1'999) == 1);
    CHECK(toWireMillis(Micros(0x1'0000'0005) * 1'000) == 5);
}
