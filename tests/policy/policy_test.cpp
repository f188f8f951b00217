// Tests properties of all events: late ones are ignored, and the same events produce the same actions.
#include <gtest/gtest.h>

#include "policy/policy_test_support.h"

namespace wingproxy::test {
namespace {

TEST(PolicyEvents, AboutFinishedRequestsAreIgnored) {
    Host h = ready();
    h.batch({request(1, 0, 1, h.now)});
    h.batch({ended(1, 0, "a", Outcome::Ok)});
    EXPECT_EQ(h.batch({ended(1, 0, "a", Outcome::Ok), ended(9, 0, "a", Outcome::Reset), RequestCancelled{1}})
                  .size(),
              0u);
}

TEST(PolicyEvents, TheSameEventsGiveTheSameActions) {
    const auto run = [] {
        Host h = ready();
        std::string trace;
        for (RequestId id = 1; id <= 60; ++id) {
            h.now += 3 * kMs;
            for (const auto& s : only<ForwardRequest>(h.batch({request(id * 7919, 0, 1, h.now, 2, -1)})))
                trace += std::to_string(s.id) + s.node + ";";
        }
        return trace;
    };
    EXPECT_EQ(run(), run());
    EXPECT_FALSE(run().empty());
}

}  // namespace
}  // namespace wingproxy::test
