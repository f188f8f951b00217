#include "soak/soak_fleet.h"

namespace wingproxy::soak {
namespace {

constexpr milliseconds kConnectPeriodAfterTerm{400};  // clients open connections so long after SIGTERM
constexpr milliseconds kMaxDeadlineBeforeKill{3'000};
constexpr milliseconds kKillAfterDeadline{700};  // time from the longest deadline to SIGKILL
constexpr milliseconds kDownTime{300};
// A process exits 0.12 s before SIGKILL at the latest. If it was paused in the last 0.3 s it may be late, but
// must have answered all requests.
constexpr milliseconds kFinalPhases{300};
constexpr int kFloodDescriptorLimit = 128;

// Settings of the test configuration and their shorter values, with which a run of some seconds has many
// slow-start windows, drains and shutdowns.
const std::vector<std::pair<std::string, std::string>> kShortTimes{
    {R"("fallUs":3000000,"startCapacity":0.28,"warmAfterUs":15000000)",
     R"("fallUs":1000000,"startCapacity":0.28,"warmAfterUs":4000000)"},
    {R"("drainGraceUs":1000000)", R"("drainGraceUs":600000)"},
};

std::int64_t unixMillis() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string lastLines(const std::string& log) {
    constexpr std::size_t kTail = 400;
    return log.substr(log.size() > kTail ? log.size() - kTail : 0);
}

}  // namespace

Fleet::Fleet(const SoakPlan& plan, SoakResult& result)
    : plan_(plan),
      result_(result),
      random_(plan.seed),
      settings_(config::parseConfig(baseConfig()).settings),
      observations_(settings_, plan.fronts) {
    std::vector<test::udp::endpoint> peers;
    for (std::size_t i = 0; i < plan.fronts; ++i)
        peers.emplace_back(asio::ip::make_address("127.0.0.1"), test::freePort(io_));
    relay_ = std::make_unique<test::Relay>(io_, peers, plan.seed);
    for (int cell = 0; cell < kSoakCells; ++cell)
        addNode(cell, false);
    for (std::size_t i = 0; i < plan.fronts; ++i) {
        fronts_.push_back(std::make_unique<Front>(io_, observations_, i));
        fronts_.back()->folder.write(test::kConfigFile, configOf(i));
    }
    publishEndpointList();
    for (auto& front : fronts_)
        startProcess(*front);
}

void Fleet::poll(const std::function<std::string(std::size_t front)>& requestWaitingAt) {
    for (auto& front : fronts_)
        poll(*front, requestWaitingAt(front->index));
    for (auto& node : nodes_)
        node->server.poll();
}

void Fleet::finish() {
    for (auto& node : nodes_) {
        observations_.nodeEnded(node->server.observed());
        result_.reference += node->reference.answered(Clock::now());
    }
    result_.attempts = observations_.attemptCount();
    result_.largestSlowStartExcess = observations_.largestSlowStartExcess();
    result_.longestIteration = observations_.lag().longest();
}

double Fleet::capacity() const {
    double sum = 0;
    for (const auto& node : nodes_)
        sum += node->server.unitsPerSecond();
    return sum;
}

std::string Fleet::baseConfig() const {
    std::string json = test::testConfigText();
    for (const auto& [from, to] : kShortTimes)
        json = test::replaced(json, from, to);
    const std::string deadline = fmt::format(R"("deadlineUs":{})", plan_.longestDeadline.count() * 1000);
    json = test::replaced(json, R"("deadlineUs":1500000)", deadline);
    json = test::replaced(json, R"("deadlineUs":3000000)", deadline);
    json = test::replaced(json, R"("peers":false)", R"("peers":true)");
    json =
        test::replaced(json, R"("coldBears":51.0)", fmt::format(R"("coldBears":{})", plan_.slowStartUnits));
    if (plan_.kinds.flood)
        json =
            test::replaced(json, R"("sockets":1024)", fmt::format(R"("sockets":{})", kFloodDescriptorLimit));
    return json;
}

std::string Fleet::configOf(std::size_t index) {
    std::string peers;
    for (std::size_t peer = 0; peer < plan_.fronts; ++peer)
        peers +=
            fmt::format("{}\"127.0.0.1:{}\"", peer > 0 ? "," : "", relay_->addressOf(index, peer).port());
    const auto discovery = fronts_[index]->discovery.address();
    auto json = test::replaced(baseConfig(), R"("peers":[])",
                               fmt::format(R"("peer_listen":"127.0.0.1:{}","peers":[{}])",
                                           relay_->addressOf(index, index).port(), peers));
    json = test::replaced(json, R"("me":0,"replicasOfMe":1)",
                          fmt::format(R"("me":{},"replicasOfMe":{})", index, plan_.fronts));
    json =
        test::replaced(json, R"("127.0.0.1:1")", fmt::format(R"("{}:{}")", discovery.host, discovery.port));
    json =
        test::replaced(json, R"("seed":"8c1f30d27a5be964")", fmt::format(R"("seed":"{:016x}")", random_()));
    return test::withClientPort(json, fronts_[index]->listener.local_endpoint().port());
}

// ---- processes

void Fleet::startProcess(Front& front) {
    front.faults->attached = 0;
    auto variables = front.faults.variables();
    variables.emplace_back("WINGPROXY_LOG=debug");
    front.process = std::make_unique<test::Process>(
        front.folder, front.starts++, front.listener.native_handle(), test::freePort(io_), variables);
    front.restartAt.reset();
    front.isReady = false;
    front.state.acceptsNew = false;
    front.state.terminating = false;
    observations_.frontStarted(front.index);
}

void Fleet::poll(Front& front, const std::string& waitingRequest) {
    front.discovery.poll();
    if (!front.process) {
        if (front.restartAt && Clock::now() >= *front.restartAt) startProcess(front);
        return;
    }
    if (!front.isReady) checkReady(front);
    if (front.acceptsUntil && Clock::now() >= *front.acceptsUntil) front.state.acceptsNew = false;
    if (!front.process->running()) return onExit(front);
    if (front.killAt && Clock::now() >= *front.killAt) onKillDeadline(front, waitingRequest);
}

void Fleet::checkReady(Front& front) {
    if (!front.process->hasLogged("listens on 127.0.0.1:")) return;
    front.isReady = true;
    front.state.acceptsNew = true;
    if (front.faults->attached == 0) observations_.addViolation("the fault shim was not loaded");
}

void Fleet::onKillDeadline(Front& front, const std::string& waitingRequest) {
    ++result_.killedAfterTerm;
    if (front.pausedUntil < *front.killAt - kFinalPhases)
        observations_.addViolation(fmt::format(
            "front {} is still running at SIGKILL, and was not paused shortly before", front.index));
    if (!waitingRequest.empty())
        observations_.addViolation(fmt::format("front {} had not answered a request at SIGKILL", front.index),
                                   waitingRequest);
    kill(front);
}

void Fleet::onExit(Front& front) {
    if (!front.state.terminating || front.process->status != 0)
        observations_.addViolation(fmt::format("front {} ended with status {}: {}", front.index,
                                               front.process->status, lastLines(front.process->readLog())));
    onProcessGone(front);
}

void Fleet::onProcessGone(Front& front) {
    front.process.reset();
    front.isReady = false;
    front.state.acceptsNew = false;
    front.acceptsUntil.reset();
    front.killAt.reset();
    front.restartAt = Clock::now() + kDownTime;
}

void Fleet::kill(Front& front) {
    if (!front.process) return;
    front.process->signal(SIGKILL);
    while (front.process->running()) {}
    front.state.killedAt = Clock::now();
    for (auto& node : nodes_)
        node->reference.frontKilled(front.index, Clock::now());
    onProcessGone(front);
}

void Fleet::terminate(Front& front, bool twice) {
    if (!front.serves() || front.state.terminating) return;
    front.process->signal(SIGTERM);
    if (twice) front.process->signal(SIGTERM);
    front.state.terminating = true;
    front.acceptsUntil = Clock::now() + kConnectPeriodAfterTerm;
    front.killAt =
        Clock::now() + std::min(plan_.longestDeadline, kMaxDeadlineBeforeKill) + kKillAfterDeadline;
}

// ---- nodes and their list

Node& Fleet::addNode(int cell, bool isStarting) {
    ObservedNode observed;
    observed.id = fmt::format("s-{}", nodes_.size());
    observed.startedAt = Clock::now();
    observed.isStarting = isStarting;
    observed.startVersion = version_ + 1;
    observed.capacityFactor = plan_.capacityFactor(nodes_.size());
    nodes_.push_back(std::make_unique<Node>(io_, observations_, observed, settings_, plan_.dropsAbandoned));
    nodes_.back()->cell = cell;
    nodes_.back()->startedAtMs = isStarting ? unixMillis() : 0;
    return *nodes_.back();
}

void Fleet::publishEndpointList() {
    std::string list;
    for (const auto& node : nodes_) {
        if (!node->isListed) continue;
        list += fmt::format(
            R"({}{{"instanceId":"{}","hostPort":"127.0.0.1:{}","zone":"z","cell":{},"lifecycle":"{}","weight":1.0,"startedAtMs":{}}})",
            list.empty() ? "" : ",", node->server.observed().id, node->proxy.endpoint().port(), node->cell,
            node->server.observed().drainVersion > 0 ? "draining" : "up", node->startedAtMs);
    }
    ++version_;
    for (auto& front : fronts_)
        front->discovery.setList(version_, list);
}

std::vector<Node*> Fleet::listedNodes() {
    std::vector<Node*> listed;
    for (auto& node : nodes_)
        if (node->isListed && node->server.observed().drainVersion == 0) listed.push_back(node.get());
    return listed;
}

void Fleet::replaceNode(Node& old) {
    old.server.observed().drainVersion = version_ + 1;
    addNode(old.cell, true);
    publishEndpointList();
}

void Fleet::unlist(Node& node) {
    node.isListed = false;
    publishEndpointList();
}

void Fleet::crashNode(Node& node) {
    node.proxy.resetAll();
    node.server.restart(version_ + 1);
    node.startedAtMs = unixMillis();
    node.reference.restart(Clock::now());
}

void Fleet::setBehaviour(Node& node, FakeNode::Behaviour behaviour) {
    node.server.setBehaviour(behaviour);
    node.misbehaves = behaviour != FakeNode::Behaviour::Serve;
    updateReference(node);
}

void Fleet::setSilent(Node& node, bool isSilent) {
    node.proxy.setMode(isSilent ? FaultProxy::Mode::Silent : FaultProxy::Mode::Pass);
    node.isSilent = isSilent;
    updateReference(node);
}

void Fleet::updateReference(Node& node) {
    node.reference.setServing(!node.isSilent && !node.misbehaves, Clock::now());
}

// ---- reference model

bool Fleet::isUsable(const Front& front, Node& node) const {
    const ObservedNode& observed = node.server.observed();
    const bool knowsIt = observations_.timeListSent(front.index, observed.startVersion).has_value();
    const bool drains = observations_.timeListSent(front.index, observed.drainVersion).has_value();
    return node.isListed && knowsIt && !drains;
}

void Fleet::offer(const OfferedRequest& request) {
    const Clock::time_point now = Clock::now();
    Node* best = nullptr;
    std::optional<Clock::time_point> bestTime;
    for (auto& node : nodes_) {
        if (node->cell != request.cell || !isUsable(*fronts_[request.front], *node)) continue;
        const auto answerAt = node->reference.answerTime(node->server.timeFor(request.units), now);
        if (!answerAt || (bestTime && *answerAt >= *bestTime)) continue;
        best = node.get();
        bestTime = answerAt;
    }
    if (best != nullptr && *bestTime <= now + request.timeout)
        best->reference.assign(request.front, *bestTime);
}

}  // namespace wingproxy::soak
