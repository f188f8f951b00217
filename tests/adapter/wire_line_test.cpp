// Tests the parsing of lines of the simulator's wire, and the errors for malformed ones.
#include "wire_line.h"

#include <gtest/gtest.h>

using namespace wingproxy::wire;

namespace {

template <typename Function>
std::string errorOf(Function&& function) {
    try {
        function();
    } catch (const WireError& error) {
        return error.what();
    }
    return "";
}

TEST(WireLine, HasANameAndFields) {
    const WireLine line("NAME a=1 b=x=y  c=\r", 1);
    EXPECT_EQ(line.name(), "NAME");
    EXPECT_EQ(line.integer("a"), 1);
    EXPECT_EQ(line.text("b"), "x=y");
    EXPECT_EQ(line.text("c"), "");
    EXPECT_FALSE(line.has("d"));
}

TEST(WireLine, TheFirstFieldOfARepeatedKeyCounts) { EXPECT_EQ(WireLine("NAME a=1 a=2", 1).integer("a"), 1); }

TEST(WireLine, AMissingOptionalFieldHasItsDefault) {
    const WireLine line("NAME", 1);
    EXPECT_EQ(line.text("a", "text"), "text");
    EXPECT_EQ(line.integer("a", 5), 5);
    EXPECT_EQ(line.number("a", 0.5), 0.5);
    EXPECT_FALSE(line.flag("a"));
}

TEST(WireLine, AnErrorNamesLineMessageAndField) {
    const WireLine line("NAME a=x b=-1 c=2", 7);
    EXPECT_EQ(errorOf([&] { (void)line.text("d"); }), "line 7 (NAME), field d: missing");
    EXPECT_EQ(errorOf([&] { (void)line.integer("a"); }), "line 7 (NAME), field a: not an integer: \"x\"");
    EXPECT_EQ(errorOf([&] { (void)line.unsignedInteger("b"); }),
              "line 7 (NAME), field b: not a non-negative integer: \"-1\"");
    EXPECT_EQ(errorOf([&] { (void)line.number("a", 0); }), "line 7 (NAME), field a: not a number: \"x\"");
    EXPECT_EQ(errorOf([&] { (void)line.flag("c"); }), "line 7 (NAME), field c: not 0 or 1: \"2\"");
}

TEST(WireLine, TextWithoutANameOrWithoutFieldsIsRejected) {
    EXPECT_NE(errorOf([] { WireLine("", 1); }), "");
    EXPECT_NE(errorOf([] { WireLine(" a=1", 1); }), "");
    EXPECT_NE(errorOf([] { WireLine("NAME a", 1); }), "");
    EXPECT_NE(errorOf([] { WireLine("NAME =1", 1); }), "");
}

TEST(WireLine, AListHasTheItemsBetweenItsCommas) {
    using Items = std::vector<std::string_view>;
    EXPECT_EQ(splitList(""), Items());
    EXPECT_EQ(splitList("a"), Items{"a"});
    EXPECT_EQ(splitList("a,,b"), (Items{"a", "", "b"}));
    EXPECT_EQ(splitList("a,b,"), (Items{"a", "b"}));
}

}  // namespace
