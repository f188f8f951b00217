// The module over hand-overs: three hosts with leases and messages between them, whose processes are followed
// by others. All events that the text wire does not carry take part (bodies that are still coming, a process
// that leaves, waiting requests that must go, streams). The actions and the handed-over bytes must be those
// of the version that wrote golden_handover.txt.
//
// How the file is written anew stands in golden_file.h. Actions are rendered by number and fields, so that
// the file holds no name of a type.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "golden/golden_file.h"
#include "support/policy_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

constexpr int kHosts = 3;
constexpr Micros kDuration = 44 * kSecond;
constexpr std::uint64_t kBatchesPerLine = 100;

/// The fields of each action, in the order of their declaration.
struct FieldsOfAction {
    static std::string join(std::initializer_list<std::string> fields) {
        std::string text;
        for (const auto& field : fields)
            text += " " + field;
        return text;
    }
    std::string operator()(const ForwardRequest& a) const {
        return join(
            {std::to_string(a.id), a.node, std::to_string(a.timeoutUs), std::to_string(a.lastByteByUs)});
    }
    std::string operator()(const RejectRequest& a) const {
        return join({std::to_string(a.id), std::to_string(a.retryAfterUs)});
    }
    std::string operator()(const FailRequest& a) const { return join({std::to_string(a.id)}); }
    std::string operator()(const CancelAttempt& a) const {
        return join({std::to_string(a.id), std::to_string(a.attempt.value())});
    }
    std::string operator()(const StartHealthCheck& a) const { return join({a.node}); }
    std::string operator()(const SendPeerMessage& a) const {
        return join({std::to_string(a.to.host().value()), hexOf(a.bytes)});
    }
    std::string operator()(const SetTimer& a) const {
        return join({std::to_string(a.delayUs), std::to_string(a.token)});
    }
    std::string operator()(const WatchEndpointList& a) const { return join({a.enabled ? "1" : "0"}); }
    std::string operator()(const LogLine& a) const { return join({a.text}); }
};

std::string render(const Action& action) {
    return std::to_string(action.index()) + std::visit(FieldsOfAction{}, action) + "\n";
}

Settings hostSettings(int host) {
    Settings s = settings(host, kHosts);
    s.mayCancel = true;
    s.mayCheckHealth = true;
    s.retryRatio = 0.2;
    s.retryAllowance = 3;
    s.retryWindowUs = 2 * kSecond;
    return s;
}

/// Processes of three hosts, their clients, two cells of nodes and the network between the hosts.
class HandOverSimulation {
public:
    HandOverSimulation();
    /// Runs to the end, and returns the lines of the golden file.
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
        bool arrived = true;  // its body is whole
        int attempts = 0;
        std::map<int, std::string> out;
    };

    void at(Micros time, std::function<void()> step) {
        agenda_.emplace(std::max(time, now_ + kMs), std::move(step));
    }
    void give(std::size_t process, Event event) { inputs_[process].push_back(std::move(event)); }
    std::size_t serving(int host) const { return servingProcess_.at(host); }

    void scheduleScript();
    void startHost(int host);
    void upgrade(int host);
    void leave(int host);
    void listNodes();
    void arrive();
    void fill(RequestId id);
    void act(std::size_t process, const Action& action);
    void startAttempt(const ForwardRequest& send);
    void serve(RequestId id, int attempt);
    void endAttempt(RequestId id, int attempt, Outcome outcome, Micros took);
    void deliver(int from, int to, const std::string& bytes);
    std::string summary() const;

    SeededRandom random_{99};
    std::multimap<Micros, std::function<void()>> agenda_;
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
};

HandOverSimulation::HandOverSimulation() {
    for (int host = 0; host < kHosts; ++host)
        startHost(host);
    scheduleScript();
}

void HandOverSimulation::scheduleScript() {
    at(kStart + 20 * kMs, [this] { listNodes(); });
    at(kStart + 50 * kMs, [this] { arrive(); });
    at(kStart + 4 * kSecond, [this] { upgrade(0); });
    at(kStart + 7 * kSecond, [this] { upgrade(1); });
    at(kStart + 8 * kSecond, [this] { upgrade(0); });
    at(kStart + 12 * kSecond, [this] { leave(2); });
    at(kStart + 17 * kSecond, [this] { upgrade(2); });
    at(kStart + 17 * kSecond + 10 * kMs, [this] { upgrade(1); });
}

void HandOverSimulation::startHost(int host) {
    servingProcess_[host] = processes_.size();
    processes_.push_back({host, std::make_unique<Policy>(hostSettings(host), now_), false});
    inputs_[processes_.size() - 1];
}

// The old process finishes what is open there, and ends two seconds later.
void HandOverSimulation::upgrade(int host) {
    const std::size_t old = serving(host);
    const std::string bytes = processes_[old].policy->takeSnapshot(now_);
    hash_.add(hexOf(bytes));
    startHost(host);
    EXPECT_TRUE(processes_.back().policy->restore(bytes));
    listNodes();
    at(now_ + 2 * kSecond, [this, old] { processes_[old].ended = true; });
}

// A host that leaves in order, and starts again without what it knew.
void HandOverSimulation::leave(int host) {
    const std::size_t old = serving(host);
    give(old, ShutdownStarted{now_ + 1'500 * kMs});
    at(now_ + 1'500 * kMs, [this, old, host] {
        processes_[old].ended = true;
        startHost(host);
        listNodes();
    });
}

void HandOverSimulation::listNodes() {
    const Micros running = now_ - kStart;
    const bool drains = running > 11 * kSecond && running < 13 * kSecond;
    const std::vector<NodeInfo> list{node("a", 0),
                                     node("b", 1, drains ? NodeState::Draining : NodeState::Ready),
                                     node("c", 0, NodeState::Ready, kStart + 3 * kSecond),
                                     node("d", 1, NodeState::Ready, kStart + 6 * kSecond)};
    for (const auto& [host, process] : servingProcess_)
        give(process, EndpointListReceived{nodes(
                          list, running < kSecond ? EndpointListKind::Full : EndpointListKind::Cached)});
}

void HandOverSimulation::arrive() {
    const bool overload = (now_ - kStart) / kSecond % 5 == 3;
    at(now_ + random_.between(1, overload ? 6 : 22) * kMs, [this] { arrive(); });
    const int busyHost = static_cast<int>((now_ - kStart) / (2 * kSecond) % kHosts);
    const int host = random_.chance(60) ? busyHost : static_cast<int>(random_.below(kHosts));
    // A few requests still reach the process before.
    std::size_t process = serving(host);
    if (process > 0 && random_.chance(10)) --process;
    if (processes_[process].ended) return;
    const int classIndex = static_cast<int>(random_.below(4));
    const int planIndex = random_.chance(70) ? 0 : 1;
    const auto units = static_cast<double>(random_.between(1, 6));
    const int cell = static_cast<int>(random_.between(-1, 1));
    Request r = request(++lastRequest_, classIndex, planIndex, now_, units, cell, kHosts);
    if (r.classIndex == ClassIndex(3)) r.key = "ordered" + std::to_string(random_.below(5));
    const bool early = now_ < kStart + 3 * kSecond;
    if (early && random_.chance(10)) r.volume += std::to_string(r.id);  // asked for once, and forgotten later
    r.bodyIncomplete = random_.chance(30);
    r.deadlineUs = now_ + (r.bodyIncomplete ? 10 : 2) * kSecond;
    requests_[r.id] = {process, r, !r.bodyIncomplete, 0, {}};
    give(process, RequestReceived{r});
    if (r.bodyIncomplete) at(now_ + random_.between(5, 300) * kMs, [this, id = r.id] { fill(id); });
    if (random_.chance(3))
        at(now_ + random_.between(1, 200) * kMs,
           [this, id = r.id, process] { give(process, RequestCancelled{id}); });
    if (random_.chance(2)) give(process, CapacityNeeded{static_cast<int>(random_.between(1, 4))});
}

void HandOverSimulation::fill(RequestId id) {
    OpenRequest& open = requests_.at(id);
    open.arrived = true;
    give(open.process, RequestBodyCompleted{id, now_ + 2 * kSecond});
    for (const auto& [attempt, node] : open.out)
        serve(id, attempt);
}

std::vector<std::string> HandOverSimulation::run() {
    std::vector<std::string> lines;
    while (agenda_.begin()->first < kStart + kDuration || batches_ == 0) {
        for (const auto& [process, events] : std::exchange(inputs_, {})) {
            if (processes_[process].ended) continue;
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
                act(process, action);
            }
            if (++batches_ % kBatchesPerLine == 0) lines.push_back(summary());
        }
        now_ = agenda_.begin()->first;
        while (agenda_.begin()->first == now_) {
            const auto step = std::move(agenda_.begin()->second);
            agenda_.erase(agenda_.begin());
            step();
        }
    }
    lines.push_back(summary());
    for (const auto& [kind, count] : eventKinds_)
        lines.push_back("event " + std::to_string(kind) + " " + std::to_string(count));
    for (const auto& [kind, count] : actionKinds_)
        lines.push_back("action " + std::to_string(kind) + " " + std::to_string(count));
    return lines;
}

std::string HandOverSimulation::summary() const {
    std::string text = "batches=" + std::to_string(batches_) + " hash=" + hash_.hex();
    for (const auto& [host, process] : servingProcess_) {
        const Policy& policy = *processes_[process].policy;
        text += " kept=" + std::to_string(policy.tableEntries()) +
                " avoided=" + std::to_string(policy.avoidedNodes());
    }
    return text;
}

void HandOverSimulation::act(std::size_t process, const Action& action) {
    if (const auto* send = std::get_if<ForwardRequest>(&action)) startAttempt(*send);
    if (const auto* timer = std::get_if<SetTimer>(&action))
        at(now_ + timer->delayUs,
           [this, process, token = timer->token] { give(process, TimerFired{token}); });
    if (const auto* cancel = std::get_if<CancelAttempt>(&action))
        at(now_ + kMs, [this, c = *cancel] { endAttempt(c.id, c.attempt.value(), Outcome::Cancelled, 0); });
    if (const auto* probe = std::get_if<StartHealthCheck>(&action)) {
        const Micros took = std::max<Micros>(nodeFreeAt_[probe->node] - now_, 0) + 2 * kMs;
        at(now_ + took, [this, process, node = probe->node, took] {
            give(process, HealthCheckCompleted{node, Outcome::Ok, took, {}});
        });
    }
    if (const auto* tell = std::get_if<SendPeerMessage>(&action))
        for (int to = 0; to < kHosts; ++to)
            if (to != processes_[process].host && (tell->to.isEveryPeer() || tell->to == HostIndex(to)) &&
                !random_.chance(5))
                at(now_ + random_.between(1, 4) * kMs, [this, from = processes_[process].host, to,
                                                        bytes = tell->bytes] { deliver(from, to, bytes); });
}

void HandOverSimulation::deliver(int from, int to, const std::string& bytes) {
    give(serving(to), PeerMessageReceived{HostIndex(from), bytes});
}

void HandOverSimulation::startAttempt(const ForwardRequest& send) {
    OpenRequest& open = requests_.at(send.id);
    const int attempt = open.attempts++;
    open.out[attempt] = send.node;
    if (open.arrived)
        serve(send.id, attempt);
    else if (random_.chance(15)) {
        // The node ends it while its body is on its way.
        const Outcome outcome = random_.chance(50) ? Outcome::Rejected : Outcome::Reset;
        at(now_ + random_.between(2, 60) * kMs,
           [this, id = send.id, attempt, outcome] { endAttempt(id, attempt, outcome, 5 * kMs); });
    }
}

// Each node serves one request after the other.
void HandOverSimulation::serve(RequestId id, int attempt) {
    const OpenRequest& open = requests_.at(id);
    const std::string node = open.out.at(attempt);
    const Micros began = now_;
    const Micros service = static_cast<Micros>(open.request.units) * random_.between(2, 5) * kMs;
    Micros& freeAt = nodeFreeAt_[node];
    freeAt = std::max(freeAt, now_) + service;
    if (random_.chance(3)) return;  // its answer never arrives
    const std::int64_t draw = random_.below(100);
    const Outcome outcome = draw < 90   ? Outcome::Ok
                            : draw < 92 ? Outcome::Error
                            : draw < 94 ? Outcome::Rejected
                            : draw < 95 ? Outcome::Timeout
                            : draw < 97 ? Outcome::ConnectFailed
                            : draw < 99 ? Outcome::Reset
                                        : Outcome::NotStarted;
    const bool streams = outcome == Outcome::Ok && random_.chance(30);
    Micros end = freeAt;
    if (streams) {
        const bool passing = random_.chance(70);
        at(freeAt, [this, id, attempt, node, began, passing] {
            const OpenRequest& answered = requests_.at(id);
            if (!answered.out.contains(attempt)) return;
            give(answered.process,
                 ResponseStarted{id, AttemptIndex(attempt), node, now_ - began, true, passing});
        });
        end += random_.between(5, 400) * kMs;
    }
    at(end, [this, id, attempt, outcome, began] { endAttempt(id, attempt, outcome, now_ - began); });
}

void HandOverSimulation::endAttempt(RequestId id, int attempt, Outcome outcome, Micros took) {
    OpenRequest& open = requests_.at(id);
    const auto it = open.out.find(attempt);
    if (it == open.out.end()) return;
    AttemptOutcome event = ended(id, attempt, it->second, outcome, took);
    event.requestSpent = outcome != Outcome::Ok && (!open.arrived || random_.chance(20));
    open.out.erase(it);
    give(open.process, event);
}

TEST(GoldenHandOver, ActionsAreThoseOfTheVersionThatWroteTheFile) {
    HandOverSimulation simulation;
    EXPECT_EQ(differenceFromGoldenFile("golden_handover.txt", simulation.run()), "");
}

}  // namespace
