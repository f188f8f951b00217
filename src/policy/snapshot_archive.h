/// \file
/// What a policy knows, as bytes and back, for a successor process of the same host.
///
/// What is bound to this process's open requests is left out. The order of the fields is that of the first
/// version, and not that of the parts which own them: a process of another version may have written the
/// bytes.
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
    std::deque<Micros> retryTimes;
};

/// \param settings of this host: both processes must mean the same by an index
std::string encodeSnapshot(const Settings& settings, const PolicyState& state);
/// The state, or nothing where the bytes are damaged or belong to a host with other settings. References
/// between its parts are not set.
std::optional<PolicyState> decodeSnapshot(const Settings& settings, const std::string& bytes);

}  // namespace wingproxy
