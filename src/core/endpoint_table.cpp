#include "core/endpoint_table.h"

#include <algorithm>
#include <utility>

namespace wingproxy::core {
namespace {

/// How long the override that ended an administrative drain is kept after its node's slow start. Older
/// overrides from other processes of this front arrive within this time; if the newer one were gone, they
/// would drain the node again.
constexpr Micros kEndedDrainRetention = 60'000'000;

}  // namespace

EndpointList EndpointTable::update(EndpointList list, Micros now) {
    if (list.kind == EndpointListKind::Full || list.kind == EndpointListKind::Cached) listed_.clear();
    for (auto& node : list.nodes) {
        if (node.state == NodeState::Removed) {
            listed_.erase(node.id);
        } else {
            listed_[node.id] = node;
            recordEverListed(node.id);
        }
        node = withOverride(std::move(node));
        updateDrain(node, now);
    }
    dropExpired(now);
    return list;
}

std::optional<NodeInfo> EndpointTable::update(const AdminOverrideChanged& change, Micros now) {
    const auto it = overrides_.find(change.node);
    const AdminOverride before = it == overrides_.end() ? AdminOverride{false, 0} : it->second;
    if (before.drained == change.newOverride.drained || change.newOverride.at <= before.at) return {};
    overrides_.insert_or_assign(change.node, change.newOverride);
    const NodeInfo* listed = find(change.node);
    if (listed == nullptr) return {};  // applied when a list names the node
    NodeInfo node = withOverride(*listed);
    updateDrain(node, now);
    return node;
}

NodeInfo EndpointTable::withOverride(NodeInfo listed) const {
    const auto it = overrides_.find(listed.id);
    if (it == overrides_.end()) return listed;
    if (!it->second.drained)
        listed.startedUs = std::max(listed.startedUs, it->second.at);
    else if (listed.state == NodeState::Ready)
        listed.state = NodeState::Draining;
    return listed;
}

void EndpointTable::recordEverListed(const std::string& node) {
    if (everListed_.insert(node).second) everListedOrder_.push_back(node);
}

void EndpointTable::updateDrain(const NodeInfo& node, Micros now) {
    if (node.state == NodeState::Draining)
        drainingSince_.try_emplace(node.id, now);
    else
        drainingSince_.erase(node.id);
}

void EndpointTable::dropExpired(Micros now) {
    for (; everListedOrder_.size() > kMaxEverListed; everListedOrder_.pop_front())
        everListed_.erase(everListedOrder_.front());
    std::erase_if(drainingSince_, [&](const auto& entry) { return !listed_.contains(entry.first); });
    std::erase_if(overrides_, [&](const auto& entry) {
        const AdminOverride& newest = entry.second;
        return !newest.drained && now - newest.at > slowStartDuration_ + kEndedDrainRetention;
    });
}

const NodeInfo* EndpointTable::find(const std::string& node) const {
    const auto it = listed_.find(node);
    return it == listed_.end() ? nullptr : &it->second;
}

std::optional<Micros> EndpointTable::drainingSince(const std::string& node) const {
    const auto it = drainingSince_.find(node);
    if (it == drainingSince_.end()) return {};
    return it->second;
}

bool EndpointTable::everListed(const std::string& node) const {
    return listed_.contains(node) || everListed_.contains(node);
}

std::size_t EndpointTable::adminDrainedNodes() const {
    return std::size_t(std::count_if(overrides_.begin(), overrides_.end(),
                                     [](const auto& entry) { return entry.second.drained; }));
}

std::size_t EndpointTable::size() const { return listed_.size() + drainingSince_.size() + overrides_.size(); }

void EndpointTable::saveTo(StateSnapshot& snapshot) const {
    for (const auto& [id, node] : listed_)
        snapshot.endpoints.push_back(node);
    snapshot.drainingSince = drainingSince_;
    snapshot.everListed.assign(everListedOrder_.begin(), everListedOrder_.end());
}

void EndpointTable::restoreFrom(const StateSnapshot& snapshot) {
    for (const auto& [id, since] : snapshot.drainingSince)
        drainingSince_.insert_or_assign(id, since);
    for (const auto& id : snapshot.everListed)
        recordEverListed(id);
}

}  // namespace wingproxy::core
