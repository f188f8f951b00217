// Tests the adapter as the simulator uses it: batches of messages in, actions out.
#include "simulated_hosts.h"

#include <gtest/gtest.h>

#include <random>
#include <sstream>

using namespace wingproxy;
using namespace wingproxy::wire;

namespace {

const std::string kStart =
    "UP who=head/3 rngSeed=5 allowed.tryLimit=3 classes.count=1 classes.0.aimUs=300000 "
    "classes.0.deadlineUs=1500000 "
    "classes.0.effect=idempotent classes.0.keyScope=all classes.0.name=read classes.0.value=2.0 me=3 "
    "replicasOfMe=4 "
    "serviceLevels.count=1 serviceLevels.0.name=basic serviceLevels.0.baseRate=3.3 extra.shards=1 "
    "some.new.key=1\n";
const std::string kEndpointList =
    "ROSTER setId=0 rowsIn=1\nENTRY cohort=0 rating=1 readiness=Ready area=hall shelf=10.0.0.1:8001 novel=7\n"
    "REGISTRY who=head/3 how=warm_copy serial=1 setId=0\n";
const std::string kRequest =
    "INCOMING who=head/3 corr=42 qos=read grade=basic item=00 validUntilUs=2500000 disk=ab sizeUnits=2 "
    "liesIn=0 setSize=1\n";

/// The response to all batches of the input.
std::string serve(const std::string& input) {
    SimulatedHosts hosts;
    std::istringstream in(input);
    std::string out;
    while (hosts.serveBatch(in, out)) {}
    return out;
}

std::string batch(int number, const std::string& messages) {
    return "BEGIN_BATCH tsUs=" + std::to_string(1000000 + number * 1000) +
           " batch=" + std::to_string(number) + "\n" + messages + "OVER_TO_YOU\n";
}

/// The error that the input causes; empty if there is none.
std::string errorOf(const std::string& input) {
    try {
        serve(input);
    } catch (const WireError& error) {
        return error.what();
    }
    return "";
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

TEST(SimulatedHosts, AnEmptyBatchIsAcknowledged) { EXPECT_EQ(serve(batch(1, "")), "OK batch=1\n"); }

TEST(SimulatedHosts, EmptyLinesBetweenBatchesAreIgnored) {
    EXPECT_EQ(serve(std::string("\n") + batch(1, "") + "\n\n" + batch(2, "")), "OK batch=1\nOK batch=2\n");
}

TEST(SimulatedHosts, ARequestIsForwarded) {
    const auto out = serve(batch(1, kStart + kEndpointList) + batch(2, kRequest));
    EXPECT_TRUE(contains(out, "DISPATCH who=head/3 corr=42 shelf=10.0.0.1:8001\n")) << out;
    EXPECT_TRUE(contains(out, "OK batch=2\n"));
}

TEST(SimulatedHosts, UnknownMessagesAndKeysAreIgnored) {
    EXPECT_EQ(serve(batch(1, "NOVELTY who=head/3 x=1\n")), "OK batch=1\n");
}

TEST(SimulatedHosts, AStoppedHostLosesItsState) {
    const auto stopped = batch(1, kStart + kEndpointList) + batch(2, "POWER_OFF who=head/3\n");
    EXPECT_TRUE(contains(serve(stopped), "OK batch=2\n"));
    EXPECT_NE(errorOf(batch(1, kStart + kEndpointList) + batch(2, "POWER_OFF who=head/3\n" + kRequest)), "");
}

TEST(SimulatedHosts, AnEventOfAHostThatHasNotStartedIsAnError) {
    EXPECT_EQ(errorOf(batch(1, kRequest)), "line 2 (INCOMING), field who: host head/3 has not started");
}

TEST(SimulatedHosts, AnErrorNamesLineAndField) {
    const auto error =
        errorOf(batch(1, kStart + kEndpointList) + batch(2, "INCOMING who=head/3 corr=x validUntilUs=9\n"));
    EXPECT_TRUE(contains(error, "line 8")) << error;
    EXPECT_TRUE(contains(error, "corr")) << error;
}

TEST(SimulatedHosts, MalformedInputIsAnError) {
    EXPECT_NE(errorOf("HELLO\n"), "");
    EXPECT_NE(errorOf("BEGIN_BATCH tsUs=1 batch=1\n"), "");
    EXPECT_NE(errorOf(batch(1, kStart + kEndpointList + "ENDED who=head/3 corr=1 shot=0 code=odd\n")), "");
    EXPECT_NE(errorOf(batch(1, "ROSTER setId=16 rowsIn=0\n")), "");
}

TEST(SimulatedHosts, AnEndpointListThatIsCutShortIsAnError) {
    EXPECT_EQ(errorOf("BEGIN_BATCH tsUs=1 batch=1\nROSTER setId=0 rowsIn=1\n"),
              "line 1 (BEGIN_BATCH), field batch: input ends inside an endpoint list");
}

// Many mutations make a line malformed, which must be reported as a WireError and must have no other effect.
// The seed is fixed, so that a failure is reproducible.
TEST(SimulatedHosts, MutatedInputCausesNoOtherFailureThanAnError) {
    std::mt19937_64 random(11);
    const std::string valid = batch(1, kStart + kEndpointList) + batch(2, kRequest);
    int errors = 0;
    for (int i = 0; i < 400; ++i) {
        std::string mutated = valid;
        for (int k = 0; k < 3; ++k)
            mutated[random() % mutated.size()] = static_cast<char>(32 + random() % 95);
        errors += errorOf(mutated).empty() ? 0 : 1;
    }
    EXPECT_GT(errors, 50);
}

}  // namespace
