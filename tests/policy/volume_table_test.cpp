// Tests that the names of clients cannot make the table of volumes grow without bound.
#include "policy/volume_table.h"

#include <gtest/gtest.h>

#include "support/policy_support.h"

namespace wingproxy::test {
namespace {

constexpr int kLimitedPlan = 0;
constexpr int kOpenPlan = 1;

// A host with one node, on which every request is answered at once.
struct NamedVolumes {
    NamedVolumes() { host.batch({nodes({node("a", 0)})}); }

    // Sends one request under a name. Returns the actions that answer or forward it.
    std::vector<Action> send(int plan, const std::string& volume, double units = 1) {
        Request next = request(++lastId, 0, plan, host.now, units);
        next.volume = volume;
        auto actions = host.batch({next});
        for (const auto& forwarded : only<ForwardRequest>(actions))
            host.batch({ended(forwarded.id, 0, forwarded.node, Outcome::Ok)});
        return actions;
    }
    // Sends one request for each of `count` names that were never used before.
    void sendNewNames(int plan, int count) {
        for (int i = 0; i < count; ++i)
            send(plan, "new-" + std::to_string(++lastName));
    }

    Host host{settings(), kStart};
    RequestId lastId = 0;
    int lastName = 0;
};

bool isForwarded(const std::vector<Action>& actions) { return !only<ForwardRequest>(actions).empty(); }

}  // namespace

// Guards against memory that grows without end, and a tick that takes ever longer, under ever new names.
TEST(VolumeTable, NewNamesDoNotMakeTheTablesGrowWithoutBound) {
    NamedVolumes volumes;
    constexpr auto kMax = VolumeTable::kMaxVolumes;
    for (int round = 0; round < 10; ++round) {
        volumes.sendNewNames(kOpenPlan, kMax / 2);
        volumes.host.runTo(volumes.host.now + 20 * kMs);
        EXPECT_LE(volumes.host.policy.tableEntries(), 2 * kMax + 100);
    }
    EXPECT_TRUE(isForwarded(volumes.send(kOpenPlan, "other")));
}

TEST(VolumeTable, AVolumeThatSpentItsBurstIsKeptUntilItsBucketHasHadTimeToFill) {
    NamedVolumes volumes;
    volumes.host.runTo(volumes.host.now + 10 * kSecond);  // the bucket is full: 48 units
    double spent = 0;
    while (isForwarded(volumes.send(kLimitedPlan, "spent", 6)))
        spent += 6;
    EXPECT_EQ(spent, 48);
    volumes.host.runTo(volumes.host.now + 20 * kMs);
    volumes.sendNewNames(kOpenPlan, 3 * int(VolumeTable::kMaxVolumes));
    EXPECT_FALSE(isForwarded(volumes.send(kLimitedPlan, "spent", 6)));
}

TEST(VolumeTable, AtTheLimitANewNameIsRejectedAndAKnownOneIsServed) {
    NamedVolumes volumes;
    volumes.host.runTo(volumes.host.now + 10 * kSecond);
    volumes.sendNewNames(kLimitedPlan, int(VolumeTable::kMaxVolumes));
    const auto rejections = only<RejectRequest>(volumes.send(kLimitedPlan, "one too many"));
    ASSERT_EQ(rejections.size(), 1U);
    EXPECT_EQ(rejections[0].reason, AnswerReason::NoCapacity);
    EXPECT_GT(rejections[0].retryAfterUs, 0);
    EXPECT_TRUE(isForwarded(volumes.send(kLimitedPlan, "new-1")));
    volumes.host.runTo(volumes.host.now + 3 * kSecond);  // longer than a bucket takes to fill
    EXPECT_TRUE(isForwarded(volumes.send(kLimitedPlan, "one too many")));
}

}  // namespace wingproxy::test
