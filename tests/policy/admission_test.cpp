// Specifies when work counts as spare: the water level of a cell over the loss and return of its nodes.
#include <gtest/gtest.h>

#include "policy/policy_test_support.h"

namespace wingproxy::test {
namespace {

// While a release leaves a cell without a node, nothing is overloaded there: its water level fell to nothing
// all the same, and the new node stood idle for seconds while its cell's work was rejected as spare.
TEST(Admission, ACellThatWasWithoutANodeServesAllItsWorkOnceItHasOne) {
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
