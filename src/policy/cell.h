/// \file
/// A cell: a group of nodes that hold the same objects, so that any of them can serve a request of the cell.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "policy/key_usage.h"
#include "policy/node_index.h"

namespace wingproxy {

/// A cell. Owned by `NodeTable`; read-only for everything else.
struct Cell {
    std::vector<NodeIndex> nodes;
    std::ptrdiff_t ready = 0;  ///< number of ready nodes, as of the last endpoint list
    std::uint32_t key = 0;     ///< names its usage in gossip; 0: not in use yet
    /// The demand for it, in weighted units: see `Admission::classify`. Owned by `UsageTable`; null: not in
    /// use yet.
    KeyUsage* usage = nullptr;
};

}  // namespace wingproxy
