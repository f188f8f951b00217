// Tests the settings that are read from an "UP" line.
#include "wire_settings.h"

#include <gtest/gtest.h>

using namespace wingproxy;
using namespace wingproxy::wire;

namespace {

Settings settingsOf(const std::string& fields) {
    const auto text = "UP " + fields;
    return parseSettings(WireLine(text, 1));
}

std::string errorOf(const std::string& fields) {
    try {
        settingsOf(fields);
    } catch (const WireError& error) {
        return error.field + ": " + error.reason;
    }
    return "";
}

TEST(WireSettings, AMissingFieldKeepsItsDefault) { EXPECT_EQ(settingsOf(""), Settings()); }

TEST(WireSettings, FieldsOfEachSectionAreRead) {
    const auto settings = settingsOf(
        "rngSeed=5 me=1 replicasOfMe=2 zone=z roundUs=9 allowed.tryLimit=3 allowed.cancel=true "
        "obligations.askEveryUs=10 extra.shards=4 report.columns=depth,busy report.how=probe "
        "registryMode=on_request");
    EXPECT_EQ(settings.seed, 5U);
    EXPECT_EQ(settings.hostIndex, HostIndex(1));
    EXPECT_EQ(settings.hostCount, 2);
    EXPECT_EQ(settings.zone, "z");
    EXPECT_EQ(settings.roundUs, 9);
    EXPECT_EQ(settings.maxAttempts, 3);
    EXPECT_TRUE(settings.mayCancel);
    EXPECT_EQ(settings.pollIntervalUs, 10);
    EXPECT_EQ(settings.cellCount, 4);
    EXPECT_EQ(settings.reportColumns, (std::vector<std::string>{"depth", "busy"}));
    EXPECT_TRUE(settings.loadReportsOnlyByHealthCheck);
    EXPECT_TRUE(settings.pollsEndpointList);
}

TEST(WireSettings, ClassesAndPlansAreRead) {
    const auto settings = settingsOf(
        "classes.count=2 classes.0.name=read classes.1.name=write classes.1.effect=deduplicated "
        "classes.1.keyScope=cell extra.changesData=false,true serviceLevels.count=1 "
        "serviceLevels.0.name=basic serviceLevels.0.limit=33");
    ASSERT_EQ(settings.classes.size(), 2U);
    EXPECT_EQ(settings.classes[0].name, "read");
    EXPECT_FALSE(settings.classes[0].writes);
    EXPECT_EQ(settings.classes[1].retrySafety, RetrySafety::IdempotentWithKey);
    EXPECT_EQ(settings.classes[1].keyScope, KeyScope::Cell);
    EXPECT_TRUE(settings.classes[1].writes);
    ASSERT_EQ(settings.plans.size(), 1U);
    EXPECT_EQ(settings.plans[0].limit, 33);
}

TEST(WireSettings, AnErrorNamesThePath) {
    EXPECT_EQ(errorOf("obligations.askEveryUs=x"), "obligations.askEveryUs: not a number: \"x\"");
    EXPECT_EQ(errorOf("allowed.cancel=maybe"), "allowed.cancel: not true or false: \"maybe\"");
    EXPECT_EQ(errorOf("classes.count=1 classes.0.effect=odd"), "classes.0.effect: unknown effect \"odd\"");
    EXPECT_EQ(errorOf("classes.count=1 classes.0.keyScope=odd"), "classes.0.keyScope: unknown scope \"odd\"");
    EXPECT_EQ(errorOf("classes.count=10001"), "classes.count: 10001 is more than 10000");
}

}  // namespace
