/// \file
/// The volumes that this host knows, by name and by hash.
#pragma once

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

    /// Result of `open`.
    struct OpenResult {
        Volume& volume;
        bool isNew;  ///< the caller must set up its limit and quota
    };
    /// The volume of a request, created if there is none.
    OpenResult open(const Request& request);
    /// The volume with this hash of its name, or null.
    [[nodiscard]] Volume* find(std::uint64_t hash);
    /// All volumes by name.
    [[nodiscard]] VolumeByName& all() { return volumes_; }
    /// Const overload of the above.
    [[nodiscard]] const VolumeByName& all() const { return volumes_; }
    /// Number of volumes, for `Policy::tableEntries`.
    [[nodiscard]] std::size_t size() const { return volumes_.size(); }

    /// Removes volumes that were not needed for `period` microseconds plus the time that their bucket takes
    /// to fill. \param inUse volumes of open requests, which are kept
    void forgetUnneeded(Micros period, const std::set<const Volume*>& inUse);
    /// Restores the volumes of a predecessor process; the usage table must be restored first.
    void restore(VolumeByName volumes);

private:
    const Context& context_;
    UsageTable& usage_;
    VolumeByName volumes_;
    std::map<std::uint64_t, Volume*> byHash_;
};

}  // namespace wingproxy
