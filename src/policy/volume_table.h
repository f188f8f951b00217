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

/// By the name that requests give.
using VolumeByName = std::map<std::string, Volume>;

/// Owns the volumes. References stay valid until a volume is forgotten.
class VolumeTable {
public:
    /// \param usage has an entry for each volume; both must outlive the table
    VolumeTable(const Context& context, UsageTable& usage) : context_(context), usage_(usage) {}

    /// The volume of a request.
    struct Opened {
        Volume& volume;
        bool isNew;  ///< its limit and quota are yet to be set up
    };
    /// The volume of a request, made if there is none.
    Opened open(const Request& request);
    /// The volume with this hash of its name, or null.
    [[nodiscard]] Volume* find(std::uint64_t hash);
    /// All volumes by name.
    [[nodiscard]] VolumeByName& all() { return volumes_; }
    /// As above, to read.
    [[nodiscard]] const VolumeByName& all() const { return volumes_; }
    /// Number of volumes, for `Policy::tableEntries`.
    [[nodiscard]] std::size_t size() const { return volumes_.size(); }

    /// Forgets volumes that were not needed for `period` microseconds and for as long as their bucket takes
    /// to fill. \param inUse volumes of open requests
    void forgetUnneeded(Micros period, const std::set<const Volume*>& inUse);
    /// Takes volumes over; the usage table must have been restored before.
    void restore(VolumeByName volumes);

private:
    const Context& context_;
    UsageTable& usage_;
    VolumeByName volumes_;
    std::map<std::uint64_t, Volume*> byHash_;
};

}  // namespace wingproxy
