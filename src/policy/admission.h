/// \file
/// Classifies requests by what their volume may ask for, and says how long each class may wait.
///
/// A request lies inside the volume's guaranteed rate, inside its weighted share of a cell, or is spare. The
/// share is what a water level gives: units a second and weight that a volume may ask a cell for beyond its
/// guaranteed rate. The level falls while shared work waits too long in the cell and rises while not even
/// spare work does.
#pragma once

#include <vector>

#include "policy/cluster_view.h"
#include "policy/pending_request.h"

namespace wingproxy {

/// Owns the water levels of the cells, and fills and spends the quotas of the volumes.
class Admission {
public:
    static constexpr double kUnlimited =
        1e9;  ///< a level with no end: whatever is asked lies inside the share

    /// Of one cell, in units a second and weight.
    struct WaterLevel {
        double peakDemand = 0;  ///< by any volume, lately
        double level = kUnlimited;
    };
    Admission(const Context& context, UsageTable& usage, ClusterView& cluster)
        : context_(context), usage_(usage), cluster_(cluster) {}

    /// Sets up the quota of a volume that was just opened.
    void open(Volume& volume) const {
        volume.quota().guaranteed.at = context_.now;
        if (volume.plan().isNone()) return;
        const PlanInfo& plan = context_.settings.plans.at(volume.plan().position());
        volume.quota().guaranteed.tokens = plan.guaranteedRate / volume.hosts() + context_.settings.maxUnits;
    }
    /// Counts a request that arrived, and gives it its quota class. It must have a cell. This host keeps its
    /// part of each quota, by its part of the volume's use. \return units that are due to it in its cell:
    /// spare ones count for less
    double classify(PendingRequest& request);
    /// A request is over of which nothing ran: its units go back to the quota.
    void refund(const PendingRequest& request) const {
        VolumeQuota& quota = request.volume().quota();
        if (request.quota() == QuotaClass::Guaranteed) quota.guaranteed.tokens += request.units();
        if (request.quota() == QuotaClass::Share)
            quota.byCell[request.cell()].share.tokens += request.units();
    }
    /// Adapts the water levels to the latency of each cell; to be called at an interval.
    void updateLevels() {
        const auto& cells = cluster_.cells();
        for (std::size_t i = 0; i < cells.size(); ++i)
            updateLevel(cells[i], levelAt(CellIndex::ofPosition(i)));
    }

    /// Value of a unit of work on a request, if it is answered in time.
    [[nodiscard]] double value(const PendingRequest& request) const;
    /// The longest latency at which a request is still sent to a node, in microseconds. Beyond it the node is
    /// kept for requests of higher value.
    [[nodiscard]] double maxLatency(const PendingRequest& request) const;

    /// The level of a cell.
    [[nodiscard]] WaterLevel levelOf(CellIndex cell) const {
        return cell.position() < levels_.size() ? levels_[cell.position()] : WaterLevel();
    }
    void restore(std::vector<WaterLevel> levels) { levels_ = std::move(levels); }

private:
    [[nodiscard]] double reservedForHigherClasses(Volume& volume, const PendingRequest& request) const;
    WaterLevel& levelAt(CellIndex cell) {
        if (cell.position() >= levels_.size()) levels_.resize(cell.position() + 1);
        return levels_[cell.position()];
    }
    void updateLevel(const Cell& cell, WaterLevel& level) const;

    const Context& context_;
    UsageTable& usage_;
    ClusterView& cluster_;
    std::vector<WaterLevel> levels_;  // by cell
};

}  // namespace wingproxy
