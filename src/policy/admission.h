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
    /// A level with no end: whatever is asked for lies inside the share.
    static constexpr double kUnlimited = 1e9;

    /// The rate above which a cell's load counts as spare: units a second that a volume may ask the cell for,
    /// for each share of its plan, beyond its guaranteed rate.
    struct WaterLevel {
        /// The most that any volume asked for lately, in the same unit; decays slowly.
        double peakDemand = 0;
        double level = kUnlimited;
    };
    /// \param usage gives this host's part of a volume's use
    /// \param cluster gives the latency of a cell's nodes; all three must outlive the object
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
    /// part of each quota, by its part of the volume's use.
    /// \return its units as they count in the cell's use: spare ones by `Settings::spareWeight` over
    ///         `Settings::shareWeight`, as that use decides which share of the nodes this host may take
    double classify(PendingRequest& request);
    /// A request is over of which nothing ran: its units go back to the quota that `classify` took them from.
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

    /// The level of a cell; unlimited for one that no request was for yet.
    [[nodiscard]] WaterLevel levelOf(CellIndex cell) const {
        return cell.position() < levels_.size() ? levels_[cell.position()] : WaterLevel();
    }
    /// Takes over the levels of a predecessor process, by cell.
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
