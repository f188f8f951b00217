#include "policy/cluster_view.h"

#include <algorithm>

#include "policy/peer_message.h"

namespace wingproxy {
namespace {

constexpr Micros kWatchBackoff = 100'000;  // after the first failed call to discovery; doubles
// Discovery begins new watches one after another, and fails what waits for 2 s. Beyond this many hosts, their
// calls are spread so far apart on average (docs/fleet.md).
constexpr int kUnspreadHosts = 8;
constexpr Micros kWatchSpreadPerHost = 25'000;
constexpr double kRenewPart = 0.7;  // of the poll interval, after which the list is asked for again
// A successor is often listed a second or two after its drain was announced: what a draining node rejects
// until then is no worse off.
constexpr double kDrainPart = 0.7;  // of its grace

}  // namespace

ClusterView::ClusterView(Context& context, UsageTable& usage)
    : context_(context), usage_(usage), table_(usage) {
    table_.addCells(std::max(context.settings.cellCount, 0));
    nextWatchAt_ = context.now + jitter(watchSpread());
}

Micros ClusterView::watchSpread() const {
    const Settings& settings = context_.settings;
    const Micros spread = kWatchSpreadPerHost * std::max(0, settings.hostCount - kUnspreadHosts);
    return std::min(spread, settings.pollIntervalUs / 2);
}

void ClusterView::renewWatch() {
    const Settings& settings = context_.settings;
    if (!settings.pollsEndpointList || context_.now < nextWatchAt_) return;
    nextWatchAt_ = settings.pollIntervalUs > 0
                       ? context_.now + Micros(kRenewPart * double(settings.pollIntervalUs))
                       : -kNever;
    context_.emit(WatchEndpointList{true});
}

void ClusterView::onListUnavailable() {
    const Micros doubled = std::min(watchBackoff_ * 2, context_.settings.pollIntervalUs / 4);
    watchBackoff_ = std::max({kWatchBackoff, watchSpread(), doubled});
    nextWatchAt_ = context_.now + watchBackoff_ - jitter(std::min(watchBackoff_ / 2, watchSpread()));
}

std::vector<NodeInfo> ClusterView::apply(const EndpointList& list) {
    // After a failed call, a drain may have been announced longer ago than it seems.
    const bool drainIsNew = watchBackoff_ == 0;
    if (list.kind != EndpointListKind::Cached) watchBackoff_ = 0;
    if (list.kind != EndpointListKind::Delta) table_.unlistAll();
    std::vector<NodeInfo> started;
    for (const NodeInfo& info : list.nodes)
        if (applyNode(info, drainIsNew)) started.push_back(info);
    table_.countReady();
    return started;
}

bool ClusterView::applyNode(const NodeInfo& info, bool drainIsNew) {
    const auto [node, isNew] = table_.add(info);
    const bool started = isNew || node.info().startedUs != info.startedUs;
    if (started)
        node.restart(context_.now, peer::fractionOf(info.id + std::to_string(context_.settings.seed)));
    if (node.isReady() && info.state == NodeState::Draining && drainIsNew)
        node.startDrain(context_.now + Micros(kDrainPart * double(context_.settings.drainGraceUs)));
    node.update(info);
    return started;
}

bool ClusterView::acceptsRequests(const Node& node) const {
    if (node.isReady()) return true;
    return node.isListed() && context_.now < node.servesDrainUntil() &&
           cells()[node.info().cell.position()].ready == 0;
}

bool ClusterView::slowStartAdmits(Node& node, double units) const {
    if (!isWarmingUp(node) || context_.settings.slowStartWindowUs <= 0) return true;
    return !context_.handedOver && node.slowStart().admits(context_.settings, units, context_.now);
}

}  // namespace wingproxy
