/// \file
/// The index by which the parts of the policy refer to a node.
#pragma once

#include "wingproxy/index.h"

namespace wingproxy {

/// A node's position in `NodeTable`. It stays the same until the node is forgotten, and may then be reused.
using NodeIndex = Index<struct NodeKind>;

}  // namespace wingproxy
