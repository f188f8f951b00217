// Tests when work counts as spare: the water level of a cell while its nodes leave and return.
#include <gtest/gtest.h>

#include "policy/policy_test_support.h"

namespace wingproxy::test {
namespace {

// A cell without a node, as during a rollout, is not overloaded. If its water level falls meanwhile, the new
// node is idle for seconds while the cell's requests are rejected as spare.
TEST(Admission, ACellThatHadNoNodeServesAllRequestsOnceItHasOne) {
    Host h = ready();
    RequestId id = 0;
    h.batch({nodes({node("a", 0, NodeState::Removed)}, EndpointListKind::Delta)});
    for (int i = 0; i < 30; ++i) {
        h.batch({request(++id, 0, 1, h.now, 6)});
        h.runTo(h.now + 100 * kMs);
    }
    h.batch({nodes({node("c", 0)}, EndpointListKind::Delta)});
    for (int i = 0; i < 20; ++i) {  // each is answered before the next one comes
        ASSERT_EQ(only<ForwardRequest>(h.batch({request(++id, 0, 1, h.now, 6)})).size(), 1u) << i;
        h.runTo(h.now + 20 * kMs);
        h.batch({ended(id, 0, "c", Outcome::Ok)});
    }
}

}  // namespace
}  // namespace wingproxy::test
