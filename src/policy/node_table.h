/// \file
/// The tables of nodes and cells.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "policy/cell.h"
#include "policy/node.h"
#include "policy/usage_table.h"

namespace wingproxy {

/// Owns nodes and cells. A node's index stays the same until the node is forgotten; a cell's number is its
/// index.
class NodeTable {
public:
    /// \param usage owns the use of the cells; must outlive the table
    explicit NodeTable(UsageTable& usage) : usage_(usage) {}

    /// The node of an entry of the list.
    struct Added {
        Node& node;
        bool isNew;  ///< nothing is known of it yet
    };
    /// The node with the name and cell of `info`, made if there is none.
    Added add(const NodeInfo& info);
    /// The node of this index.
    /// \throws std::out_of_range if the index was never given
    [[nodiscard]] Node& node(NodeIndex index) { return nodes_.at(index.position()); }
    /// As above, to read.
    [[nodiscard]] const Node& node(NodeIndex index) const { return nodes_.at(index.position()); }
    /// The node of this name, or null.
    [[nodiscard]] Node* find(const std::string& id);
    /// All nodes by index, those that are forgotten too: these are not listed.
    [[nodiscard]] const std::vector<Node>& nodes() const { return nodes_; }
    /// Number of nodes without those that are forgotten.
    [[nodiscard]] std::size_t namedNodes() const { return indexById_.size(); }
    /// Marks all nodes as not listed, before a complete list is taken over.
    void unlistAll();
    /// Forgets nodes that were not listed for `period`, but for those with attempts outstanding or in
    /// `pinned`.
    void forgetUnlisted(Micros period, const std::set<NodeIndex>& pinned, Micros now);

    /// The cell of this number, in use from now on.
    const Cell& cell(CellIndex number) { return useCell(number); }
    /// All cells by number; some may not be in use yet.
    [[nodiscard]] const std::vector<Cell>& cells() const { return cells_; }
    /// Makes room for cells that the settings announce; they are not in use yet.
    void addCells(int count) { cells_.resize(std::size_t(count)); }
    /// Counts the ready nodes of each cell anew.
    void countReady();
    /// Attempts of this host that are outstanding in a cell.
    [[nodiscard]] int outstandingIn(const Cell& cell) const;

    /// All of it, for the snapshot.
    struct State {
        std::vector<Node> nodes;
        std::vector<NodeIndex> unusedNodes;  ///< indices that are free
        std::map<std::string, NodeIndex> indexById;
        std::vector<Cell> cells;
    };
    /// A copy, for the snapshot.
    [[nodiscard]] State state() const { return {nodes_, unusedNodes_, indexById_, cells_}; }
    /// Takes a state over; the usage table must have been restored before.
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
