// Tests the encoding of messages between hosts, and which messages are rejected.
#include "policy/peer_message.h"

#include <gtest/gtest.h>

namespace wingproxy::peer {
namespace {

constexpr std::uint64_t kIncarnation = 90'001;

std::string messageOf(const Record& record) {
    std::string message = header(kIncarnation);
    append(message, record);
    return message;
}

template <typename T>
T decoded(const T& record) {
    const auto message = decode(messageOf(record));
    EXPECT_TRUE(message && message->incarnation == kIncarnation && message->records.size() == 1);
    return std::get<T>(message->records.at(0));
}

TEST(PeerMessage, EveryKindOfRecordIsDecodedAsEncoded) {
    const auto report = decoded(UsageReport{7, true, {160}, {30}, 3, 10});
    EXPECT_EQ(report.key, 7u);
    EXPECT_TRUE(report.joins);
    EXPECT_EQ(report.rate.value(), 10);
    EXPECT_EQ(report.wait.code, 30);
    EXPECT_EQ(report.outstanding, 3);
    EXPECT_EQ(report.slowStartUnits, 10);
    EXPECT_FALSE(decoded(UsageReport{7, false, {}, {}, 0, 0}).joins);
    const auto aggregate = decoded(UsageAggregate{8, {400}, {50}, {{60}}});
    EXPECT_EQ(aggregate.rate.sixteenths, 400);
    EXPECT_EQ(aggregate.wait.code, 50);
    EXPECT_EQ(aggregate.slowStartRate.steps.code, 60);
    const auto notice = decoded(MembershipNotice{9, HostIndex(299)});
    EXPECT_EQ(notice.host, HostIndex(299));
    const auto request = decoded(LeaseRequest{1ull << 60, 7, 20'001});
    EXPECT_EQ(request.volume, 1ull << 60);
    EXPECT_EQ(request.chunks, 7);
    EXPECT_EQ(request.stamp, 20'001u);
    const auto grant = decoded(LeaseGrant{5, 4, {320}, 20'001});
    EXPECT_EQ(grant.chunks, 4);
    EXPECT_EQ(grant.tokens.value(), 20);
    EXPECT_EQ(grant.stamp, 20'001u);
    EXPECT_EQ(decoded(LeaseReturn{5, 2, 3}).chunks, 2);
}

TEST(PeerMessage, TruncatedForeignAndUnknownMessagesAreRejected) {
    const std::string message = messageOf(LeaseRequest{5, 7, 1});
    EXPECT_EQ(message.size(), header(kIncarnation).size() + LeaseRequest::kEncodedBytes);
    for (std::size_t size = 0; size < message.size(); ++size)
        EXPECT_EQ(decode(message.substr(0, size)).has_value(), size == header(kIncarnation).size()) << size;
    std::string foreign = message;
    foreign[0] = 'x';
    EXPECT_FALSE(decode(foreign));
    EXPECT_FALSE(decode(header(kIncarnation) + '\x0a'));
    EXPECT_FALSE(decode(header(kIncarnation) + '\0'));
}

TEST(PeerMessage, RecordsOfEarlierVersionsAreSkipped) {
    for (const char tag : {char(Tag::OldHello), char(Tag::OldWelcome)}) {
        std::string message = header(kIncarnation) + tag + "1234";
        append(message, MembershipNotice{9, HostIndex(2)});
        const auto read = decode(message);
        ASSERT_TRUE(read);
        EXPECT_EQ(read->records.size(), 1u);
    }
}

TEST(PeerMessage, WaitsAndRatesKeepTheirOrderOfMagnitude) {
    EXPECT_EQ(EncodedWait::of(0).code, 0);
    EXPECT_EQ(EncodedWait::of(1e30).code, 255);
    for (const double us : {1'000.0, 30'000.0, 500'000.0}) {
        EXPECT_LE(EncodedWait::of(us).us(), us);
        EXPECT_GT(EncodedWait::of(us).us(), us * 0.8);
    }
    EXPECT_NEAR(EncodedRate::of(20).rate(), 20, 2);
    EXPECT_EQ(FixedPoint::of(-1).sixteenths, 0);
    EXPECT_EQ(FixedPoint::of(1e9).sixteenths, 65535);
    EXPECT_EQ(saturateToByte(1e9), 255);
}

}  // namespace
}  // namespace wingproxy::peer
