// The adapter: wire lines in, wire lines out, and what is not the wire.
#include <gtest/gtest.h>

#include <random>
#include <sstream>

#include "instances.h"

using namespace wingproxy;
using namespace wingproxy::wire;

namespace {

const std::string kUp =
    "UP who=head/3 rngSeed=5 allowed.tryLimit=3 classes.count=1 classes.0.aimUs=300000 "
    "classes.0.deadlineUs=1500000 "
    "classes.0.effect=idempotent classes.0.keyScope=all classes.0.name=read classes.0.value=2.0 me=3 "
    "replicasOfMe=4 "
    "serviceLevels.count=1 serviceLevels.0.name=basic serviceLevels.0.baseRate=3.3 extra.shards=1 "
    "some.new.key=1\n";
const std::string kList =
    "ROSTER setId=0 rowsIn=1\nENTRY cohort=0 rating=1 readiness=Ready area=hall shelf=10.0.0.1:8001 novel=7\n"
    "REGISTRY who=head/3 how=warm_copy serial=1 setId=0\n";
const std::string kRequest =
    "INCOMING who=head/3 corr=42 qos=read grade=basic item=00 validUntilUs=2500000 disk=ab sizeUnits=2 "
    "liesIn=0 setSize=1\n";

std::string play(const std::string& input) {
    Instances instances;
    std::istringstream in(input);
    std::string out;
    while (instances.serveBatch(in, out)) {}
    return out;
}

std::string batch(int n, const std::string& events) {
    return "BEGIN_BATCH tsUs=" + std::to_string(1000000 + n * 1000) + " batch=" + std::to_string(n) + "\n" +
           events + "OVER_TO_YOU\n";
}

std::string complaint(const std::string& input) {
    try {
        play(input);
    } catch (const Malformed& error) {
        return error.what();
    }
    return "";
}

TEST(Wire, AnEmptyBatchIsAnswered) { EXPECT_EQ(play(batch(1, "")), "OK batch=1\n"); }

TEST(Wire, ARequestIsSent) {
    const auto out = play(batch(1, kUp + kList) + batch(2, kRequest));
    EXPECT_NE(out.find("DISPATCH who=head/3 corr=42 shelf=10.0.0.1:8001\n"), std::string::npos) << out;
    EXPECT_NE(out.find("OK batch=2\n"), std::string::npos);
}

TEST(Wire, UnknownMessagesAndKeysAreIgnored) {
    EXPECT_EQ(play(batch(1, "NOVELTY who=head/3 x=1\n")), "OK batch=1\n");
}

TEST(Wire, APowerOffForgetsTheInstance) {
    const auto out = play(batch(1, kUp + kList) + batch(2, "POWER_OFF who=head/3\n"));
    EXPECT_NE(out.find("OK batch=2\n"), std::string::npos);
    EXPECT_NE(complaint(batch(1, kUp + kList) + batch(2, "POWER_OFF who=head/3\n" + kRequest)), "");
}

TEST(Wire, MalformedInputNamesLineAndField) {
    const auto text =
        complaint(batch(1, kUp + kList) + batch(2, "INCOMING who=head/3 corr=x validUntilUs=9\n"));
    EXPECT_NE(text.find("line 8"), std::string::npos) << text;
    EXPECT_NE(text.find("corr"), std::string::npos) << text;
    EXPECT_NE(complaint("HELLO\n"), "");
    EXPECT_NE(complaint("BEGIN_BATCH tsUs=1 batch=1\n"), "");
    EXPECT_NE(complaint(batch(1, kUp + kList + "ENDED who=head/3 corr=1 shot=0 code=odd\n")), "");
    EXPECT_NE(complaint(batch(1, "ROSTER setId=16 rowsIn=0\n")), "");
}

TEST(Wire, Base64) {
    for (const std::string bytes : {"", "a", "ab", "abc", "abcd", "hi 7"}) {
        std::string back;
        ASSERT_TRUE(decodeBase64(encodeBase64(bytes), back));
        EXPECT_EQ(back, bytes);
    }
    std::string out;
    EXPECT_EQ(encodeBase64("hi 7"), "aGkgNw==");
    EXPECT_FALSE(decodeBase64("a", out));
    EXPECT_FALSE(decodeBase64("a=bc", out));
    EXPECT_FALSE(decodeBase64("ab=c", out));
}

TEST(Wire, MangledLinesNeverCrash) {  // fixed seed; malformed ones end in a plain complaint
    std::mt19937_64 random(11);
    const std::string good = batch(1, kUp + kList) + batch(2, kRequest);
    int complaints = 0;
    for (int i = 0; i < 400; ++i) {
        std::string bad = good;
        for (int k = 0; k < 3; ++k)
            bad[random() % bad.size()] = static_cast<char>(32 + random() % 95);
        complaints += complaint(bad).empty() ? 0 : 1;
    }
    EXPECT_GT(complaints, 50);
}

}  // namespace
