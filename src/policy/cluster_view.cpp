#include "policy/cluster_view.h"

#include <algorithm>

#include "policy/peer_message.h"

namespace wingproxy {
namespace {

constexpr Micros kWatchBackoff = 100'000;  // after the first failed call to discovery; doubles
// Discovery accepts new watches one at a time and fails those that wait for 2 s. For each host beyond
// kMaxHostsWithoutSpread, the period over which the hosts spread their calls grows by kWatchSpreadPerHost
// (docs/fleet.md).
constexpr int kMaxHostsWithoutSpread = 8;
constexpr Micros kWatchSpreadPerHost = 25'000;
constexpr double kRenewFraction = 0.7;  // of the poll interval, after which the list is requested again
// Fraction of the grace period in which a draining node still gets requests if its cell has no ready node. A
// successor is often listed a second or two after the drain was announced; until then, a request that the
// draining node rejects is no worse off than one that is not sent.
constexpr double kDrainFraction = 0.7;

}  // namespace

ClusterView::ClusterView(Context& context, UsageTable& usage)
    : context_(context), usage_(usage), table_(usage) {
    table_.addCells(std::max(context.settings.cellCount, 0));
    nextWatchAt_ = context.now + jitter(watchSpread());
}

Micros ClusterView::watchSpread() const {
    const Settings& settings = context_.settings;
    const Micros spread = kWatchSpreadPerHost * std::max(0, settings.hostCount - kMaxHostsWithoutSpread);
    return std::min(spread, settings.pollIntervalUs / 2);
}

void ClusterView::renewWatch() {
    const Settings& settings = context_.settings;
    if (!settings.pollsEndpointList || context_.now < nextWatchAt_) return;
    nextWatchAt_ = settings.pollIntervalUs > 0
                       ? context_.now + Micros(kRenewFraction * double(settings.pollIntervalUs))
                       : -kNever;
    context_.emit(WatchEndpointList{true});
}

void ClusterView::onListUnavailable() {
    const Micros doubled = std::min(watchBackoff_ * 2, context_.settings.pollIntervalUs / 4);
    watchBackoff_ = std::max({kWatchBackoff, watchSpread(), doubled});
    nextWatchAt_ = context_.now + watchBackoff_ - jitter(std::min(watchBackoff_ / 2, watchSpread()));
}

std::vector<NodeInfo> ClusterView::apply(const EndpointList& list) {
    // After a failed call, a drain may have been announced well before the list that shows it arrives.
    const bool drainIsNew = watchBackoff_ == 0;
    if (list.kind != EndpointListKind::Cached) watchBackoff_ = 0;
    if (list.kind != EndpointListKind::Delta) table_.unlistAll();
    std::vector<NodeInfo> started;
    for (const NodeInfo& info : list.nodes)
        if (applyNode(info, drainIsNew)) started.push_back(info);
    for (NodeInfo& info : started)
        info.startedUs = table_.find(info.id)->startedAt();
    if (list.kind != EndpointListKind::Cached) listedAt_ = context_.now;
    table_.countReady();
    return started;
}

bool ClusterView::applyNode(const NodeInfo& info, bool drainIsNew) {
    const auto [node, isNew] = table_.add(info);
    const bool started = isNew || node.info().startedUs != info.startedUs;
    if (started) {
        const double phase = peer::hashToFraction(info.id + std::to_string(context_.settings.seed));
        node.restart(startOf(info), phase, context_.now);
    }
    if (node.isReady() && info.state == NodeState::Draining && drainIsNew)
        node.startDrain(context_.now + Micros(kDrainFraction * double(context_.settings.drainGraceUs)));
    node.update(info);
    return started;
}

bool ClusterView::acceptsRequests(const Node& node) const {
    if (node.isReady()) return true;
    return node.isListed() && context_.now < node.servesDrainUntil() &&
           cells()[node.info().cell.position()].ready == 0;
}

// The wall clocks of this host and of the node may disagree, and either may step. A start that one list shows
// and the previous list did not show happened between the two, whatever the clocks say.
NodeStart ClusterView::startOf(const NodeInfo& info) const {
    if (info.startedUs <= 0) return {};
    const Micros now = context_.now;
    const Settings& settings = context_.settings;
    NodeStart start{std::min(std::max(info.startedUs, listedAt_), now), now};
    if (start.at >= context_.startedAt) return start;
    // The node started before this process, and no list that this process received lacked it: only the clocks
    // tell its age, and an earlier process of this host may have sent requests that this one does not know
    // of.
    if (now - start.at < settings.slowStartDurationUs)
        start.usableSince = context_.startedAt + slowStartHostWindow(settings);
    start.at = context_.startedAt;
    return start;
}

bool ClusterView::slowStartAdmits(const Node& node, double units) const {
    if (!isWarmingUp(node) || context_.settings.slowStartWindowUs <= 0) return true;
    if (context_.handedOver) return false;
    const SlowStartLimiter& limiter = node.slowStart();
    const SlowStartAllowance allowance =
        limiter.allowance(context_.settings, slowStartConditions(node), context_.now);
    return limiter.admits(allowance, units, context_.now);
}

SlowStartConditions ClusterView::slowStartConditions(const Node& node) const {
    SlowStartConditions conditions{context_.now - node.startedAt(), node.usableSince(), 1, {}};
    if (!node.info().cell.isBelow(cellCount())) return conditions;
    const Cell& cell = cells()[node.info().cell.position()];
    const auto starting = std::count_if(cell.nodes.begin(), cell.nodes.end(), [&](NodeIndex index) {
        return this->node(index).isListed() && isWarmingUp(this->node(index));
    });
    conditions.startingNodes = std::max(1, int(starting));
    if (cell.usage) conditions.peers = usage_.slowStartPeers(*cell.usage);
    return conditions;
}

}  // namespace wingproxy
