/// \file
/// Classifies requests by the quota of their volume, and limits the latency that each class accepts.
///
/// A request is within the volume's guaranteed rate, within its weighted share of a cell, or spare. The share
/// is set by the cell's water level: the units per second and per unit of weight that a volume may use in the
/// cell beyond its guaranteed rate. The level falls while the cell's latency is too long even for work within
/// the share, and rises while it is short enough for spare work.
#pragma once

#include <vector>

#include "policy/cluster_view.h"
#include "policy/pending_request.h"

namespace wingproxy {

/// Owns the water levels of the cells, and refills and spends the quotas of the volumes.
class Admission {
public:
    /// An unlimited level: all work is within the share.
    static constexpr double kUnlimited = 1e9;

    /// The rate above which a cell's load counts as spare: units per second that a volume may use in the cell
    /// beyond its guaranteed rate, for each share of its plan (`PlanInfo::shares`).
    struct WaterLevel {
        /// The highest recent demand of any volume, in the same unit; decays slowly.
        double peakDemand = 0;
        double level = kUnlimited;
    };
    /// \param usage provides this host's fraction of a volume's demand
    /// \param cluster provides the latency of a cell's nodes; all three must outlive the object
    Admission(const Context& context, UsageTable& usage, ClusterView& cluster)
        : context_(context), usage_(usage), cluster_(cluster) {}

    /// Initializes the quota of a volume that was just added to the table.
    void open(Volume& volume) const {
        volume.quota().guaranteed.at = context_.now;
        if (volume.plan().isNone()) return;
        const PlanInfo& plan = context_.settings.plans.at(volume.plan().position());
        volume.quota().guaranteed.tokens = plan.guaranteedRate / volume.hosts() + context_.settings.maxUnits;
    }
    /// Counts a request that arrived and sets its quota class. It must have a cell. This host's part of each
    /// quota is its fraction of the volume's demand.
    /// \return its units as they count in the cell's usage: those of spare requests are multiplied by
    ///         `Settings::spareWeight` / `Settings::shareWeight`, as that usage determines this host's share
    ///         of the nodes
    double classify(PendingRequest& request);
    /// Returns the units of a finished request of which nothing ran to the quota that `classify` took them
    /// from.
    void refund(const PendingRequest& request) const {
        VolumeQuota& quota = request.volume().quota();
        if (request.quota() == QuotaClass::Guaranteed) quota.guaranteed.tokens += request.units();
        if (request.quota() == QuotaClass::Share)
            quota.byCell[request.cell()].share.tokens += request.units();
    }
    /// Adjusts the water levels to the latency of each cell; must be called periodically.
    void updateLevels() {
        const auto& cells = cluster_.cells();
        for (std::size_t i = 0; i < cells.size(); ++i)
            updateLevel(cells[i], levelAt(CellIndex::ofPosition(i)));
    }

    /// Value of a unit of the request's work if it is answered in time.
    [[nodiscard]] double value(const PendingRequest& request) const;
    /// The highest expected latency of a node at which the request is still sent to it, in microseconds.
    /// Above it the node is left to requests of higher value.
    [[nodiscard]] double maxLatency(const PendingRequest& request) const;

    /// The level of a cell; unlimited if it has had no request yet.
    [[nodiscard]] WaterLevel levelOf(CellIndex cell) const {
        return cell.position() < levels_.size() ? levels_[cell.position()] : WaterLevel();
    }
    /// Restores the levels of a predecessor process, by cell.
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
