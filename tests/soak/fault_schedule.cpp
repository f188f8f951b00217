#include "soak/fault_schedule.h"

namespace wingproxy::soak {
namespace {

constexpr std::uint64_t kFaultSeedOffset =
    4'000'037;  // keeps these draws independent of the others of a seed
constexpr milliseconds kFaultFreeStart{500};
constexpr milliseconds kFaultFreeEnd{500};
constexpr int kMaxPlayOffsetMs = 8;  // WINGPROXY_SOAK_PLAY moves each fault by -8 to 8 ms
constexpr std::size_t kFloodClients = 160;
constexpr milliseconds kFloodRecovery{300};  // until the front has seen all of them close
constexpr milliseconds kPause{130};          // processes must tolerate 0.15 s, signal delivery included
constexpr int kRepeatedPauses = 3;
constexpr milliseconds kTimeBetweenPauses{200};

}  // namespace

FaultSchedule::FaultSchedule(const SoakPlan& plan, Fleet& fleet, Clock::time_point end)
    : plan_(plan), fleet_(fleet), end_(end), random_(plan.seed + kFaultSeedOffset), playOffsets_(plan.play) {
    scheduleAll();
}

void FaultSchedule::runDue() {
    while (!faults_.empty() && faults_.front().at <= Clock::now()) {
        const auto inject = faults_.front().inject;
        faults_.erase(faults_.begin());
        inject();
    }
}

void FaultSchedule::scheduleAll() {
    const FaultKinds& kinds = plan_.kinds;
    if (kinds.nodes) {
        scheduleRandomly(2, [this](Random& random) { replaceNode(random); });
        scheduleRandomly(2, [this](Random& random) { crashNode(random); });
        scheduleRandomly(3, [this](Random& random) { misbehave(random); });
    }
    if (kinds.links) {
        scheduleRandomly(2, [this](Random& random) { disturbLink(random); });
        scheduleRandomly(2, [this](Random& random) { resetLink(random); });
        scheduleRandomly(1, [this](Random&) {
            fleet_.relay().setAllLinks({40, 10, milliseconds(2), milliseconds(20), false});
            record("datagrams are lost, duplicated and delayed");
        });
        scheduleRandomly(1, [this](Random&) {
            fleet_.relay().setAllLinks({0, 0, milliseconds(0), milliseconds(0), true});
            record("all datagrams are lost");
        });
    }
    if (kinds.discovery) scheduleRandomly(2, [this](Random& random) { stopDiscovery(random); });
    if (kinds.signals) scheduleSignals();
    if (kinds.clocks) scheduleRandomly(4, [this](Random& random) { stepClock(random); });
    if (kinds.storage) {
        scheduleRandomly(3, [this](Random& random) { failStorage(random); });
        scheduleRandomly(2, [this](Random& random) { drainAdministratively(random); });
    }
    if (kinds.flood) scheduleRandomly(2, [this](Random& random) { flood(random); });
}

void FaultSchedule::scheduleSignals() {
    scheduleRandomly(2, [this](Random& random) { terminate(random); });
    scheduleRandomly(1, [this](Random& random) {
        Front& front = anyFront(random);
        record(fmt::format("SIGKILL to front {}", front.index));
        fleet_.kill(front);
    });
    scheduleRandomly(2, [this](Random& random) { signalIfServing(random, SIGHUP); });
    scheduleRandomly(4, [this](Random& random) { signalIfServing(random, SIGUSR1); });
    scheduleRandomly(1, [this](Random& random) { pauseProcess(anyFront(random)); });
    scheduleRandomly(1, [this](Random& random) { pauseProcessRepeatedly(random); });
}

// Draws the time and the seed of each fault now, so that neither depends on what the faults before it did.
void FaultSchedule::scheduleRandomly(int count, const Inject& inject) {
    const auto whole = std::chrono::duration_cast<milliseconds>(end_ - Clock::now());
    const std::int64_t spread = (whole - kFaultFreeStart - kFaultFreeEnd).count();
    for (int i = 0; i < count; ++i) {
        milliseconds at = kFaultFreeStart + milliseconds(random_() % std::uint64_t(spread));
        if (plan_.play > 0)
            at += milliseconds(std::int64_t(playOffsets_() % (2 * kMaxPlayOffsetMs + 1)) - kMaxPlayOffsetMs);
        runAfter(at, [inject, seed = random_()] {
            Random random(seed);
            inject(random);
        });
    }
}

void FaultSchedule::runAfter(milliseconds delay, std::function<void()> what) {
    const Fault fault{Clock::now() + delay, std::move(what)};
    faults_.insert(std::upper_bound(faults_.begin(), faults_.end(), fault,
                                    [](const Fault& a, const Fault& b) { return a.at < b.at; }),
                   fault);
}

void FaultSchedule::record(const std::string& what) {
    injected_.push_back(fmt::format("{:.3f} s: {}", fleet_.observations().secondsAt(Clock::now()), what));
}

void FaultSchedule::replaceNode(Random& random) {
    constexpr milliseconds kListedWhileDraining{1'500};
    Node& old = anyNode(random);
    record(old.server.observed().id + " drains and a new node replaces it");
    fleet_.replaceNode(old);
    runAfter(kListedWhileDraining, [this, &old] { fleet_.unlist(old); });
}

void FaultSchedule::crashNode(Random& random) {
    constexpr int kMaxListDelayMs = 400;
    Node& node = anyNode(random);
    record(node.server.observed().id + " crashes and restarts");
    fleet_.crashNode(node);
    runAfter(milliseconds(std::int64_t(random() % kMaxListDelayMs)),
             [this] { fleet_.publishEndpointList(); });
}

void FaultSchedule::misbehave(Random& random) {
    using Behaviour = FakeNode::Behaviour;
    constexpr std::array kMisbehaviours{Behaviour::Hang, Behaviour::Decline, Behaviour::Fail,
                                        Behaviour::ResetUnderRequests};
    constexpr std::array kNames{"hangs", "declines", "fails", "resets connections with open requests"};
    constexpr milliseconds kDuration{800};
    Node& node = anyNode(random);
    const std::size_t kind = random() % kMisbehaviours.size();
    record(fmt::format("{} {}", node.server.observed().id, kNames[kind]));
    fleet_.setBehaviour(node, kMisbehaviours[kind]);
    runAfter(kDuration, [this, &node] { fleet_.setBehaviour(node, Behaviour::Serve); });
}

void FaultSchedule::disturbLink(Random& random) {
    constexpr milliseconds kDuration{600};
    constexpr milliseconds kDelay{20};
    Node& node = anyNode(random);
    node.server.observed().linkDisturbedUntil = Clock::now() + kDuration + kObserverSlack;
    const bool isSilent = random() % 2 == 0;
    record(fmt::format("the link to {} is {}", node.server.observed().id, isSilent ? "silent" : "slow"));
    if (isSilent)
        fleet_.setSilent(node, true);
    else
        node.proxy.setDelay(kDelay);
    runAfter(kDuration, [this, &node] {
        fleet_.setSilent(node, false);
        node.proxy.setDelay(milliseconds(0));
    });
}

void FaultSchedule::resetLink(Random& random) {
    Node& node = anyNode(random);
    record("connections to " + node.server.observed().id + " are reset");
    node.proxy.resetAll();
    node.reference.restart(Clock::now());
}

void FaultSchedule::stopDiscovery(Random& random) {
    constexpr milliseconds kDuration{900};
    Front& front = anyFront(random);
    record(fmt::format("discovery of front {} is down", front.index));
    front.discovery.setDown(true);
    runAfter(kDuration, [&front] { front.discovery.setDown(false); });
}

// The process may be paused when it gets SIGTERM, and again in one of its last phases.
void FaultSchedule::terminate(Random& random) {
    constexpr int kMaxPauseBeforeKillMs = 600;  // the last phases of a shutdown lie within this time
    Front& front = anyFront(random);
    const bool twice = random() % 2 == 0;
    const bool pausesAtOnce = random() % 2 == 0;
    const bool pausesNearEnd = random() % 2 == 0;
    const milliseconds beforeKill(random() % kMaxPauseBeforeKillMs);
    if (!front.serves() || front.state.terminating) return;
    record(fmt::format("SIGTERM{} to front {}", twice ? ", twice," : "", front.index));
    if (pausesAtOnce) pauseProcess(front);
    fleet_.terminate(front, twice);
    if (!pausesNearEnd || !front.killAt) return;
    const auto untilKill = std::chrono::duration_cast<milliseconds>(*front.killAt - Clock::now());
    runAfter(untilKill - beforeKill, [this, &front] { pauseProcess(front); });
}

void FaultSchedule::signalIfServing(Random& random, int number) {
    Front& front = anyFront(random);
    if (front.serves()) front.process->signal(number);
    record(fmt::format("signal {} to front {}", number, front.index));
}

void FaultSchedule::pauseProcess(Front& front) {
    if (!front.serves()) return;
    record(fmt::format("front {} is paused", front.index));
    front.process->signal(SIGSTOP);
    front.pausedUntil = Clock::now() + kPause;
    runAfter(kPause, [this, &front] {
        front.pausedUntil = Clock::now();
        if (front.process) front.process->signal(SIGCONT);
        record(fmt::format("front {} resumes", front.index));
    });
}

void FaultSchedule::pauseProcessRepeatedly(Random& random) {
    Front& front = anyFront(random);
    for (int i = 0; i < kRepeatedPauses; ++i)
        runAfter(i * (kPause + kTimeBetweenPauses), [this, &front] { pauseProcess(front); });
}

void FaultSchedule::stepClock(Random& random) {
    constexpr std::array<std::int64_t, 6> kSteps{500'000,    -500'000,      5'000'000,
                                                 -5'000'000, 3'600'000'000, -3'600'000'000};
    Front& front = anyFront(random);
    front.faults->wallClockOffsetUs = kSteps[random() % kSteps.size()];
    record(fmt::format("the wall clock of front {} steps to an offset of {} us", front.index,
                       front.faults->wallClockOffsetUs.load()));
}

void FaultSchedule::failStorage(Random& random) {
    constexpr std::array kFaults{StorageFault::NoSpace, StorageFault::IoError, StorageFault::HalfWrite};
    constexpr milliseconds kDuration{700};
    Front& front = anyFront(random);
    record(fmt::format("writes to files of front {} fail", front.index));
    front.faults->storage = kFaults[random() % kFaults.size()];
    runAfter(kDuration, [&front] { front.faults->storage = StorageFault::None; });
}

// The front keeps an operator's order in a file, whose writes may fail.
void FaultSchedule::drainAdministratively(Random& random) {
    constexpr milliseconds kDuration{700};
    Front& front = anyFront(random);
    Node& node = anyNode(random);
    const std::string id = node.server.observed().id;
    record(fmt::format("an operator drains {} at front {}", id, front.index));
    sendAdminCommand(front, "detach", id);
    runAfter(kDuration, [this, &front, id] { sendAdminCommand(front, "attach", id); });
}

void FaultSchedule::sendAdminCommand(Front& front, const std::string& what, const std::string& node) {
    if (!front.serves()) return;
    tcp::socket socket(fleet_.io());
    boost::system::error_code refused;
    socket.connect(net::tcpEndpoint(front.process->mgmt), refused);
    if (refused) return;
    test::startConnection(std::move(socket))
        ->send(fmt::format("POST /_chunk-servers/{} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}", what,
                           node.size(), node));
}

void FaultSchedule::flood(Random& random) {
    constexpr milliseconds kDuration{1'200};
    Front& front = anyFront(random);
    if (!front.serves() || front.state.terminating) return;
    record(fmt::format("{} idle clients connect to front {}", kFloodClients, front.index));
    for (std::size_t i = 0; i < kFloodClients; ++i)
        front.flood.push_back(test::connectTo(fleet_.io(), front.listener.local_endpoint()));
    front.state.descriptorsExhausted = true;
    runAfter(kDuration, [this, &front] {
        front.flood.clear();
        runAfter(kFloodRecovery, [&front] { front.state.descriptorsExhausted = false; });
    });
}

}  // namespace wingproxy::soak
