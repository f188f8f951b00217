/// \file
/// Handlers of events that only update state or are passed on to one of the parts. The handlers that take
/// decisions are in policy.cpp.
#include "policy/policy_impl.h"

namespace wingproxy {

Volume* Policy::Impl::volumeOf(const Request& request) {
    const auto [volume, isNew] = volumes_.open(request, [this] { return requests_.volumes(); });
    if (isNew) {
        admission_.open(*volume);
        leases_.open(*volume);
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

// May erase `request`.
void Policy::Impl::finish(PendingRequest& request) {
    if (request.isFinished()) return;
    dispatcher_.dequeue(request);
    request.onFinished();
    if (request.neverRan()) admission_.refund(request);
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
    leases_.useOwnedChunksOnceRecovered();
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

}  // namespace wingproxy
