/// \file
/// One storage node as this host sees it, and a cell of nodes that hold the same objects.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "policy/concurrency_limit.h"
#include "policy/outlier_detector.h"
#include "policy/slow_start.h"
#include "policy/usage_table.h"

namespace wingproxy {

/// A node's position in the `NodeTable`; another node may have it once that one was forgotten.
using NodeIndex = Index<struct NodeKind>;

/// A node, listed or remembered. Its index stays the same until it is forgotten.
struct Node {
    explicit Node(int attempts = 0) : outstanding(attempts) {}

    NodeInfo info;
    bool listed = false;
    int outstanding = 0;       ///< attempts of this host whose bodies are complete and that have no answer
    Micros listedAt = kNever;  ///< last time that it was seen on the list
    Micros servesDrainUntil = kNever;  ///< while draining it may get new requests until then
    ConcurrencyLimit concurrency;
    OutlierDetector outliers;
    SlowStartLimiter slowStart;

    /// Its process is new: nothing that was learnt of the one before holds.
    /// \param turnRounding see `SlowStartLimiter::withRounding`
    void restart(Micros now, double turnRounding) {
        *this = Node(outstanding);
        concurrency = ConcurrencyLimit::startingAt(now);
        outliers = OutlierDetector::startingAt(now);
        slowStart = SlowStartLimiter::withRounding(turnRounding);
    }
    [[nodiscard]] bool isReady() const { return listed && info.state == NodeState::Ready; }
};

/// Whether two nodes lie in the same scope of an idempotency key.
inline bool isInScope(KeyScope scope, const NodeInfo& one, const NodeInfo& other) {
    switch (scope) {
        case KeyScope::Global:
            return true;
        case KeyScope::Zone:
            return one.zone == other.zone;
        case KeyScope::Cell:
            return one.cell == other.cell;
    }
    return false;
}

/// Nodes that hold the same objects.
struct Cell {
    std::vector<NodeIndex> nodes;
    std::ptrdiff_t ready = 0;  ///< how many of them are ready
    std::uint32_t key = 0;     ///< of its use; 0: not in use yet
    KeyUsage* usage =
        nullptr;  ///< units due that are asked of it; owned by `UsageTable`; null: not in use yet
};

}  // namespace wingproxy
