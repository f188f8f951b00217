// Tests the index types of the interface: the value for nothing, comparison, positions, and the stored bytes.
#include "wingproxy/index.h"

#include <gtest/gtest.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/vector.hpp>
#include <map>
#include <set>
#include <sstream>
#include <type_traits>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy {
namespace {

template <typename T>
std::string stored(const T& value) {
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(value);
    return out.str();
}

template <typename T>
T loaded(const std::string& bytes) {
    std::istringstream in(bytes);
    cereal::PortableBinaryInputArchive archive(in);
    T value;
    archive(value);
    return value;
}

static_assert(!std::is_convertible_v<int, HostIndex>, "a plain number is no index");
static_assert(!std::is_convertible_v<HostIndex, int>, "an index is no plain number");
static_assert(!std::is_constructible_v<CellIndex, HostIndex>, "kinds do not mix");
static_assert(!std::is_assignable_v<CellIndex&, HostIndex>, "kinds do not mix");
static_assert(sizeof(HostIndex) == sizeof(int));

TEST(Index, NamesNothingUntilItIsGivenANumber) {
    const CellIndex none;
    EXPECT_TRUE(none.isNone());
    EXPECT_FALSE(none.isSet());
    EXPECT_EQ(none.value(), CellIndex::kNoneValue);
    const CellIndex first(0);
    EXPECT_FALSE(first.isNone());
    EXPECT_TRUE(first.isSet());
    EXPECT_EQ(first.value(), 0);
}

TEST(Index, EveryNegativeNumberNamesNothing) {
    for (const int number : {-1, -2, -1'000'000}) {
        EXPECT_TRUE(PlanIndex(number).isNone()) << number;
        EXPECT_EQ(PlanIndex(number), PlanIndex()) << number;
    }
}

TEST(Index, IsOrderedByItsNumberWithNothingFirst) {
    EXPECT_LT(HostIndex(), HostIndex(0));
    EXPECT_LT(HostIndex(0), HostIndex(1));
    EXPECT_EQ(HostIndex(2), HostIndex(2));
    EXPECT_NE(HostIndex(2), HostIndex(3));
}

TEST(Index, IsThePositionInAVector) {
    const std::vector<int> elements{10, 20, 30};
    EXPECT_EQ(elements.at(ClassIndex(2).position()), 30);
    EXPECT_EQ(ClassIndex::ofPosition(2), ClassIndex(2));
    EXPECT_THROW((void)elements.at(ClassIndex().position()), std::out_of_range);
}

TEST(Index, IsBelowACountOnlyIfItNamesSomething) {
    EXPECT_TRUE(HostIndex(0).isBelow(1));
    EXPECT_FALSE(HostIndex(1).isBelow(1));
    EXPECT_FALSE(HostIndex().isBelow(1));
}

TEST(Index, CountsOnFromNothingAndFromANumber) {
    EXPECT_EQ(AttemptIndex().next(), AttemptIndex(0));
    EXPECT_EQ(AttemptIndex(4).next(), AttemptIndex(5));
}

// Earlier versions store plain integers, and both versions read each other's snapshots.
TEST(Index, IsStoredAsAPlainInteger) {
    EXPECT_EQ(stored(HostIndex(7)), stored(7));
    EXPECT_EQ(stored(HostIndex()), stored(-1));
    EXPECT_EQ(stored(std::vector<HostIndex>{HostIndex(1), HostIndex()}), stored(std::vector<int>{1, -1}));
    EXPECT_EQ(stored(std::set<HostIndex>{HostIndex(3), HostIndex(1)}), stored(std::set<int>{3, 1}));
    EXPECT_EQ(stored(std::map<CellIndex, HostIndex>{{CellIndex(2), HostIndex(5)}}),
              stored(std::map<int, int>{{2, 5}}));
    EXPECT_EQ((loaded<std::map<CellIndex, HostIndex>>(stored(std::map<int, int>{{2, -1}}))),
              (std::map<CellIndex, HostIndex>{{CellIndex(2), HostIndex()}}));
}

TEST(PeerRecipient, IsOneHostOrEveryPeer) {
    const PeerRecipient one = HostIndex(3);
    EXPECT_FALSE(one.isEveryPeer());
    EXPECT_EQ(one.host(), HostIndex(3));
    EXPECT_TRUE(PeerRecipient::everyPeer().isEveryPeer());
    EXPECT_TRUE(PeerRecipient::everyPeer().host().isNone());
    EXPECT_FALSE(one == PeerRecipient::everyPeer());
}

}  // namespace
}  // namespace wingproxy
