/// \file
/// Serialization of `NodeInfo`, shared by every archive that holds one: the snapshot of the policy and that
/// of the front.
#pragma once

#include "wingproxy/policy.h"

namespace wingproxy {

/// Writes or reads a node; cereal finds this function by its name. The order of the fields is the stored
/// format.
template <typename Archive>
void serialize(Archive& archive, NodeInfo& node) {
    archive(node.id, node.zone, node.cell, node.rating, node.state, node.startedUs);
}

}  // namespace wingproxy
