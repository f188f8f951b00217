/// \file
/// The table of nodes and cells.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "policy/cell.h"
#include "policy/node.h"
#include "policy/usage_table.h"

namespace wingproxy {

/// Owns the nodes and cells. A node's index stays the same until the node is forgotten; a cell is indexed by
/// its number.
class NodeTable {
public:
    /// \param usage owns the usage of the cells; must outlive the table
    explicit NodeTable(UsageTable& usage) : usage_(usage) {}

    /// The result of `add`.
    struct AddResult {
        Node& node;
        bool isNew;  ///< it was not in the table before
    };
    /// The node with the id of `info`; if there is none, it is added to the cell of `info`.
    AddResult add(const NodeInfo& info);
    /// The node with this index.
    /// \throws std::out_of_range if no node ever had the index
    [[nodiscard]] Node& node(NodeIndex index) { return nodes_.at(index.position()); }
    /// As above, read-only.
    [[nodiscard]] const Node& node(NodeIndex index) const { return nodes_.at(index.position()); }
    /// The node with this id, or null.
    [[nodiscard]] Node* find(const std::string& id);
    /// All nodes by index. The entries of forgotten nodes remain and are not listed.
    [[nodiscard]] const std::vector<Node>& nodes() const { return nodes_; }
    /// Number of nodes, without those that are forgotten.
    [[nodiscard]] std::size_t nodeCount() const { return indexById_.size(); }
    /// Marks all nodes as not listed, before a complete list is applied.
    void unlistAll();
    /// Forgets nodes that were not listed for `period`, except those that have outstanding attempts or are in
    /// `pinned`.
    void forgetUnlisted(Micros period, const std::set<NodeIndex>& pinned, Micros now);

    /// The cell with this number; marks it as in use.
    const Cell& cell(CellIndex number) { return useCell(number); }
    /// All cells by number; some may not be in use yet.
    [[nodiscard]] const std::vector<Cell>& cells() const { return cells_; }
    /// Sets the number of cells to that of the settings; they are not in use yet.
    void addCells(int count) { cells_.resize(std::size_t(count)); }
    /// Recounts the ready nodes of each cell.
    void countReady();
    /// Number of this host's attempts that hold a slot at a node of the cell.
    [[nodiscard]] int outstandingIn(const Cell& cell) const;

    /// The contents of the table, for the snapshot.
    struct State {
        std::vector<Node> nodes;
        std::vector<NodeIndex> unusedNodes;  ///< indices to reuse
        std::map<std::string, NodeIndex> indexById;
        std::vector<Cell> cells;
    };
    /// A copy, for the snapshot.
    [[nodiscard]] State state() const { return {nodes_, unusedNodes_, indexById_, cells_}; }
    /// Restores a predecessor's state; the usage table must have been restored before.
    void restore(State state);

private:
    Cell& useCell(CellIndex number);

    UsageTable& usage_;
    std::vector<Node> nodes_;
    std::vector<NodeIndex> unusedNodes_;
    std::map<std::string, NodeIndex> indexById_;
    std::vector<Cell> cells_;
};

}  // namespace wingproxy
