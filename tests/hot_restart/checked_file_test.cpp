// The header of the snapshot and of the overrides file: its layout, and what is rejected.
#include "hot_restart/checked_file.h"

#include <doctest/doctest.h>

using namespace wingproxy::hot_restart;

namespace {

constexpr std::string_view kMagic = "TST1";

SnapshotErrorCode errorOf(std::string_view bytes) {
    const auto decoded = decodeCheckedFile(kMagic, bytes);
    REQUIRE(std::holds_alternative<SnapshotError>(decoded));
    return std::get<SnapshotError>(decoded).code;
}

}  // namespace

TEST_CASE("checked file: magic, length, CRC-32 and payload follow in this order, little-endian") {
    // 0xCBF43926 is the standard check value of CRC-32: its result for "123456789".
    const std::string expected = std::string("TST1") + std::string("\x09\0\0\0\0\0\0\0", 8) +
                                 std::string("\x26\x39\xf4\xcb", 4) + "123456789";
    CHECK(encodeCheckedFile(kMagic, "123456789") == expected);
}

TEST_CASE("checked file: decoding returns the encoded payload, also an empty one") {
    for (const std::string payload : {"", "x", "payload"}) {
        const std::string bytes = encodeCheckedFile(kMagic, payload);
        const auto decoded = decodeCheckedFile(kMagic, bytes);
        REQUIRE(std::holds_alternative<std::string_view>(decoded));
        CHECK(std::get<std::string_view>(decoded) == payload);
    }
}

TEST_CASE("checked file: one that is shorter or longer than its header says is truncated") {
    const std::string bytes = encodeCheckedFile(kMagic, "payload");
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK(errorOf(std::string_view(bytes).substr(0, length)) == SnapshotErrorCode::Truncated);
    CHECK(errorOf(bytes + "x") == SnapshotErrorCode::Truncated);
}

TEST_CASE("checked file: another magic is an unsupported format") {
    CHECK(errorOf(encodeCheckedFile("TST2", "payload")) == SnapshotErrorCode::UnsupportedFormat);
}

TEST_CASE("checked file: a changed payload does not match its checksum") {
    std::string bytes = encodeCheckedFile(kMagic, "payload");
    bytes.back() = 'D';
    CHECK(errorOf(bytes) == SnapshotErrorCode::ChecksumMismatch);
}

TEST_CASE("checked file: each error has a description of its own") {
    const SnapshotErrorCode all[] = {SnapshotErrorCode::Truncated,
                                     SnapshotErrorCode::UnsupportedFormat,
                                     SnapshotErrorCode::ChecksumMismatch,
                                     SnapshotErrorCode::Unreadable,
                                     SnapshotErrorCode::OtherInstance,
                                     SnapshotErrorCode::Expired,
                                     SnapshotErrorCode::InconsistentAddresses};
    for (const auto a : all) {
        CHECK(!describe(a).empty());
        for (const auto b : all)
            CHECK((describe(a) == describe(b)) == (a == b));
    }
}

TEST_CASE("checked file: a detail follows its error's description after a comma") {
    CHECK(describe(SnapshotError{SnapshotErrorCode::OtherInstance, "n7"}) == "of another gateway, n7");
    CHECK(describe(SnapshotError{SnapshotErrorCode::Truncated}) == "truncated");
}
