// Tests the Base64 encoding of peer messages on the simulator's wire.
#include "base64.h"

#include <gtest/gtest.h>

using namespace wingproxy::wire;

namespace {

TEST(Base64, DecodingReturnsTheEncodedBytes) {
    for (const std::string bytes : {"", "a", "ab", "abc", "abcd", "hi 7"}) {
        std::string decoded;
        ASSERT_TRUE(decodeBase64(encodeBase64(bytes), decoded));
        EXPECT_EQ(decoded, bytes);
    }
}

TEST(Base64, AllByteValuesAreDecodedAsEncoded) {
    std::string bytes;
    for (int value = 0; value < 256; ++value)
        bytes += static_cast<char>(value);
    std::string decoded;
    ASSERT_TRUE(decodeBase64(encodeBase64(bytes), decoded));
    EXPECT_EQ(decoded, bytes);
}

TEST(Base64, GroupsArePadded) {
    EXPECT_EQ(encodeBase64("hi 7"), "aGkgNw==");
    EXPECT_EQ(encodeBase64("hi 77"), "aGkgNzc=");
}

TEST(Base64, NoBytesAreADash) { EXPECT_EQ(encodeBase64(""), "-"); }

TEST(Base64, IncompleteGroupsAndMisplacedPaddingAreRejected) {
    std::string decoded;
    for (const char* invalid : {"a", "a=bc", "ab=c", "====", "a===", "ab==aGkg", "ab-d"})
        EXPECT_FALSE(decodeBase64(invalid, decoded)) << invalid;
}

}  // namespace
