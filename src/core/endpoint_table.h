/// \file
/// The endpoint list as discovery reported it, with the operators' overrides: which nodes are listed, which
/// of them drain and since when, and which ids were ever listed.
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

/// Joins the endpoint list and the admin overrides into the list that the policy sees.
///
/// A node under an administrative drain is Draining to the policy. One whose drain was ended has just started
/// (slow start), as it was probably restarted meanwhile and the list may say so later. Of two overrides of a
/// node the newer one counts.
class EndpointTable {
public:
    /// Ever-listed ids that are remembered, so that an operator may name a node that is gone. The oldest are
    /// dropped first.
    static constexpr std::size_t kMaxEverListed = 4'096;

    /// \param slowStartDuration until a node that has started has its full capacity
    explicit EndpointTable(Micros slowStartDuration) : slowStartDuration_(slowStartDuration) {}

    /// Takes a list from discovery and returns it with the overrides applied.
    [[nodiscard]] EndpointList update(EndpointList list, Micros now);
    /// Takes an override. Returns the node as the policy is to see it from now on; nothing where the override
    /// changes nothing, is older than the one in force, or names a node that is not listed now.
    [[nodiscard]] std::optional<NodeInfo> update(const AdminOverrideChanged& change, Micros now);

    /// The node as discovery listed it; null where it is not listed.
    [[nodiscard]] const NodeInfo* find(const std::string& node) const;
    /// When it was read that this node drains; nothing where it does not.
    [[nodiscard]] std::optional<Micros> drainingSince(const std::string& node) const;
    /// Whether this id is listed or was listed before; forgotten beyond `kMaxEverListed` newer ids.
    [[nodiscard]] bool everListed(const std::string& node) const;
    /// The newest order for each node that ever had one. Valid as long as the table.
    [[nodiscard]] const AdminOverrides& overrides() const { return overrides_; }
    /// Nodes under an administrative drain.
    [[nodiscard]] std::size_t adminDrainedNodes() const;
    /// Entries of all tables but that of the ever-listed ids, which has its own bound.
    [[nodiscard]] std::size_t size() const;

    /// Writes this table's fields of the snapshot.
    void saveTo(StateSnapshot& snapshot) const;
    /// Adds the draining nodes and ever-listed ids of the snapshot; its list comes as an input of its own.
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
    std::deque<std::string> everListedOrder_;  // the oldest first
    AdminOverrides overrides_;
};

}  // namespace wingproxy::core
