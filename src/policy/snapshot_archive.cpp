#include "policy/snapshot_archive.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

#include "policy/node_info_archive.h"

namespace wingproxy {

// One function per type both writes and reads it; cereal finds these functions by their name.

template <typename Archive>
void serialize(Archive& archive, DecayingRate& rate) {
    archive(rate.value, rate.at);
}
template <typename Archive>
void serialize(Archive& archive, TimedValue& value) {
    archive(value.value, value.at);
}
template <typename Archive>
void serialize(Archive& archive, TokenBucket& bucket) {
    archive(bucket.tokens, bucket.at);
}
template <typename Archive>
void serialize(Archive& archive, CellQuota& quota) {
    archive(quota.demand, quota.share);
}
template <typename Archive>
void serialize(Archive& archive, GrantedLease& lease) {
    archive(lease.peer, lease.chunks, lease.until, lease.stamp);
}
template <typename Archive>
void serialize(Archive& archive, HeldLease& lease) {
    archive(lease.chunks, lease.until, lease.stamp, lease.requested, lease.requestedAt);
}
template <typename Archive>
void serialize(Archive& archive, PeerUsage& usage) {
    archive(usage.rate, usage.at, usage.slowStartRate);
}
template <typename Archive>
void serialize(Archive& archive, KeyUsage& usage) {
    KeyUsage::State state = usage.state();
    archive(state.demand, state.reported, state.others, state.slowStartUnits, state.peers, state.cell,
            state.reportedOutstanding, state.volumes);
    usage = KeyUsage(std::move(state));
}
template <typename Archive>
void serialize(Archive& archive, HostUsage& usage) {
    archive(usage.rate, usage.outstanding);
}
template <typename Archive>
void serialize(Archive& archive, KeyAggregate& aggregate) {
    KeyAggregate::State state = aggregate.state();
    archive(state.hosts, state.joined, state.sentRate, state.sentSlowStartRate, state.meanWait,
            state.meanOutstanding, state.sentWait, state.slowStart, state.slowStartUntil);
    aggregate = KeyAggregate(std::move(state));
}
template <typename Archive>
void serialize(Archive& archive, Volume& volume) {
    Volume::State state = volume.state();
    VolumeLimit::State& limit = state.limit;
    VolumeLimit::Shares& shares = limit.shares;
    archive(state.hash, state.plan, state.hosts, state.demand, state.quota.byCell, state.quota.demandByClass,
            limit.lastPeerAsked, state.quota.guaranteed, limit.lastRequestAt, limit.bucket.at, state.neededAt,
            limit.limited, limit.bucket.tokens, shares.baseRate, shares.baseBurst, shares.chunkRate,
            shares.chunkBurst, shares.ownedChunks, limit.granted, limit.held);
    volume = Volume(std::move(state));
}
template <typename Archive>
void serialize(Archive& archive, SlowStartWindow::Sample& sample) {
    archive(sample.at, sample.units);
}
template <typename Archive>
void serialize(Archive& archive, Node& node) {
    Node::State state = node.state();
    ConcurrencyLimit::State& concurrency = state.concurrency;
    OutlierDetector::State& outliers = state.outliers;
    SlowStartLimiter::State& slowStart = state.slowStart;
    LatencyEstimate& estimate = concurrency.estimate;
    double unusedCredit = 0;  // a field of earlier versions, kept for the layout
    archive(state.listed, state.info, concurrency.limit, estimate.latency, estimate.units, estimate.perUnit,
            outliers.errorShare, estimate.floor.current, estimate.floor.previous, estimate.floor.spanStart,
            outliers.progressAt, concurrency.loweredAt, outliers.lastTrialAt, estimate.updatedAt,
            outliers.newestAnswered, outliers.lastHealthCheckAt, outliers.ejectedUntil, state.listedAt,
            state.servesDrainUntil, outliers.failures, slowStart.window.samples, unusedCredit,
            slowStart.phase);
    node = Node(std::move(state));
}
template <typename Archive>
void serialize(Archive& archive, CellState& state) {
    archive(state.cell.nodes, state.cell.ready, state.cell.key, state.level.peakDemand, state.level.level);
}
template <typename Archive>
void serialize(Archive& archive, PolicyState& state) {
    archive(state.startedAt, state.leasesRecoveredAt, state.lastReportAt, state.lastForgetAt, state.recovery,
            state.nextSequence, state.nodes, state.unusedNodes, state.nodeIndexById, state.cells,
            state.volumes, state.usage, state.aggregates, state.requestBudget, state.requestTimes,
            state.retryTimes);
}

namespace {

// Must be incremented with every change of the fields above: the snapshot may come from a process of the
// previous version.
constexpr double kLayoutVersion = 2;

// Equal if both processes write the same fields and an index of a plan, a class, a cell or a host means the
// same in both.
std::vector<double> fingerprint(const Settings& settings) {
    std::vector<double> numbers{kLayoutVersion, double(settings.hostIndex.value()),
                                double(settings.hostCount), double(settings.cellCount),
                                double(settings.classes.size())};
    for (const PlanInfo& plan : settings.plans)
        numbers.insert(numbers.end(), {plan.baseRate, plan.guaranteedRate, plan.limit, plan.limitBurst});
    return numbers;
}

// Whether every index is within the bounds of its table.
bool isConsistent(const Settings& settings, const PolicyState& state) {
    const auto isNode = [&](NodeIndex index) { return index.position() < state.nodes.size(); };
    const auto areNodes = [&](const std::vector<NodeIndex>& indices) {
        return std::all_of(indices.begin(), indices.end(), isNode);
    };
    const auto isSound = [&](const Volume& volume) {
        return volume.plan().value() < int(settings.plans.size()) && volume.hosts() >= 1;
    };
    return areNodes(state.unusedNodes) &&
           std::ranges::all_of(state.nodeIndexById,
                               [&](const auto& entry) { return isNode(entry.second); }) &&
           std::ranges::all_of(state.cells, [&](const auto& entry) { return areNodes(entry.cell.nodes); }) &&
           std::ranges::all_of(state.volumes, [&](const auto& entry) { return isSound(entry.second); }) &&
           std::ranges::all_of(state.usage, [&](const auto& entry) {
               return entry.second.cell().value() < int(state.cells.size());
           });
}

}  // namespace

std::string encodeSnapshot(const Settings& settings, const PolicyState& state) {
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(fingerprint(settings),
            const_cast<PolicyState&>(state));  // `serialize` takes a non-const reference, as it also reads
    return out.str();
}

std::optional<PolicyState> decodeSnapshot(const Settings& settings, const std::string& bytes) {
    PolicyState state;
    try {
        std::istringstream in(bytes);
        cereal::PortableBinaryInputArchive archive(in);
        std::vector<double> savedFingerprint;
        archive(savedFingerprint);
        if (savedFingerprint != fingerprint(settings)) return std::nullopt;
        archive(state);
    } catch (const std::exception&) {  // truncated, or with impossible sizes
        return std::nullopt;
    }
    if (!isConsistent(settings, state)) return std::nullopt;
    return state;
}

}  // namespace wingproxy
