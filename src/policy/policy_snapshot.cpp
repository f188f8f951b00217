/// \file
/// Takes a snapshot of all parts for a successor process of the same host, and restores it there. This file
/// maps the fields of `PolicyState` to the parts; snapshot_archive.h defines the bytes.
#include "policy/policy_impl.h"

namespace wingproxy {

PolicyState Policy::Impl::exportState() const {
    PolicyState state;
    state.startedAt = context_.startedAt;
    state.leasesRecoveredAt = leases_.state().recoveredAt;
    state.lastReportAt = lastReportAt_;
    state.lastForgetAt = lastForgetAt_;
    state.recovery = recovery_;
    state.nextSequence = dispatcher_.sequence();
    NodeTable::State table = cluster_.state();
    state.nodes = std::move(table.nodes);
    state.unusedNodes = std::move(table.unusedNodes);
    state.nodeIndexById = std::move(table.indexById);
    for (Cell& cell : table.cells) {
        const auto number = CellIndex::ofPosition(state.cells.size());
        state.cells.push_back({cell, admission_.levelOf(number)});
    }
    state.volumes = volumes_.all();
    state.usage = usage_.entries();
    state.aggregates = gossip_.aggregates();
    state.requestBudget = leases_.state().requestBudget;
    state.requestTimes = retries_.state().requests.times;
    state.retryTimes = retries_.state().retries.times;
    return state;
}

std::string Policy::Impl::takeSnapshot() {
    const auto reserved = leases_.reserveForOpenRequests();
    std::string bytes = encodeSnapshot(context_.settings, exportState());
    LeaseAllocator::keepOnly(reserved);
    context_.handedOver = true;
    return bytes;
}

bool Policy::Impl::restore(const std::string& snapshot) {
    std::optional<PolicyState> state = decodeSnapshot(context_.settings, snapshot);
    if (!state) return false;
    context_.startedAt = state->startedAt;
    lastReportAt_ = state->lastReportAt;
    lastForgetAt_ = state->lastForgetAt;
    recovery_ = std::move(state->recovery);
    dispatcher_.restore(state->nextSequence);
    usage_.restore(std::move(state->usage));  // before the tables that refer to it
    NodeTable::State table;
    table.nodes = std::move(state->nodes);
    table.unusedNodes = std::move(state->unusedNodes);
    table.indexById = std::move(state->nodeIndexById);
    std::vector<Admission::WaterLevel> levels;
    for (CellState& cell : state->cells) {
        table.cells.push_back(std::move(cell.cell));
        levels.push_back(cell.level);
    }
    cluster_.restore(std::move(table));
    admission_.restore(std::move(levels));
    gossip_.restore(std::move(state->aggregates));
    volumes_.restore(std::move(state->volumes));
    leases_.restore({state->leasesRecoveredAt, state->requestBudget});
    retries_.restore({{std::move(state->requestTimes)}, {std::move(state->retryTimes)}});
    return true;
}

}  // namespace wingproxy
