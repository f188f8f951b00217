/// \file
/// Helpers for tests that feed events to one policy and check its actions.
#pragma once

#include <set>
#include <vector>

#include "support/policy_support.h"

namespace wingproxy::test {

/// A host that knows one ready node in each of the two cells.
inline Host ready(const Settings& s = settings()) {
    Host h(s, kStart);
    h.batch({nodes({node("a", 0), node("b", 1)})});
    return h;
}

/// The number of rejections and failures among the actions: final answers other than a success.
inline std::size_t finals(const std::vector<Action>& actions) {
    return only<RejectRequest>(actions).size() + only<FailRequest>(actions).size();
}

}  // namespace wingproxy::test
