#include "wingproxy/policy.h"

#include <algorithm>

#include "policy/policy_impl.h"

namespace wingproxy {

const Micros kRateTimeConstant = 1'000'000;  // matches the buckets of guaranteed rates, which hold 1 s
const Micros kTickInterval = 10'000;         // far below any latency objective, far above a batch's duration

namespace {

constexpr std::uint64_t kTickToken = 1;          // the policy has a single timer
constexpr std::size_t kMaxMessageBytes = 256;    // size limit of a datagram between hosts
constexpr Micros kDefaultObjective = 1'000'000;  // used if no class has a latency objective
// Nodes that were not listed and volumes that were not needed for this long are forgotten. It exceeds the
// duration of any lease and slow start, and the time for which peers count a usage report.
constexpr Micros kForgetAfter = 30'000'000;
constexpr Micros kForgetInterval = 1'000'000;
constexpr Micros kMinRetryAfter = 50'000;  // a sooner retry would meet the same backlog
// Used instead after a node rejected a request that cannot be sent again. Usually another cell holds the
// object; the client's retry names that cell and meets no backlog.
constexpr Micros kMinRetryAfterWrongCell = 1'000;

}  // namespace

Micros Policy::Impl::defaultLatencyObjective() { return kDefaultObjective; }

Policy::Impl::Impl(const Settings& settings, Micros now)
    : context_(settings, now, kDefaultObjective),
      recovery_({settings.hostIndex, settings.hostCount, LeaseAllocator::leaseDuration(), settings.mayGossip},
                now),
      outbox_(context_, recovery_, kMaxMessageBytes) {
    context_.emit(SetTimer{kTickInterval, kTickToken});
    cluster_.renewWatch();
    leases_.useOwnedChunksOnceRecovered();
    sendRecoveryDatagrams();
}

void Policy::Impl::handle(const RequestReceived& event) {
    const Request& info = event.request;
    if (requests_.find(info.id)) return;
    Volume* const volume = volumeOf(info);
    if (!volume) {
        const Settings& settings = context_.settings;
        const Micros retryAfter = std::min(kMinRetryAfter, settings.maxRetryAfterUs);
        context_.emit(
            RejectRequest{info.id, settings.sendsRetryAfter ? retryAfter : 0, AnswerReason::NoCapacity});
        return;
    }
    PendingRequest* const request = requests_.open(info);
    const auto& classes = context_.settings.classes;
    const ClassInfo* classInfo = info.classIndex.isSet() ? &classes.at(info.classIndex.position()) : nullptr;
    request->onReceived(classInfo, *volume, dispatcher_.nextSequence());
    const Micros untilDeadline = info.deadlineUs - context_.now;
    request->setDue(std::min(context_.now + request->latencyObjective(untilDeadline), info.deadlineUs));
    request->setCell(info.cell.isSet() ? info.cell : dispatcher_.cellForNewObject(info.units));
    const Cell& cell = cluster_.cell(request->cell());
    retries_.onReceived(*request);
    leases_.addRequestBudget();
    admit(*request);
    dispatcher_.enqueue(*request);
    dispatcher_.dispatch(request->cell());
    gossip_.reportCell(cell);
    if (request->isQueued()) leases_.rebalance(request->volume());
}

void Policy::Impl::admit(PendingRequest& request) {
    Volume& volume = request.volume();
    volume.recordDemand(request.units(), context_.now);
    if (volume.plan().isNone()) return;
    volume.onNeeded(context_.now);
    if (volume.hosts() > 1) usage_.record(volume.usage(), request.units());
    const double weightedUnits = admission_.classify(request);
    const Cell& cell = cluster_.cell(request.cell());
    usage_.record(*cell.usage, weightedUnits);
    if (volume.hosts() > 1)
        gossip_.reportUsage(volume.key(), volume.usage(), {volume.limit().isLimited(), 0, 0});
}

void Policy::Impl::handle(const AttemptOutcome& event) {
    PendingRequest* const request = requests_.findAttempt(event.id, event.attempt);
    if (!request) return;
    Node& node = cluster_.node(request->nodeByAttempt().at(event.attempt));
    const bool heldSlot = request->onAttemptEnded(event.attempt);
    if (heldSlot) node.onSlotFreed();
    if (attempts_.countsForNode(event, heldSlot))
        attempts_.onOutcome(node, request->units(), event.elapsedUs, event.outcome);
    dispatcher_.queues().markChanged(node.info().cell);
    retries_.onAttemptEnded(*request, event.outcome);
    if (request->isFinished()) {
        if (request->outstanding() == 0) requests_.erase(event.id);
        return;
    }
    request->onOutcome(event.outcome);
    if (event.requestClosed || event.outcome == Outcome::Ok)
        finish(*request);
    else if (event.requestSpent)
        rejectOrFail(*request,
                     {0, event.outcome == Outcome::Rejected ? kMinRetryAfterWrongCell : kMinRetryAfter},
                     AnswerReason::RequestSpent);
    else
        retryOrFail(*request);
}

// Queues another attempt if the class, the number of attempts and the time left allow one; otherwise answers.
void Policy::Impl::retryOrFail(PendingRequest& request) {
    if (!retries_.mayRetry(request))
        return rejectOrFail(request, {0, kMinRetryAfter}, AnswerReason::NotRepeatable);
    // Any cell may take a new object, unless an attempt may already have stored it.
    const bool mayMove = request.info().cell.isNone() && !request.mayHaveRun();
    if (mayMove) request.setCell(CellIndex());
    dispatcher_.enqueue(request);
}

void Policy::Impl::rejectOrFail(PendingRequest& request, RetryAdvice advice, AnswerReason reason) {
    const Settings& settings = context_.settings;
    const Micros retryAfter = std::min(std::max(advice.wanted, advice.atLeast), settings.maxRetryAfterUs);
    if (RetryPolicy::mayReject(request))
        context_.emit(RejectRequest{request.id(), settings.sendsRetryAfter ? retryAfter : 0, reason});
    else
        context_.emit(FailRequest{request.id(), reason});
    finish(request);
}

void Policy::Impl::handle(const CapacityNeeded& event) {
    for (int i = 0; i < event.connections; ++i)
        if (PendingRequest* const least = dispatcher_.leastValuable())
            rejectOrFail(*least, {0, kMinRetryAfter}, AnswerReason::NoCapacity);
}

void Policy::Impl::shedLoad(CellIndex cell) {
    const RequestQueue& queue = dispatcher_.queues().of(cell);
    // Requests about to expire are answered even in the batch in which they arrived: a client's last retry
    // may have only a few milliseconds left.
    for (PendingRequest* const request : queue.withDeadlineBefore(context_.now + 2 * kTickInterval))
        rejectOrFail(*request, {0, kMinRetryAfter}, dispatcher_.holdReason(*request));
    if (queue.empty()) return;
    const auto overload = shedder_.overload(cluster_.cell(cell), queue);
    for (PendingRequest* const request : overload.requests)
        rejectOrFail(*request, {overload.backlog, kMinRetryAfter}, dispatcher_.holdReason(*request));
}

void Policy::Impl::handle(const TimerFired& event) {
    if (event.token != kTickToken) return;
    context_.emit(SetTimer{kTickInterval, kTickToken});
    if (context_.now - lastForgetAt_ >= kForgetInterval) forgetUnused();
    leases_.useOwnedChunksOnceRecovered();
    cluster_.renewWatch();
    sendRecoveryDatagrams();
    if (context_.settings.mayCancel) attempts_.cancelLostAttempts(requests_);
    leases_.rebalanceAll();
    if (context_.now - lastReportAt_ >= Gossip::reportInterval() / 2) reportUsage();
    dispatcher_.queues().markNonEmptyChanged();
}

// Keeps what open requests need: their volumes, and the nodes of their first attempts, which decide where a
// request with an idempotency key may be repeated.
void Policy::Impl::forgetUnused() {
    lastForgetAt_ = context_.now;
    cluster_.forgetUnlisted(kForgetAfter, requests_.pinnedNodes());
    volumes_.forgetUnneeded(kForgetAfter, requests_.volumes());
    gossip_.forgetUnused();
    retries_.forgetIdleKeys();
}

std::vector<Action> Policy::Impl::finishBatch() {
    leases_.serveRequests();
    while (dispatcher_.queues().hasChanged()) {
        const CellIndex cell = dispatcher_.queues().takeChanged();
        dispatcher_.dispatch(cell);
        shedLoad(cell);
    }
    outbox_.flush();
    return std::exchange(context_.actions, {});
}

}  // namespace wingproxy
