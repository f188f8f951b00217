// The public interface of the policy, and its snapshot: the state of all parts is collected, and given back
// to them.
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
        const int number = int(state.cells.size());
        state.cells.push_back({std::move(cell), admission_.levelOf(number)});
    }
    state.volumes = volumes_.all();
    state.usage = usage_.entries();
    state.aggregates = gossip_.aggregates();
    state.requestBytes = leases_.state().requestBytes;
    state.requestTimes = retries_.state().requests.times;
    state.retryTimes = retries_.state().retries.times;
    return state;
}

std::string Policy::Impl::handOver() {
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
    leases_.restore({state->leasesRecoveredAt, state->requestBytes});
    retries_.restore({{std::move(state->requestTimes)}, {std::move(state->retryTimes)}});
    return true;
}

std::size_t Policy::Impl::tableEntries() const {
    return cluster_.nodeCount() + volumes_.size() + usage_.size() + gossip_.size() + requests_.size() +
           retries_.orderedKeys() + recovery_.tableEntries();
}

Policy::Policy(const Settings& settings, Micros now) : impl_(std::make_unique<Impl>(settings, now)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

void Policy::on(Micros now, const Event& event) {
    impl_->setTime(now);
    std::visit([this](const auto& typed) { impl_->handle(typed); }, event);
}

std::vector<Action> Policy::finish(Micros now) {
    impl_->setTime(now);
    return impl_->finishBatch();
}

std::string Policy::takeSnapshot(Micros now) {
    impl_->setTime(now);
    return impl_->handOver();
}

bool Policy::restore(const std::string& snapshot) { return impl_->restore(snapshot); }
std::size_t Policy::tableEntries() const { return impl_->tableEntries(); }
std::size_t Policy::avoidedNodes() const { return impl_->avoidedNodes(); }
const fleet::RestartRecovery& Policy::recovery() const { return impl_->recovery(); }

}  // namespace wingproxy
