/// \file
/// Finds the waiting requests that cannot be answered in time, so that they are rejected at once.
#pragma once

#include <map>
#include <vector>

#include "policy/admission.h"
#include "policy/cell_queues.h"
#include "policy/lease_allocator.h"

namespace wingproxy {

/// Looks at the queue of a cell in the order of sending. For each request that would come too late, the least
/// valuable one at or before it is shed; for each whose volume has no tokens in time, the one of least
/// priority of that volume.
class LoadShedder {
public:
    /// All four must outlive the object.
    LoadShedder(const Context& context, const ClusterView& cluster, const Admission& admission,
                const LeaseAllocator& leases)
        : context_(context), cluster_(cluster), admission_(admission), leases_(leases) {}

    /// What a queue has too much of.
    struct Overload {
        std::vector<PendingRequest*> requests;  ///< to be shed, in this order
        Micros backlog = 0;                     ///< microseconds that the rest of the queue takes
    };
    /// Looks at the queue of a cell. The queue stays as it is: the caller rejects what is to be shed.
    [[nodiscard]] Overload overload(const Cell& cell, const RequestQueue& queue) const;

private:
    /// What a cell can do.
    struct Capacity {
        double unitsPerSecond;
        double latency;  ///< of its quickest node, microseconds
    };
    /// The requests that stay, as far as the queue was looked at.
    struct Backlog {
        std::vector<PendingRequest*> requests;
        double units = 0;
        std::map<const Volume*, double> tokensNeeded;

        /// Adds the next request of the queue.
        void add(PendingRequest& request) {
            requests.push_back(&request);
            units += request.units();
            if (request.needsTokens()) tokensNeeded[&request.volume()] += request.units();
        }
        /// Takes out one that is shed.
        void remove(std::vector<PendingRequest*>::iterator position) {
            const PendingRequest& request = **position;
            units -= request.units();
            if (request.needsTokens()) tokensNeeded[&request.volume()] -= request.units();
            requests.erase(position);
        }
    };
    using Position = std::vector<PendingRequest*>::iterator;
    [[nodiscard]] Capacity capacityOf(const Cell& cell) const;
    /// The request to shed for the last one of the backlog; its end if that one can be answered in time.
    [[nodiscard]] Position victimFor(Backlog& backlog, const Capacity& capacity) const;
    /// The latest of equals.
    [[nodiscard]] Position leastValuable(Backlog& backlog) const;
    /// The last request of the backlog, or the first one of its volume that has lower priority than all
    /// others.
    [[nodiscard]] static Position lowestPriorityOfVolume(Backlog& backlog);

    const Context& context_;
    const ClusterView& cluster_;
    const Admission& admission_;
    const LeaseAllocator& leases_;
};

}  // namespace wingproxy
