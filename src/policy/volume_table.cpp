#include "policy/volume_table.h"

#include <algorithm>
#include <array>

#include "policy/peer_message.h"

namespace wingproxy {

namespace {

// The periods after which volumes are removed at the limit, from the first that frees enough: a volume that
// is kept longer keeps its demand figures.
constexpr std::array<Micros, 3> kPeriodsAtLimit{8'000'000, 2'000'000, 0};
constexpr std::size_t kVolumesFreed = VolumeTable::kMaxVolumes / 4;

}  // namespace

VolumeTable::OpenResult VolumeTable::open(const Request& request,
                                          const std::function<std::set<const Volume*>()>& inUse) {
    if (const auto known = volumes_.find(request.volume); known != volumes_.end())
        return {&known->second, false};
    if (volumes_.size() >= kMaxVolumes && !makeRoom(inUse())) return {nullptr, false};
    const std::uint64_t hash = peer::hashOf(request.volume);
    KeyUsage& usage = usage_.entry(UsageTable::keyOf(request.volume));
    usage.addVolume();
    Volume opened(hash, request.planIndex, std::max(1, request.volumeHosts), usage);
    Volume& volume = volumes_.emplace(request.volume, std::move(opened)).first->second;
    byHash_.emplace(hash, &volume);
    return {&volume, true};
}

Volume* VolumeTable::find(std::uint64_t hash) {
    const auto entry = byHash_.find(hash);
    return entry == byHash_.end() ? nullptr : entry->second;
}

// Looks for volumes at most once a tick, as each request under a new name asks for room.
bool VolumeTable::makeRoom(const std::set<const Volume*>& inUse) {
    if (context_.now - madeRoomAt_ < kTickInterval) return false;
    madeRoomAt_ = context_.now;
    for (const Micros period : kPeriodsAtLimit) {
        forgetUnneeded(period, inUse);
        if (volumes_.size() + kVolumesFreed <= kMaxVolumes) break;
    }
    return volumes_.size() < kMaxVolumes;
}

// Volumes are kept until their bucket has had time to fill: one that is opened again then gains no tokens by
// the removal.
bool VolumeTable::isUnneeded(const Volume& volume, Micros period) const {
    if (volume.limit().hasGrants(context_.now)) return false;
    double secondsToFill = 0;
    if (volume.limit().isLimited()) {
        const PlanInfo& plan = context_.settings.plans.at(volume.plan().position());
        secondsToFill = plan.limitBurst / plan.limit;
    }
    const Micros keptFor = period + Micros(secondsToFill * 1e6);
    return context_.now - volume.neededAt() >= keptFor;
}

void VolumeTable::forgetUnneeded(Micros period, const std::set<const Volume*>& inUse) {
    for (auto entry = volumes_.begin(); entry != volumes_.end();) {
        const Volume& volume = entry->second;
        if (!isUnneeded(volume, period) || inUse.contains(&volume)) {
            ++entry;
            continue;
        }
        usage_.releaseVolume(volume.key());
        byHash_.erase(volume.hash());
        entry = volumes_.erase(entry);
    }
}

void VolumeTable::restore(VolumeByName volumes) {
    volumes_ = std::move(volumes);
    byHash_.clear();
    for (auto& [name, volume] : volumes_) {
        byHash_.emplace(volume.hash(), &volume);
        volume.attach(usage_.entry(volume.key()));
    }
}

}  // namespace wingproxy
