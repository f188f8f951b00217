/// \file
/// Helpers of the tests that feed events to one policy and look at its actions.
#pragma once

#include <set>
#include <vector>

#include "support/policy_support.h"

namespace wingproxy::test {

/// A host that knows a ready node in each of the two cells.
inline Host ready(const Settings& s = settings()) {
    Host h(s, kStart);
    h.batch({nodes({node("a", 0), node("b", 1)})});
    return h;
}

/// How many final answers that are no success are among the actions.
inline std::size_t finals(const std::vector<Action>& actions) {
    return only<RejectRequest>(actions).size() + only<FailRequest>(actions).size();
}

}  // namespace wingproxy::test
