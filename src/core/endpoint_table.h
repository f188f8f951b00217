/// \file
/// The endpoint list as discovery reported it, and the operators' overrides: which nodes are listed, which
/// are draining and since when, and which ids were ever listed.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/inputs.h"
#include "core/state_snapshot.h"
#include "wingproxy/policy.h"

namespace wingproxy::core {

/// Merges the endpoint list and the admin overrides into the list that the policy sees.
///
/// The policy sees a node under an administrative drain as Draining. A node whose drain was ended is treated
/// as just started (slow start), because it was probably restarted meanwhile and the list may report that
/// only later. Of two overrides of a node the newer one applies.
class EndpointTable {
public:
    /// Maximum number of ever-listed ids that are kept, so that an operator can still name a node that is no
    /// longer listed. The oldest are dropped first.
    static constexpr std::size_t kMaxEverListed = 4'096;

    /// \param slowStartDuration time from a node's start until it has its full capacity, in microseconds
    explicit EndpointTable(Micros slowStartDuration) : slowStartDuration_(slowStartDuration) {}

    /// Applies a list from discovery and returns it with the overrides applied to it.
    [[nodiscard]] EndpointList update(EndpointList list, Micros now);
    /// Applies an override. Returns the node as the policy must see it from now on; empty if the override
    /// changes nothing, is not newer than the one in force, or names a node that is not listed now.
    [[nodiscard]] std::optional<NodeInfo> update(const AdminOverrideChanged& change, Micros now);

    /// The node as discovery listed it, without overrides; null if it is not listed.
    [[nodiscard]] const NodeInfo* find(const std::string& node) const;
    /// When this host first read that the node is draining; empty if it is not.
    [[nodiscard]] std::optional<Micros> drainingSince(const std::string& node) const;
    /// Whether this id is listed or was listed before. An id that is no longer listed is forgotten after
    /// `kMaxEverListed` newer ids.
    [[nodiscard]] bool everListed(const std::string& node) const;
    /// The newest override of each node. That of an ended drain is dropped 60 s after the node's slow start.
    /// Valid as long as the table.
    [[nodiscard]] const AdminOverrides& overrides() const { return overrides_; }
    /// Number of nodes under an administrative drain.
    [[nodiscard]] std::size_t adminDrainedNodes() const;
    /// Number of entries, without the ever-listed ids, which have their own bound.
    [[nodiscard]] std::size_t size() const;

    /// Writes this table's fields of the snapshot.
    void saveTo(StateSnapshot& snapshot) const;
    /// Adds the draining nodes and ever-listed ids of the snapshot. Its endpoint list must be put in
    /// separately, as an `EndpointListReceived`.
    void restoreFrom(const StateSnapshot& snapshot);

private:
    [[nodiscard]] NodeInfo withOverride(NodeInfo listed) const;
    void recordEverListed(const std::string& node);
    void updateDrain(const NodeInfo& node, Micros now);
    void dropExpired(Micros now);

    Micros slowStartDuration_;
    std::map<std::string, NodeInfo, std::less<>> listed_;       // without overrides
    std::map<std::string, Micros, std::less<>> drainingSince_;  // with overrides
    std::set<std::string> everListed_;
    std::deque<std::string> everListedOrder_;  // oldest first
    AdminOverrides overrides_;
};

}  // namespace wingproxy::core
