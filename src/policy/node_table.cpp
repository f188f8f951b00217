#include "policy/node_table.h"

#include <algorithm>
#include <utility>

namespace wingproxy {

NodeTable::AddResult NodeTable::add(const NodeInfo& info) {
    if (unusedNodes_.empty()) {
        unusedNodes_.push_back(NodeIndex::ofPosition(nodes_.size()));
        nodes_.emplace_back();
    }
    const auto [entry, isNew] = indexById_.try_emplace(info.id, unusedNodes_.back());
    if (isNew) {
        unusedNodes_.pop_back();
        if (info.cell.isSet()) useCell(info.cell).nodes.push_back(entry->second);
    }
    return {node(entry->second), isNew};
}

Node* NodeTable::find(const std::string& id) {
    const auto entry = indexById_.find(id);
    return entry == indexById_.end() ? nullptr : &node(entry->second);
}

void NodeTable::unlistAll() {
    for (Node& node : nodes_)
        node.unlist();
}

void NodeTable::forgetUnlisted(Micros period, const std::set<NodeIndex>& pinned, Micros now) {
    for (auto entry = indexById_.begin(); entry != indexById_.end();) {
        const NodeIndex index = entry->second;
        Node& known = node(index);
        known.refreshListedAt(now);
        if (!known.isForgettable(period, now) || pinned.contains(index)) {
            ++entry;
            continue;
        }
        for (Cell& cell : cells_)
            std::erase(cell.nodes, index);
        known = Node();
        unusedNodes_.push_back(index);
        entry = indexById_.erase(entry);
    }
}

Cell& NodeTable::useCell(CellIndex number) {
    if (number.position() >= cells_.size()) cells_.resize(number.position() + 1);
    Cell& cell = cells_[number.position()];
    if (!cell.usage) {
        cell.key = UsageTable::keyOf(std::to_string(number.value()));
        cell.usage = &usage_.entry(cell.key);
        cell.usage->assignCell(number);
    }
    return cell;
}

void NodeTable::countReady() {
    for (Cell& cell : cells_)
        cell.ready = std::count_if(cell.nodes.begin(), cell.nodes.end(),
                                   [&](NodeIndex index) { return node(index).isReady(); });
}

int NodeTable::outstandingIn(const Cell& cell) const {
    int sum = 0;
    for (const NodeIndex index : cell.nodes)
        sum += node(index).outstanding();
    return sum;
}

void NodeTable::restore(State state) {
    nodes_ = std::move(state.nodes);
    unusedNodes_ = std::move(state.unusedNodes);
    indexById_ = std::move(state.indexById);
    cells_ = std::move(state.cells);
    for (Cell& cell : cells_)
        cell.usage = cell.key != 0 ? usage_.find(cell.key) : nullptr;
}

}  // namespace wingproxy
