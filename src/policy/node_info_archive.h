// A node of the list as bytes, the same in every archive that holds one (cereal calls this by its name).
#pragma once

#include "wingproxy/policy.h"

namespace wingproxy {

template <typename A>
void serialize(A& a, NodeInfo& n) {
    a(n.id, n.zone, n.cell, n.rating, n.state, n.startedUs);
}

}  // namespace wingproxy
