#include "policy/volume_table.h"

#include <algorithm>

#include "policy/peer_message.h"

namespace wingproxy {

VolumeTable::OpenResult VolumeTable::open(const Request& request) {
    if (const auto known = volumes_.find(request.volume); known != volumes_.end())
        return {known->second, false};
    const std::uint64_t hash = peer::hashOf(request.volume);
    KeyUsage& usage = usage_.entry(UsageTable::keyOf(request.volume));
    usage.addVolume();
    Volume opened(hash, request.planIndex, std::max(1, request.volumeHosts), usage);
    Volume& volume = volumes_.emplace(request.volume, std::move(opened)).first->second;
    byHash_.emplace(hash, &volume);
    return {volume, true};
}

Volume* VolumeTable::find(std::uint64_t hash) {
    const auto entry = byHash_.find(hash);
    return entry == byHash_.end() ? nullptr : entry->second;
}

// Volumes are kept until their bucket has had time to fill: one that is opened again then gains no tokens by
// the removal.
void VolumeTable::forgetUnneeded(Micros period, const std::set<const Volume*>& inUse) {
    for (auto entry = volumes_.begin(); entry != volumes_.end();) {
        const Volume& volume = entry->second;
        double secondsToFill = 0;
        if (volume.limit().isLimited()) {
            const PlanInfo& plan = context_.settings.plans.at(volume.plan().position());
            secondsToFill = plan.limitBurst / plan.limit;
        }
        const Micros keptFor = period + Micros(secondsToFill * 1e6);
        if (context_.now - volume.neededAt() < keptFor || inUse.contains(&volume)) {
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
