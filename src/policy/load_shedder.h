/// \file
/// Finds queued requests that cannot be answered in time, so that they can be rejected at once.
#pragma once

#include <map>
#include <vector>

#include "policy/admission.h"
#include "policy/cell_queues.h"
#include "policy/lease_allocator.h"

namespace wingproxy {

/// Walks the queue of a cell in the order of sending. For each request that would be answered too late, it
/// sheds the least valuable request up to and including that one. For each request whose volume will not have
/// tokens in time, it sheds the one of that volume with the lowest priority.
class LoadShedder {
public:
    /// All four must outlive the object.
    LoadShedder(const Context& context, const ClusterView& cluster, const Admission& admission,
                const LeaseAllocator& leases)
        : context_(context), cluster_(cluster), admission_(admission), leases_(leases) {}

    /// The part of a queue that exceeds the cell's capacity.
    struct Overload {
        std::vector<PendingRequest*> requests;  ///< to be rejected, in this order
        Micros backlog = 0;                     ///< time to serve the rest of the queue, in microseconds
    };
    /// Finds the requests to shed from the queue of a cell. Does not change the queue: the caller rejects
    /// them.
    [[nodiscard]] Overload overload(const Cell& cell, const RequestQueue& queue) const;

private:
    /// The capacity of a cell.
    struct Capacity {
        double unitsPerSecond;
        double latency;  ///< lowest latency of the nodes that accept requests, microseconds; 0: none does
    };
    /// The requests that are kept, of the part of the queue that was examined so far.
    struct Backlog {
        std::vector<PendingRequest*> requests;
        double units = 0;
        std::map<const Volume*, double> tokensNeeded;

        /// Appends the next request of the queue.
        void add(PendingRequest& request) {
            requests.push_back(&request);
            units += request.units();
            if (request.needsTokens()) tokensNeeded[&request.volume()] += request.units();
        }
        /// Removes a request that is shed.
        void remove(std::vector<PendingRequest*>::iterator position) {
            const PendingRequest& request = **position;
            units -= request.units();
            if (request.needsTokens()) tokensNeeded[&request.volume()] -= request.units();
            requests.erase(position);
        }
    };
    using Position = std::vector<PendingRequest*>::iterator;
    [[nodiscard]] Capacity capacityOf(const Cell& cell) const;
    /// The request to shed because the last one of the backlog cannot be answered in time; the end of the
    /// backlog if it can.
    [[nodiscard]] Position victimFor(Backlog& backlog, const Capacity& capacity) const;
    /// The request of the backlog with the lowest value; the last of equals.
    [[nodiscard]] Position leastValuable(Backlog& backlog) const;
    /// The request without tokens with the lowest priority weight, among those of the same volume as the last
    /// request of the backlog. Of equals the last request is preferred, then the first in the queue.
    [[nodiscard]] static Position lowestPriorityOfVolume(Backlog& backlog);

    const Context& context_;
    const ClusterView& cluster_;
    const Admission& admission_;
    const LeaseAllocator& leases_;
};

}  // namespace wingproxy
