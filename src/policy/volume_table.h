/// \file
/// The volumes that this host knows, by name and by hash.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "policy/context.h"
#include "policy/usage_table.h"
#include "policy/volume.h"

namespace wingproxy {

/// Volumes by the name that requests give.
using VolumeByName = std::map<std::string, Volume>;

/// Owns the volumes. A reference to a volume stays valid until `forgetUnneeded` removes it.
class VolumeTable {
public:
    /// \param usage has an entry for each volume; both must outlive the table
    VolumeTable(const Context& context, UsageTable& usage) : context_(context), usage_(usage) {}

    /// The most volumes at once: clients choose the names.
    static constexpr std::size_t kMaxVolumes = 2048;

    /// Result of `open`.
    struct OpenResult {
        Volume* volume;  ///< null: there are `kMaxVolumes` volumes, and none may be removed
        bool isNew;      ///< the caller must set up its limit and quota
    };
    /// The volume of a request, created if there is none. At `kMaxVolumes` volumes, those that were not
    /// needed for the longest are removed first. \param inUse returns the volumes of open requests, which are
    /// kept
    OpenResult open(const Request& request, const std::function<std::set<const Volume*>()>& inUse);
    /// The volume with this hash of its name, or null.
    [[nodiscard]] Volume* find(std::uint64_t hash);
    /// All volumes by name.
    [[nodiscard]] VolumeByName& all() { return volumes_; }
    /// Const overload of the above.
    [[nodiscard]] const VolumeByName& all() const { return volumes_; }
    /// Number of volumes, for `Policy::tableEntries`.
    [[nodiscard]] std::size_t size() const { return volumes_.size(); }

    /// Removes volumes without granted leases that were not needed for `period` microseconds plus the time
    /// that their bucket takes to fill. \param inUse volumes of open requests, which are kept
    void forgetUnneeded(Micros period, const std::set<const Volume*>& inUse);
    /// Restores the volumes of a predecessor process; the usage table must be restored first.
    void restore(VolumeByName volumes);

private:
    [[nodiscard]] bool isUnneeded(const Volume& volume, Micros period) const;
    bool makeRoom(const std::set<const Volume*>& inUse);

    const Context& context_;
    UsageTable& usage_;
    VolumeByName volumes_;
    std::map<std::uint64_t, Volume*> byHash_;
    Micros madeRoomAt_ = kNever;
};

}  // namespace wingproxy
