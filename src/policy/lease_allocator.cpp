#include "policy/lease_allocator.h"

#include <algorithm>
#include <cmath>

namespace wingproxy {
namespace {

// Chunks that a limit is split into over all hosts; each host's part is rounded. With many hosts each still
// owns a few: otherwise a host with little demand would need all its chunks itself, and a busy host could
// borrow none.
constexpr int kChunksOfLimit = 20;
constexpr int kMinOwnedChunks = 4;
constexpr Micros kLeaseDuration = 2'000'000;  // much longer than a message takes, shorter than a load surge
constexpr Micros kRenewBefore = kLeaseDuration / 2;
constexpr Micros kRequestInterval = 50'000;  // between lease requests for a volume: two network delays
constexpr Micros kRequestTimeout = 2 * kRequestInterval;
constexpr double kDemandMargin = 1.25;      // factor on the measured demand, for random fluctuation
constexpr double kBacklogSeconds = 0.5;     // chunks are requested that would clear a backlog in this time
constexpr int kIdleChunksKept = 1;          // not returned, for random fluctuation
constexpr double kBudgetPerRequest = 64;    // bytes of lease requests allowed for each client request
constexpr double kMaxRequestBudget = 1024;  // bytes
// Fraction of a bucket reserved at a hot restart, for one more request of each connected client.
constexpr double kReserveFraction = 0.25;
constexpr double kMinFillRate = 1e-3;  // units per second; avoids division by zero

}  // namespace

LeaseAllocator::LeaseAllocator(const Context& context, const fleet::RestartRecovery& recovery,
                               UsageTable& usage, VolumeTable& volumes, PeerOutbox& outbox)
    : context_(context), recovery_(recovery), usage_(usage), volumes_(volumes), outbox_(outbox) {
    state_.requestBudget = kMaxRequestBudget;
}

Micros LeaseAllocator::leaseDuration() { return kLeaseDuration; }

// ---- limits

VolumeLimit::Shares LeaseAllocator::splitIntoChunks(const PlanInfo& plan, int hosts) {
    const double hostRate = plan.limit / hosts;
    const double hostBurst = plan.limitBurst / hosts;
    VolumeLimit::Shares shares;
    shares.ownedChunks = std::max(kMinOwnedChunks, int(std::lround(double(kChunksOfLimit) / hosts)));
    shares.baseRate = std::min(plan.guaranteedRate / hosts, hostRate);
    shares.baseBurst = hostBurst * shares.baseRate / hostRate;
    shares.chunkRate = (hostRate - shares.baseRate) / shares.ownedChunks;
    shares.chunkBurst = (hostBurst - shares.baseBurst) / shares.ownedChunks;
    return shares;
}

void LeaseAllocator::open(Volume& volume) {
    VolumeLimit& limit = volume.limit();
    limit.startFilling(context_.now);
    if (volume.plan().isNone()) return;
    const PlanInfo& plan = context_.settings.plans.at(volume.plan().position());
    if (plan.limit <= 0) return;
    limit.setShares(splitIntoChunks(plan, volume.hosts()));
    // The bucket is empty at the start, as an earlier process of this host may have spent its tokens.
    limit.startFilling(volume.hosts() == 1 ? context_.startedAt : std::min(state_.recoveredAt, context_.now));
    refill(volume);
    if (context_.handedOver) limit.keepOnly(0);
}

double LeaseAllocator::timeToTokens(const Volume& volume, double units) const {
    const VolumeLimit& limit = volume.limit();
    double fillRate = limit.rateOf(chunksInUse(volume));
    const double rateLeftByOthers =
        context_.settings.plans.at(volume.plan().position()).limit - usage_.othersRate(volume.usage());
    for (const auto& [peer, lease] : limit.held())
        if (lease.isAnswerPending(context_.now, kRequestTimeout))
            fillRate = std::max(fillRate, rateLeftByOthers);
    return std::max(0.0, units - limit.tokens()) * 1e6 / std::max(fillRate, kMinFillRate);
}

// ---- leases of this host

double LeaseAllocator::demandOf(const Volume& volume) const {
    return volume.demandRate(context_.now) * kDemandMargin + volume.limit().backlog() / kBacklogSeconds;
}

void LeaseAllocator::rebalance(Volume& volume) {
    VolumeLimit& limit = volume.limit();
    const double chunkRate = limit.shares().chunkRate;
    if (volume.hosts() <= 1 || !context_.settings.mayGossip || chunkRate <= 0) return;
    refill(volume);
    limit.dropExpiredGrants(context_.now);
    const double demand = demandOf(volume);
    const double usableRate = limit.rateOf(chunksInUse(volume));
    if (returnIdleChunks(volume, usableRate - demand)) return;
    if (context_.now - limit.lastRequestAt() < kRequestInterval) return;
    requestChunks(volume, std::max(0, int(std::ceil((demand - usableRate) / chunkRate))));
}

bool LeaseAllocator::returnIdleChunks(Volume& volume, double surplus) {
    const int idle = int(surplus / volume.limit().shares().chunkRate) - kIdleChunksKept;
    for (auto& [peer, lease] : volume.limit().held()) {
        if (!lease.isActive(context_.now) || idle < 1) continue;
        lease.reduceTo(std::max(0, lease.chunks - idle));
        outbox_.send(peer, peer::LeaseReturn{volume.hash(), std::uint8_t(lease.chunks), lease.stamp});
        return true;
    }
    return false;
}

void LeaseAllocator::requestChunks(Volume& volume, int missing) {
    const std::set<HostIndex>& peers = volume.usage().peers();
    auto peer = peers.upper_bound(volume.limit().lastPeerAsked());
    for (std::size_t i = 0; i < peers.size() && state_.requestBudget > 0; ++i, ++peer) {
        if (peer == peers.end()) peer = peers.begin();
        missing -= requestFrom(volume, *peer, missing);
    }
}

int LeaseAllocator::requestFrom(Volume& volume, HostIndex peer, int missing) {
    VolumeLimit& limit = volume.limit();
    const int ownedChunks = limit.shares().ownedChunks;
    HeldLease& lease = limit.leaseOf(peer);
    const Micros now = context_.now;
    const bool active = lease.isActive(now);
    const bool renews = active && lease.until - now < kRenewBefore;
    if ((missing == 0 && !renews) || lease.isAnswerPending(now, kRequestTimeout)) return 0;
    if (!renews && active && lease.chunks >= ownedChunks) return 0;
    const int held = active ? lease.chunks : 0;
    const int wanted = std::min(ownedChunks, held + missing);
    lease.onRequested(newStamp(), now);
    limit.onRequestSent(peer, now);
    state_.requestBudget -= double(peer::LeaseRequest::kEncodedBytes);
    outbox_.send(peer, peer::LeaseRequest{volume.hash(), std::uint8_t(wanted), lease.stamp});
    return (wanted - held + 1) / 2;  // a peer may grant less: requests add up to twice the missing chunks
}

void LeaseAllocator::addRequestBudget() {
    state_.requestBudget = std::min(kMaxRequestBudget, state_.requestBudget + kBudgetPerRequest);
}

bool LeaseAllocator::onGrant(HostIndex from, const peer::LeaseGrant& grant) {
    Volume* const volume = volumes_.find(grant.volume);
    if (!volume) return false;
    refill(*volume);
    HeldLease* const lease = volume->limit().findRequested(from, grant.stamp);
    if (!lease) return false;
    // The owner counts the larger earlier grant until it is told that only these chunks are in use.
    if (lease->until > context_.now && int(grant.chunks) < lease->chunks)
        outbox_.send(from, peer::LeaseReturn{volume->hash(), grant.chunks, grant.stamp});
    lease->onGranted(std::min(int(grant.chunks), volume->limit().shares().ownedChunks), kLeaseDuration);
    if (lease->until > context_.now) volume->limit().addTokens(grant.tokens.value());
    refill(*volume);
    return true;
}

// ---- leases of peers

void LeaseAllocator::serveRequests() {
    std::stable_sort(requests_.begin(), requests_.end(),
                     [](const auto& left, const auto& right) { return left.from < right.from; });
    for (const ReceivedRequest& received : requests_)
        serve(received);
    requests_.clear();
}

void LeaseAllocator::serve(const ReceivedRequest& received) {
    const auto& [peer, request] = received;
    Volume* const volume = volumes_.find(request.volume);
    if (!volume || volume->limit().shares().chunkRate <= 0 || !recovery_.mayLend(context_.now)) return;
    VolumeLimit& limit = volume->limit();
    volume->onNeeded(context_.now);
    refill(*volume);
    const int granted = grantable(*volume, peer, request.chunks);
    const int grantedBefore = limit.chunksGranted() - limit.chunksGranted(peer);
    if (granted == 0 && grantedBefore == 0) return;
    const auto accrued = takeAccruedTokens(*volume, std::max(0, granted - grantedBefore));
    limit.addGrant({peer, granted, context_.now + kLeaseDuration, request.stamp});
    refill(*volume);
    outbox_.send(peer, peer::LeaseGrant{volume->hash(), std::uint8_t(granted), accrued, request.stamp});
}

int LeaseAllocator::grantable(const Volume& volume, HostIndex peer, int wanted) const {
    const VolumeLimit::Shares& shares = volume.limit().shares();
    const double ownDemand = std::max(0.0, demandOf(volume) - shares.baseRate);
    const int ownChunks = std::min(shares.ownedChunks, int(std::ceil(ownDemand / shares.chunkRate)));
    return std::clamp(shares.ownedChunks - volume.limit().chunksGranted(peer) - ownChunks, 0, wanted);
}

peer::FixedPoint LeaseAllocator::takeAccruedTokens(Volume& volume, int newChunks) const {
    const double tokens = volume.limit().tokensOf(newChunks, std::max(1, chunksInUse(volume)));
    const auto accrued = peer::FixedPoint::of(tokens);
    spend(volume, accrued.value());
    return accrued;
}

// ---- restart and hot restart

std::map<Volume*, double> LeaseAllocator::reserveForOpenRequests() {
    std::map<Volume*, double> reserved;
    for (auto& [name, volume] : volumes_.all()) {
        refill(volume);
        reserved[&volume] = volume.limit().reserve(kReserveFraction);
    }
    return reserved;
}

}  // namespace wingproxy
