/// \file
/// Golden test of the policy over hot restarts: three hosts with leases and gossip, whose processes are
/// replaced by new ones. It covers the events that the simulator's protocol does not carry: incomplete
/// bodies, graceful shutdowns, capacity demands and streams. The actions and the bytes of the snapshots must
/// equal those of the version that wrote golden_handover.txt.
///
/// golden_file.h says how to rewrite the file. Actions are written as their index and fields, so that the
/// file contains no type names and renaming a type does not change it.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "golden/golden_file.h"
#include "golden/step_scheduler.h"
#include "support/policy_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

constexpr int kHosts = 3;
constexpr Micros kDuration = 44 * kSecond;
constexpr std::uint64_t kBatchesPerLine = 100;

/// Formats the fields of an action in the order of their declaration.
struct FieldsOfAction {
    static std::string join(std::initializer_list<std::string> fields) {
        std::string text;
        for (const auto& field : fields)
            text += " " + field;
        return text;
    }
    std::string operator()(const ForwardRequest& action) const {
        return join({std::to_string(action.id), action.node, std::to_string(action.timeoutUs),
                     std::to_string(action.lastByteByUs)});
    }
    std::string operator()(const RejectRequest& action) const {
        return join({std::to_string(action.id), std::to_string(action.retryAfterUs)});
    }
    std::string operator()(const FailRequest& action) const { return join({std::to_string(action.id)}); }
    std::string operator()(const CancelAttempt& action) const {
        return join({std::to_string(action.id), std::to_string(action.attempt.value())});
    }
    std::string operator()(const StartHealthCheck& action) const { return join({action.node}); }
    std::string operator()(const SendPeerMessage& action) const {
        return join({std::to_string(action.to.host().value()), hexOf(action.bytes)});
    }
    std::string operator()(const SetTimer& action) const {
        return join({std::to_string(action.delayUs), std::to_string(action.token)});
    }
    std::string operator()(const WatchEndpointList& action) const {
        return join({action.enabled ? "1" : "0"});
    }
    std::string operator()(const LogLine& action) const { return join({action.text}); }
};

std::string render(const Action& action) {
    return std::to_string(action.index()) + std::visit(FieldsOfAction{}, action) + "\n";
}

Settings settingsOf(int host) {
    Settings hostSettings = settings(host, kHosts);
    hostSettings.mayCancel = true;
    hostSettings.mayCheckHealth = true;
    hostSettings.retryRatio = 0.2;
    hostSettings.retryAllowance = 3;
    hostSettings.retryWindowUs = 2 * kSecond;
    return hostSettings;
}

/// Processes of three hosts, their clients, two cells of nodes and the network between the hosts.
class HotRestartSimulation {
public:
    HotRestartSimulation();
    /// Runs the simulation to its end; to be called once.
    /// \return the lines of the golden file
    std::vector<std::string> run();

private:
    struct Process {
        int host = 0;
        std::unique_ptr<Policy> policy;
        bool ended = false;
    };
    struct OpenRequest {
        std::size_t process = 0;
        Request request;
        bool bodyComplete = true;
        int attemptCount = 0;
        std::map<int, std::string> openAttempts;  // node by attempt number
    };

    void schedule(Micros time, std::function<void()> step) {
        scheduler_.add(std::max(time, now_ + kMs), std::move(step));
    }
    void deliverEvent(std::size_t process, Event event) { inputs_[process].push_back(std::move(event)); }
    std::size_t servingProcess(int host) const { return servingProcess_.at(host); }

    void scheduleScript();
    void startHost(int host);
    void hotRestart(int host);
    void shutDownHost(int host);
    void sendEndpointList();
    void submitNewRequest();
    void completeBody(RequestId id);
    void runBatch(std::size_t process, const std::vector<Event>& events);
    void perform(std::size_t process, const Action& action);
    void checkHealth(std::size_t process, const std::string& node);
    void passPeerMessage(std::size_t process, const SendPeerMessage& message);
    void startAttempt(const ForwardRequest& forward);
    Outcome drawOutcome();
    void serve(RequestId id, int attempt);
    void endAttempt(RequestId id, int attempt, Outcome outcome, Micros took);
    void deliverPeerMessage(int from, int to, const std::string& bytes);
    std::string summary() const;

    SeededRandom random_{99};
    StepScheduler scheduler_;
    std::vector<Process> processes_;
    std::map<int, std::size_t> servingProcess_;
    std::map<std::size_t, std::vector<Event>> inputs_;
    std::map<RequestId, OpenRequest> requests_;
    std::map<std::string, Micros> nodeFreeAt_;
    RequestId lastRequest_ = 0;
    Micros now_ = kStart;
    std::uint64_t batches_ = 0;
    RunningHash hash_;
    std::map<std::size_t, std::uint64_t> actionKinds_;
    std::map<std::size_t, std::uint64_t> eventKinds_;
    std::vector<std::string> lines_;  // of the golden file, so far
};

HotRestartSimulation::HotRestartSimulation() {
    for (int host = 0; host < kHosts; ++host)
        startHost(host);
    scheduleScript();
}

void HotRestartSimulation::scheduleScript() {
    schedule(kStart + 20 * kMs, [this] { sendEndpointList(); });
    schedule(kStart + 50 * kMs, [this] { submitNewRequest(); });
    schedule(kStart + 4 * kSecond, [this] { hotRestart(0); });
    schedule(kStart + 7 * kSecond, [this] { hotRestart(1); });
    schedule(kStart + 8 * kSecond, [this] { hotRestart(0); });
    schedule(kStart + 12 * kSecond, [this] { shutDownHost(2); });
    schedule(kStart + 17 * kSecond, [this] { hotRestart(2); });
    schedule(kStart + 17 * kSecond + 10 * kMs, [this] { hotRestart(1); });
}

void HotRestartSimulation::startHost(int host) {
    servingProcess_[host] = processes_.size();
    processes_.push_back({host, std::make_unique<Policy>(settingsOf(host), now_), false});
    inputs_[processes_.size() - 1];
}

// The old process finishes its open requests and exits after two seconds.
void HotRestartSimulation::hotRestart(int host) {
    const std::size_t old = servingProcess(host);
    const std::string bytes = processes_[old].policy->takeSnapshot(now_);
    hash_.add(hexOf(bytes));
    startHost(host);
    EXPECT_TRUE(processes_.back().policy->restore(bytes));
    sendEndpointList();
    schedule(now_ + 2 * kSecond, [this, old] { processes_[old].ended = true; });
}

// The host shuts down gracefully and starts again without its former state.
void HotRestartSimulation::shutDownHost(int host) {
    const std::size_t old = servingProcess(host);
    deliverEvent(old, ShutdownStarted{now_ + 1'500 * kMs});
    schedule(now_ + 1'500 * kMs, [this, old, host] {
        processes_[old].ended = true;
        startHost(host);
        sendEndpointList();
    });
}

void HotRestartSimulation::sendEndpointList() {
    const Micros running = now_ - kStart;
    const bool drains = running > 11 * kSecond && running < 13 * kSecond;
    const std::vector<NodeInfo> list{node("a", 0),
                                     node("b", 1, drains ? NodeState::Draining : NodeState::Ready),
                                     node("c", 0, NodeState::Ready, kStart + 3 * kSecond),
                                     node("d", 1, NodeState::Ready, kStart + 6 * kSecond)};
    for (const auto& [host, process] : servingProcess_)
        deliverEvent(process,
                     EndpointListReceived{
                         nodes(list, running < kSecond ? EndpointListKind::Full : EndpointListKind::Cached)});
}

void HotRestartSimulation::submitNewRequest() {
    const bool overload = (now_ - kStart) / kSecond % 5 == 3;
    schedule(now_ + random_.between(1, overload ? 6 : 22) * kMs, [this] { submitNewRequest(); });
    const int busyHost = static_cast<int>((now_ - kStart) / (2 * kSecond) % kHosts);
    const int host = random_.chance(60) ? busyHost : static_cast<int>(random_.below(kHosts));
    // A few requests still reach the preceding process.
    std::size_t process = servingProcess(host);
    if (process > 0 && random_.chance(10)) --process;
    if (processes_[process].ended) return;
    const int classIndex = static_cast<int>(random_.below(4));
    const int planIndex = random_.chance(70) ? 0 : 1;
    const auto units = static_cast<double>(random_.between(1, 6));
    const int cell = static_cast<int>(random_.between(-1, 1));
    Request fresh = request(++lastRequest_, classIndex, planIndex, now_, units, cell, kHosts);
    if (fresh.classIndex == ClassIndex(3)) fresh.key = "ordered" + std::to_string(random_.below(5));
    const bool early = now_ < kStart + 3 * kSecond;
    if (early && random_.chance(10))
        fresh.volume += std::to_string(fresh.id);  // requested once, so that its entry expires later
    fresh.bodyIncomplete = random_.chance(30);
    fresh.deadlineUs = now_ + (fresh.bodyIncomplete ? 10 : 2) * kSecond;
    requests_[fresh.id] = {process, fresh, !fresh.bodyIncomplete, 0, {}};
    deliverEvent(process, RequestReceived{fresh});
    if (fresh.bodyIncomplete)
        schedule(now_ + random_.between(5, 300) * kMs, [this, id = fresh.id] { completeBody(id); });
    if (random_.chance(3))
        schedule(now_ + random_.between(1, 200) * kMs,
                 [this, id = fresh.id, process] { deliverEvent(process, RequestCancelled{id}); });
    if (random_.chance(2)) deliverEvent(process, CapacityNeeded{static_cast<int>(random_.between(1, 4))});
}

void HotRestartSimulation::completeBody(RequestId id) {
    OpenRequest& open = requests_.at(id);
    open.bodyComplete = true;
    deliverEvent(open.process, RequestBodyCompleted{id, now_ + 2 * kSecond});
    for (const auto& [attempt, node] : open.openAttempts)
        serve(id, attempt);
}

std::vector<std::string> HotRestartSimulation::run() {
    while (scheduler_.nextTime() < kStart + kDuration || batches_ == 0) {
        for (const auto& [process, events] : std::exchange(inputs_, {}))
            if (!processes_[process].ended) runBatch(process, events);
        now_ = scheduler_.nextTime();
        scheduler_.runNext();
    }
    lines_.push_back(summary());
    for (const auto& [kind, count] : eventKinds_)
        lines_.push_back("event " + std::to_string(kind) + " " + std::to_string(count));
    for (const auto& [kind, count] : actionKinds_)
        lines_.push_back("action " + std::to_string(kind) + " " + std::to_string(count));
    return std::move(lines_);
}

void HotRestartSimulation::runBatch(std::size_t process, const std::vector<Event>& events) {
    Policy& policy = *processes_[process].policy;
    for (const auto& event : events) {
        ++eventKinds_[event.index()];
        policy.on(now_, event);
    }
    const auto actions = policy.finish(now_);
    hash_.add("batch " + std::to_string(process) + "\n");
    for (const auto& action : actions) {
        hash_.add(render(action));
        ++actionKinds_[action.index()];
        perform(process, action);
    }
    if (++batches_ % kBatchesPerLine == 0) lines_.push_back(summary());
}

std::string HotRestartSimulation::summary() const {
    std::string text = "batches=" + std::to_string(batches_) + " hash=" + hash_.hex();
    for (const auto& [host, process] : servingProcess_) {
        const Policy& policy = *processes_[process].policy;
        text += " kept=" + std::to_string(policy.tableEntries()) +
                " avoided=" + std::to_string(policy.avoidedNodes());
    }
    return text;
}

void HotRestartSimulation::perform(std::size_t process, const Action& action) {
    if (const auto* forward = std::get_if<ForwardRequest>(&action)) startAttempt(*forward);
    if (const auto* timer = std::get_if<SetTimer>(&action))
        schedule(now_ + timer->delayUs,
                 [this, process, token = timer->token] { deliverEvent(process, TimerFired{token}); });
    if (const auto* cancel = std::get_if<CancelAttempt>(&action))
        schedule(now_ + kMs, [this, cancel = *cancel] {
            endAttempt(cancel.id, cancel.attempt.value(), Outcome::Cancelled, 0);
        });
    if (const auto* check = std::get_if<StartHealthCheck>(&action)) checkHealth(process, check->node);
    if (const auto* message = std::get_if<SendPeerMessage>(&action)) passPeerMessage(process, *message);
}

void HotRestartSimulation::checkHealth(std::size_t process, const std::string& node) {
    const Micros took = std::max<Micros>(nodeFreeAt_[node] - now_, 0) + 2 * kMs;
    schedule(now_ + took, [this, process, node, took] {
        deliverEvent(process, HealthCheckCompleted{node, Outcome::Ok, took, {}});
    });
}

// The network loses some messages and delays the rest.
void HotRestartSimulation::passPeerMessage(std::size_t process, const SendPeerMessage& message) {
    const int from = processes_[process].host;
    for (int to = 0; to < kHosts; ++to) {
        const bool isReceiver = to != from && (message.to.isEveryPeer() || message.to == HostIndex(to));
        if (!isReceiver || random_.chance(5)) continue;
        schedule(now_ + random_.between(1, 4) * kMs,
                 [this, from, to, bytes = message.bytes] { deliverPeerMessage(from, to, bytes); });
    }
}

void HotRestartSimulation::deliverPeerMessage(int from, int to, const std::string& bytes) {
    deliverEvent(servingProcess(to), PeerMessageReceived{HostIndex(from), bytes});
}

void HotRestartSimulation::startAttempt(const ForwardRequest& forward) {
    OpenRequest& open = requests_.at(forward.id);
    const int attempt = open.attemptCount++;
    open.openAttempts[attempt] = forward.node;
    if (open.bodyComplete)
        serve(forward.id, attempt);
    else if (random_.chance(15)) {
        // The node ends the attempt while the body is still being received.
        const Outcome outcome = random_.chance(50) ? Outcome::Rejected : Outcome::Reset;
        schedule(now_ + random_.between(2, 60) * kMs,
                 [this, id = forward.id, attempt, outcome] { endAttempt(id, attempt, outcome, 5 * kMs); });
    }
}

Outcome HotRestartSimulation::drawOutcome() {
    const std::int64_t draw = random_.below(100);
    if (draw < 90) return Outcome::Ok;
    if (draw < 92) return Outcome::Error;
    if (draw < 94) return Outcome::Rejected;
    if (draw < 95) return Outcome::Timeout;
    if (draw < 97) return Outcome::ConnectFailed;
    if (draw < 99) return Outcome::Reset;
    return Outcome::NotStarted;
}

// Each node serves one request at a time.
void HotRestartSimulation::serve(RequestId id, int attempt) {
    const OpenRequest& open = requests_.at(id);
    const std::string node = open.openAttempts.at(attempt);
    const Micros began = now_;
    const Micros service = static_cast<Micros>(open.request.units) * random_.between(2, 5) * kMs;
    Micros& freeAt = nodeFreeAt_[node];
    freeAt = std::max(freeAt, now_) + service;
    if (random_.chance(3)) return;  // its answer never arrives
    const Outcome outcome = drawOutcome();
    const bool streams = outcome == Outcome::Ok && random_.chance(30);
    Micros end = freeAt;
    if (streams) {
        const bool passing = random_.chance(70);
        schedule(freeAt, [this, id, attempt, node, began, passing] {
            const OpenRequest& answered = requests_.at(id);
            if (!answered.openAttempts.contains(attempt)) return;
            deliverEvent(answered.process,
                         ResponseStarted{id, AttemptIndex(attempt), node, now_ - began, true, passing});
        });
        end += random_.between(5, 400) * kMs;
    }
    schedule(end, [this, id, attempt, outcome, began] { endAttempt(id, attempt, outcome, now_ - began); });
}

void HotRestartSimulation::endAttempt(RequestId id, int attempt, Outcome outcome, Micros took) {
    OpenRequest& open = requests_.at(id);
    const auto it = open.openAttempts.find(attempt);
    if (it == open.openAttempts.end()) return;
    AttemptOutcome event = ended(id, attempt, it->second, outcome, took);
    event.requestSpent = outcome != Outcome::Ok && (!open.bodyComplete || random_.chance(20));
    open.openAttempts.erase(it);
    deliverEvent(open.process, event);
}

TEST(GoldenHotRestart, ActionsMatchTheGoldenFile) {
    HotRestartSimulation simulation;
    EXPECT_EQ(differenceFromGoldenFile("golden_handover.txt", simulation.run()), "");
}

}  // namespace
