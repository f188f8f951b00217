/// \file
/// Serializes and deserializes the state of a policy for a successor process of the same host.
///
/// State of open requests is left out, as these stay with this process. The order of the fields is fixed by
/// the first version and differs from that of their owners: another version may have written the bytes.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/admission.h"
#include "policy/gossip.h"
#include "policy/volume_table.h"

namespace wingproxy {

/// A cell with its water level.
struct CellState {
    Cell cell;
    Admission::WaterLevel level;
};

/// Everything that a snapshot holds.
struct PolicyState {
    Micros startedAt = 0;
    Micros leasesRecoveredAt = 0;
    Micros lastReportAt = 0;
    Micros lastForgetAt = 0;
    fleet::RestartRecovery recovery;
    std::uint64_t nextSequence = 0;
    std::vector<Node> nodes;
    std::vector<NodeIndex> unusedNodes;
    std::map<std::string, NodeIndex> nodeIndexById;
    std::vector<CellState> cells;
    VolumeByName volumes;
    UsageByKey usage;
    AggregateByKey aggregates;
    double requestBudget = 0;
    std::deque<Micros> requestTimes;  ///< of the retry budget
    std::deque<Micros> retryTimes;    ///< of the retry budget
};

/// The snapshot of a state, with a fingerprint of the settings: an index must mean the same in both
/// processes.
std::string encodeSnapshot(const Settings& settings, const PolicyState& state);
/// The state, or nothing if the bytes are damaged, have another layout version or were written with other
/// settings. Pointers between the parts are not restored.
std::optional<PolicyState> decodeSnapshot(const Settings& settings, const std::string& bytes);

}  // namespace wingproxy
