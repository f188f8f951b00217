/// \file
/// How the parts of the policy name a node.
#pragma once

#include "wingproxy/index.h"

namespace wingproxy {

/// A node's position in `NodeTable`. It stays the same until the node is forgotten; another node may have it
/// afterwards.
using NodeIndex = Index<struct NodeKind>;

}  // namespace wingproxy
