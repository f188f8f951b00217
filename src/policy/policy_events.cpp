// The public interface of the policy, the events of which it only keeps account, and its snapshot: the state
// of all parts is collected, and given back to them. What is decided on other events stands in policy.cpp.
#include "policy/policy_impl.h"

namespace wingproxy {

// ---- events that are passed on to the parts

Volume& Policy::Impl::volumeOf(const Request& request) {
    const auto [volume, isNew] = volumes_.open(request);
    if (isNew) {
        admission_.open(volume);
        leases_.open(volume);
    }
    return volume;
}

void Policy::Impl::handle(const ResponseStarted& event) {
    PendingRequest* const request = requests_.findAttempt(event.id, event.attempt);
    if (!request) return;
    request->onResponseStarted(event.forwarding);
    if (!event.nodeDone || !request->onNodeDone()) return;
    Node& node = cluster_.node(request->nodeByAttempt().at(event.attempt));
    attempts_.onOutcome(node, request->units(), event.elapsedUs, Outcome::Ok);
    node.onSlotFreed();
    dispatcher_.queues().markChanged(node.info().cell);
}

void Policy::Impl::handle(const RequestBodyCompleted& event) {
    PendingRequest* const request = requests_.find(event.id);
    if (!request || !request->isBodyIncomplete()) return;
    const bool wasQueued = request->isQueued();
    dispatcher_.dequeue(*request);
    const Micros objective = request->latencyObjective(defaultLatencyObjective());
    request->onBodyCompleted(event.deadlineUs, context_.now);
    request->setDue(std::min(context_.now + objective, event.deadlineUs));
    if (wasQueued) dispatcher_.enqueue(*request);
    attempts_.onBodyCompleted(*request);
}

// The request may be gone afterwards.
void Policy::Impl::finish(PendingRequest& request) {
    if (request.isFinished()) return;
    dispatcher_.dequeue(request);
    request.onFinished();
    if (request.neverRan()) admission_.giveBack(request);
    retries_.onFinished(request);
    if (request.outstanding() == 0) requests_.erase(request.id());
}

void Policy::Impl::handle(const EndpointListReceived& event) {
    if (event.list.kind == EndpointListKind::Unavailable) {
        cluster_.onListUnavailable();
        return;
    }
    for (const NodeInfo& info : cluster_.apply(event.list))
        if (info.cell.isSet()) gossip_.onNodeStarted(cluster_.cell(info.cell), info.startedUs);
    dispatcher_.queues().markAllChanged(cluster_.cellCount());
}

void Policy::Impl::handle(const PeerMessageReceived& event) {
    const PeerDatagram datagram = inbox_.receive(event);
    if (!datagram.isAccepted) return;
    if (datagram.senderRestarted) leases_.onPeerRestarted(event.from);
    leases_.useHomeOnceRecovered();
    for (const peer::Record& record : datagram.records)
        std::visit([&](const auto& typed) { handleRecord(event.from, typed); }, record);
}

void Policy::Impl::reportUsage() {
    lastReportAt_ = context_.now;
    admission_.updateLevels();
    gossip_.sendChangedAggregates();
    for (const Cell& cell : cluster_.cells())
        if (cell.usage) gossip_.reportCell(cell);
}

// ---- snapshot

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

// ---- public interface

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
