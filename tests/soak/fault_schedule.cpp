#include "soak/fault_schedule.h"

namespace wingproxy::soak {
namespace {

constexpr std::uint64_t kFaultStream = 4'000'037;  // a stream of draws of its own
constexpr milliseconds kQuietStart{500};
constexpr milliseconds kQuietEnd{500};
constexpr int kMostMoveMs = 8;  // by which a play moves each fault, to both sides
constexpr std::size_t kCrowdClients = 160;
constexpr milliseconds kCrowdDispersal{300};  // until the front has seen all of them go
constexpr milliseconds kHoldUp{130};  // a process may be held up for 0.15 s, the signals' own way included
constexpr int kHoldUpsInSeries = 3;
constexpr milliseconds kBetweenHoldUps{200};

}  // namespace

FaultSchedule::FaultSchedule(const SoakPlan& plan, Fleet& fleet, Clock::time_point end)
    : plan_(plan), fleet_(fleet), end_(end), random_(plan.seed + kFaultStream), moves_(plan.play) {
    planAll();
}

void FaultSchedule::runDue() {
    while (!faults_.empty() && faults_.front().at <= Clock::now()) {
        const auto inject = faults_.front().inject;
        faults_.erase(faults_.begin());
        inject();
    }
}

void FaultSchedule::planAll() {
    const FaultKinds& kinds = plan_.kinds;
    if (kinds.nodes) {
        plan(2, [this](Random& random) { replaceNode(random); });
        plan(2, [this](Random& random) { crashNode(random); });
        plan(3, [this](Random& random) { misbehave(random); });
    }
    if (kinds.links) {
        plan(2, [this](Random& random) { disturbLink(random); });
        plan(2, [this](Random& random) { resetLink(random); });
        plan(1, [this](Random&) {
            fleet_.relay().setAllLinks({40, 10, milliseconds(2), milliseconds(20), false});
            note("datagrams are lost, doubled and late");
        });
        plan(1, [this](Random&) {
            fleet_.relay().setAllLinks({0, 0, milliseconds(0), milliseconds(0), true});
            note("no datagram arrives");
        });
    }
    if (kinds.discovery) plan(2, [this](Random& random) { stopDiscovery(random); });
    if (kinds.signals) planSignals();
    if (kinds.clocks) plan(4, [this](Random& random) { stepClock(random); });
    if (kinds.storage) {
        plan(3, [this](Random& random) { failStorage(random); });
        plan(2, [this](Random& random) { drainByHand(random); });
    }
    if (kinds.crowd) plan(2, [this](Random& random) { crowd(random); });
}

void FaultSchedule::planSignals() {
    plan(2, [this](Random& random) { terminate(random); });
    plan(1, [this](Random& random) {
        Front& front = anyFront(random);
        note(fmt::format("SIGKILL to front {}", front.index));
        fleet_.kill(front);
    });
    plan(2, [this](Random& random) { signalReady(random, SIGHUP); });
    plan(4, [this](Random& random) { signalReady(random, SIGUSR1); });
    plan(1, [this](Random& random) { holdUp(anyFront(random)); });
    plan(1, [this](Random& random) { holdUpInSeries(random); });
}

// Each fault has a time and a seed of its own, both drawn now.
void FaultSchedule::plan(int count, const Inject& inject) {
    const auto whole = std::chrono::duration_cast<milliseconds>(end_ - Clock::now());
    const std::int64_t spread = (whole - kQuietStart - kQuietEnd).count();
    for (int i = 0; i < count; ++i) {
        milliseconds at = kQuietStart + milliseconds(random_() % std::uint64_t(spread));
        if (plan_.play > 0) at += milliseconds(std::int64_t(moves_() % (2 * kMostMoveMs + 1)) - kMostMoveMs);
        later(at, [inject, seed = random_()] {
            Random random(seed);
            inject(random);
        });
    }
}

void FaultSchedule::later(milliseconds delay, std::function<void()> what) {
    const Fault fault{Clock::now() + delay, std::move(what)};
    faults_.insert(std::upper_bound(faults_.begin(), faults_.end(), fault,
                                    [](const Fault& a, const Fault& b) { return a.at < b.at; }),
                   fault);
}

void FaultSchedule::note(const std::string& what) {
    injected_.push_back(fmt::format("{:.3f} s: {}", fleet_.observations().secondsAt(Clock::now()), what));
}

void FaultSchedule::replaceNode(Random& random) {
    constexpr milliseconds kListedWhileDraining{1'500};
    Node& old = anyNode(random);
    note(old.server.observed().id + " drains, a new node takes its place");
    fleet_.replaceNode(old);
    later(kListedWhileDraining, [this, &old] { fleet_.unlist(old); });
}

void FaultSchedule::crashNode(Random& random) {
    constexpr int kMostListedLateMs = 400;
    Node& node = anyNode(random);
    note(node.server.observed().id + " dies and starts anew");
    fleet_.crashNode(node);
    later(milliseconds(std::int64_t(random() % kMostListedLateMs)), [this] { fleet_.tellList(); });
}

void FaultSchedule::misbehave(Random& random) {
    using Behaviour = StandInNode::Behaviour;
    constexpr std::array kBad{Behaviour::Hang, Behaviour::Decline, Behaviour::Fail,
                              Behaviour::ResetUnderRequests};
    constexpr std::array kNames{"hangs", "declines", "fails", "resets connections under requests"};
    constexpr milliseconds kDuration{800};
    Node& node = anyNode(random);
    const std::size_t kind = random() % kBad.size();
    note(fmt::format("{} {}", node.server.observed().id, kNames[kind]));
    fleet_.setBehaviour(node, kBad[kind]);
    later(kDuration, [this, &node] { fleet_.setBehaviour(node, Behaviour::Serve); });
}

void FaultSchedule::disturbLink(Random& random) {
    constexpr milliseconds kDuration{600};
    constexpr milliseconds kDelay{20};
    Node& node = anyNode(random);
    node.server.observed().heldBackUntil = Clock::now() + kDuration + kObserverSlack;
    const bool isSilent = random() % 2 == 0;
    note(fmt::format("the way to {} is {}", node.server.observed().id, isSilent ? "silent" : "slow"));
    if (isSilent)
        fleet_.setSilent(node, true);
    else
        node.proxy.setDelay(kDelay);
    later(kDuration, [this, &node] {
        fleet_.setSilent(node, false);
        node.proxy.setDelay(milliseconds(0));
    });
}

void FaultSchedule::resetLink(Random& random) {
    Node& node = anyNode(random);
    note("connections to " + node.server.observed().id + " are reset");
    node.proxy.resetAll();
    node.reference.restart(Clock::now());
}

void FaultSchedule::stopDiscovery(Random& random) {
    constexpr milliseconds kDuration{900};
    Front& front = anyFront(random);
    note(fmt::format("discovery of front {} is down", front.index));
    front.discovery.setDown(true);
    later(kDuration, [&front] { front.discovery.setDown(false); });
}

// The process may be held up when SIGTERM comes, and once more in one of its last phases.
void FaultSchedule::terminate(Random& random) {
    constexpr int kEndsWithinMs = 600;  // before the kill; the last phases lie within
    Front& front = anyFront(random);
    const bool twice = random() % 2 == 0;
    const bool isHeldUpAtOnce = random() % 2 == 0;
    const bool isHeldUpAtEnd = random() % 2 == 0;
    const milliseconds beforeKill(random() % kEndsWithinMs);
    if (!front.serves() || front.state.terminating) return;
    note(fmt::format("SIGTERM{} to front {}", twice ? ", twice," : "", front.index));
    if (isHeldUpAtOnce) holdUp(front);
    fleet_.terminate(front, twice);
    if (!isHeldUpAtEnd || !front.killAt) return;
    const auto untilKill = std::chrono::duration_cast<milliseconds>(*front.killAt - Clock::now());
    later(untilKill - beforeKill, [this, &front] { holdUp(front); });
}

void FaultSchedule::signalReady(Random& random, int number) {
    Front& front = anyFront(random);
    if (front.serves()) front.process->signal(number);
    note(fmt::format("signal {} to front {}", number, front.index));
}

void FaultSchedule::holdUp(Front& front) {
    if (!front.serves()) return;
    note(fmt::format("front {} is held up", front.index));
    front.process->signal(SIGSTOP);
    front.heldUpUntil = Clock::now() + kHoldUp;
    later(kHoldUp, [this, &front] {
        front.heldUpUntil = Clock::now();
        if (front.process) front.process->signal(SIGCONT);
        note(fmt::format("front {} goes on", front.index));
    });
}

void FaultSchedule::holdUpInSeries(Random& random) {
    Front& front = anyFront(random);
    for (int i = 0; i < kHoldUpsInSeries; ++i)
        later(i * (kHoldUp + kBetweenHoldUps), [this, &front] { holdUp(front); });
}

void FaultSchedule::stepClock(Random& random) {
    constexpr std::array<std::int64_t, 6> kSteps{500'000,    -500'000,      5'000'000,
                                                 -5'000'000, 3'600'000'000, -3'600'000'000};
    Front& front = anyFront(random);
    front.faults->wallClockOffsetUs = kSteps[random() % kSteps.size()];
    note(fmt::format("the wall clock of front {} steps to {} us off", front.index,
                     front.faults->wallClockOffsetUs.load()));
}

void FaultSchedule::failStorage(Random& random) {
    constexpr std::array kFaults{StorageFault::NoSpace, StorageFault::IoError, StorageFault::HalfWrite};
    constexpr milliseconds kDuration{700};
    Front& front = anyFront(random);
    note(fmt::format("files of front {} cannot be written", front.index));
    front.faults->storage = kFaults[random() % kFaults.size()];
    later(kDuration, [&front] { front.faults->storage = StorageFault::None; });
}

// An operator's order is kept in a file.
void FaultSchedule::drainByHand(Random& random) {
    constexpr milliseconds kDuration{700};
    Front& front = anyFront(random);
    Node& node = anyNode(random);
    const std::string id = node.server.observed().id;
    note(fmt::format("an operator drains {} at front {}", id, front.index));
    order(front, "detach", id);
    later(kDuration, [this, &front, id] { order(front, "attach", id); });
}

void FaultSchedule::order(Front& front, const std::string& what, const std::string& node) {
    if (!front.serves()) return;
    tcp::socket socket(fleet_.io());
    boost::system::error_code refused;
    socket.connect(net::tcpEndpoint(front.process->mgmt), refused);
    if (refused) return;
    test::startConnection(std::move(socket))
        ->send(fmt::format("POST /_chunk-servers/{} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}", what,
                           node.size(), node));
}

void FaultSchedule::crowd(Random& random) {
    constexpr milliseconds kDuration{1'200};
    Front& front = anyFront(random);
    if (!front.serves() || front.state.terminating) return;
    note(fmt::format("{} idle clients come to front {}", kCrowdClients, front.index));
    for (std::size_t i = 0; i < kCrowdClients; ++i)
        front.crowd.push_back(test::connectTo(fleet_.io(), front.listening.local_endpoint()));
    front.state.crowded = true;
    later(kDuration, [this, &front] {
        front.crowd.clear();
        later(kCrowdDispersal, [&front] { front.state.crowded = false; });
    });
}

}  // namespace wingproxy::soak
