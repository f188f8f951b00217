#include "golden/wire_simulation.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "base64.h"

namespace wingproxy::test {
namespace {

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kStart = 1'000 * kSecond;
constexpr int kCells = 3;
constexpr int kQueueLimit = 8;
constexpr int kSlowStartQueueLimit = 1;
constexpr Micros kNetworkDelay = 1 * kMillisecond;
constexpr Micros kDrainGrace = 1'500 * kMillisecond;
constexpr Micros kSlowStartDuration = 10 * kSecond;
constexpr Micros kScriptLength = 40 * kSecond;

struct RequestClass {
    std::string name;
    std::string settings;  // key=value, without the index
    Micros lifetime;
    Micros latencyObjective;  // 0: none
};

const std::vector<RequestClass>& requestClasses() {
    static const std::vector<RequestClass> classes{
        {"read", "deadlineUs=1500000 effect=idempotent keyScope=all value=2 lateWorth=0.1",
         1'500 * kMillisecond, 300 * kMillisecond},
        {"write", "deadlineUs=3000000 windowUs=1000000 effect=deduplicated keyScope=cell value=3",
         3 * kSecond, 400 * kMillisecond},
        {"append", "deadlineUs=2000000 effect=at_most_once keyScope=all value=2.5", 2 * kSecond,
         500 * kMillisecond},
        {"ordered", "deadlineUs=2500000 effect=idempotent keyScope=all value=1.5 fifoByKey=true",
         2'500 * kMillisecond, 600 * kMillisecond},
        {"zoned", "deadlineUs=2500000 windowUs=800000 effect=deduplicated keyScope=zone value=1",
         2'500 * kMillisecond, 400 * kMillisecond},
        {"global", "deadlineUs=2500000 windowUs=600000 effect=deduplicated keyScope=all value=4",
         2'500 * kMillisecond, 400 * kMillisecond},
        {"bulk", "deadlineUs=6000000 effect=idempotent keyScope=all value=0.3 stream=true", 6 * kSecond,
         0 * kMillisecond},
        {"ordered_write",
         "deadlineUs=2500000 windowUs=900000 effect=deduplicated keyScope=cell value=2 "
         "fifoByKey=true",
         2'500 * kMillisecond, 500 * kMillisecond}};
    return classes;
}

struct Plan {
    std::string name;
    std::string settings;
};

const std::vector<Plan>& plans() {
    static const std::vector<Plan> all{
        {"basic", "baseRate=3.3 guaranteed=2 shares=1 valueFactor=1"},
        {"limited", "baseRate=4 guaranteed=3 shares=1 valueFactor=1.2 limit=40 limitBurst=60 limitSlack=8"},
        {"gold", "baseRate=20 guaranteed=10 shares=4 valueFactor=3"},
        {"tight", "baseRate=2 guaranteed=0 shares=0.5 valueFactor=0.5 limit=12 limitBurst=24 limitSlack=4"}};
    return all;
}

std::string withPrefix(const std::string& prefix, const std::string& settings) {
    std::istringstream words(settings);
    std::string out;
    for (std::string word; words >> word;)
        out.append(" ").append(prefix).append(word);
    return out;
}

std::string field(const std::string& key, std::int64_t value) {
    return " " + key + "=" + std::to_string(value);
}
std::string field(const std::string& key, const std::string& value) { return " " + key + "=" + value; }

/// Whether a peer message from `sender` goes to `host`.
/// \param target the recipient as in the message: a host's number, or "*" for all but the sender
bool isReceiver(int host, int sender, const std::string& target) {
    if (host == sender) return false;
    return target == "*" || std::stoi(target) == host;
}

}  // namespace

ReplyLine::ReplyLine(std::string_view text) {
    std::istringstream words{std::string(text)};
    words >> name;
    for (std::string word; words >> word;) {
        const auto equals = word.find('=');
        if (equals != std::string::npos) fields[word.substr(0, equals)] = word.substr(equals + 1);
    }
}

WireSimulation::WireSimulation(const SimulationSettings& settings)
    : settings_(settings), random_(settings.seed), now_(kStart), end_(kStart + settings.duration) {
    hosts_.resize(static_cast<std::size_t>(settings.hosts));
    const int cellOf[] = {0, 0, 0, 1, 1, 1, 2, 2};
    for (int i = 0; i < 8; ++i) {
        Node node;
        node.id = "10.0.0." + std::to_string(i) + ":8001";
        node.zone = i % 2 == 0 ? "hall" : "annex";
        node.cell = cellOf[i];
        node.workerFreeAt.assign(static_cast<std::size_t>(settings.workers), 0);
        nodes_.push_back(node);
    }
    for (int host = 0; host < settings.hosts; ++host)
        at(kStart + static_cast<Micros>(host) * 7 * kMillisecond, [this, host] { startHost(host); });
    for (Micros from = kStart; from < end_; from += kScriptLength)
        scheduleNodeScript(from);
    schedulePartition(kStart);
    at(kStart + 200 * kMillisecond, [this] { scheduleArrival(); });
}

void WireSimulation::run(const std::function<void(const std::string&)>& onBatch) {
    while (!scheduler_.empty() && scheduler_.nextTime() < end_) {
        now_ = scheduler_.nextTime();
        batch_.clear();
        scheduler_.runNext();
        if (batch_.empty()) continue;
        ++batches_;
        std::istringstream input("BEGIN_BATCH tsUs=" + std::to_string(now_) +
                                 " batch=" + std::to_string(batches_) + "\n" + batch_ + "OVER_TO_YOU\n");
        std::string reply;
        simulatedHosts_.serveBatch(input, reply);
        onBatch(reply);
        std::istringstream lines(reply);
        for (std::string line; std::getline(lines, line);)
            perform(ReplyLine(line));
    }
}

// Rounds times up to whole milliseconds, so that several events share a batch.
void WireSimulation::at(Micros time, std::function<void()> step) {
    const Micros rounded = (time + kMillisecond - 1) / kMillisecond * kMillisecond;
    scheduler_.add(std::max(rounded, now_ + (batches_ > 0 ? kMillisecond : 0)), std::move(step));
}

void WireSimulation::addLine(const std::string& line) {
    batch_ += line + "\n";
    ++inputLines_;
    ++inputKinds_[line.substr(0, line.find(' '))];
}

void WireSimulation::addMessage(int host, const std::string& name, const std::string& fields) {
    if (hosts_[static_cast<std::size_t>(host)].up) addLine(name + " who=" + hostName(host) + fields);
}

// ---- hosts

std::string WireSimulation::settingsOf(int host) const {
    std::string text = field("me", host) + field("replicasOfMe", settings_.hosts);
    text += field("rngSeed", 100 + host + 10 * hosts_[static_cast<std::size_t>(host)].startCount);
    text += field("zone", host % 2 == 0 ? "hall" : "annex");
    const auto& classes = requestClasses();
    text += field("classes.count", static_cast<std::int64_t>(classes.size()));
    for (std::size_t i = 0; i < classes.size(); ++i) {
        const std::string prefix = "classes." + std::to_string(i) + ".";
        text += field(prefix + "name", classes[i].name) + withPrefix(prefix, classes[i].settings);
        if (settings_.classesHaveObjectives) text += field(prefix + "aimUs", classes[i].latencyObjective);
    }
    text += field("extra.changesData", "false,true,true,false,true,true,false,true");
    text += field("serviceLevels.count", static_cast<std::int64_t>(plans().size()));
    for (std::size_t i = 0; i < plans().size(); ++i) {
        const std::string prefix = "serviceLevels." + std::to_string(i) + ".";
        text += field(prefix + "name", plans()[i].name) + withPrefix(prefix, plans()[i].settings);
    }
    text += " report.columns=cpu,disk report.how=answer allowed.tryLimit=3 allowed.secondCopies=false";
    text += field("registryMode", settings_.pollsEndpointList ? "on_request" : "push");
    text += field("allowed.mayProbe", settings_.mayCheckHealth ? "true" : "false");
    text += field("allowed.cancel", settings_.mayCancel ? "true" : "false");
    text += field("allowed.peers", settings_.hosts > 1 ? "true" : "false");
    text += " allowed.retryAfter=true allowed.maxRetryAfterUs=800000";
    text += " obligations.answerSlackUs=8000 obligations.askEveryUs=3000000 obligations.keyRestUs=300000";
    text += field("obligations.drainGraceUs", kDrainGrace);
    if (settings_.hasRetryBudget)
        text += " obligations.resendRatio=0.1 obligations.extraFree=3 obligations.resendSpanUs=2000000";
    text += " obligations.startCapacity=0.25 obligations.fallMultiple=2 obligations.fallUs=2000000";
    text += field("obligations.warmAfterUs", kSlowStartDuration);
    text += " extra.coldBears=12 extra.meanUnits=2 extra.maxUnits=6 extra.withinShare=0.3";
    text += " extra.spareWorth=0.1 extra.meterUs=1000000 roundUs=1000";
    return text + field("extra.shards", kCells);
}

void WireSimulation::startHost(int host) {
    Host& state = hosts_[static_cast<std::size_t>(host)];
    state.up = true;
    ++state.startCount;
    addLine("UP who=" + hostName(host) + settingsOf(host));
    if (!settings_.pollsEndpointList)
        sendWholeList(host, host % 2 == 0 ? "warm_copy" : "total");
    else if (state.startCount > 1)
        sendWholeList(host, "warm_copy");
}

void WireSimulation::stopHost(int host) {
    hosts_[static_cast<std::size_t>(host)].up = false;
    addLine("POWER_OFF who=" + hostName(host));
}

// ---- nodes and their list

void WireSimulation::changeNodeAt(Micros time, int index, std::function<void(Node&)> change) {
    const auto& id = nodes_[static_cast<std::size_t>(index)].id;
    at(time, [this, id, change = std::move(change)] { change(node(id)); });
}

void WireSimulation::drainNodeAt(Micros time, int index) {
    const auto& id = nodes_[static_cast<std::size_t>(index)].id;
    at(time, [this, id] { changeNode(id, "Terminating"); });
    at(time + kDrainGrace, [this, id] { changeNode(id, "Gone"); });
}

void WireSimulation::restartNodeAt(Micros time, int index) {
    const auto& id = nodes_[static_cast<std::size_t>(index)].id;
    at(time, [this, id] { restartNode(id); });
}

// Schedules each kind of fault that the policy must detect.
void WireSimulation::scheduleNodeScript(Micros from) {
    scheduleNodeFaults(from);
    scheduleNodeRestarts(from);
    scheduleHostRestarts(from);
}

void WireSimulation::scheduleNodeFaults(Micros from) {
    drainNodeAt(from + 5 * kSecond, 3);  // a node of a cell with two others
    restartNodeAt(from + 8 * kSecond, 3);
    changeNodeAt(from + 9 * kSecond, 1, [](Node& slow) { slow.slowdownPercent = 700; });
    changeNodeAt(from + 12 * kSecond, 1, [](Node& slow) { slow.slowdownPercent = 100; });
    changeNodeAt(from + 13 * kSecond, 4, [](Node& failing) { failing.errorPercent = 100; });
    changeNodeAt(from + 15 * kSecond, 4, [](Node& failing) { failing.errorPercent = 0; });
    changeNodeAt(from + 15 * kSecond, 2, [](Node& lost) { lost.unreachable = true; });
    changeNodeAt(from + 17 * kSecond, 2, [](Node& lost) { lost.unreachable = false; });
    changeNodeAt(from + 17'500 * kMillisecond, 0,
                 [this](Node& paused) { paused.pausedUntil = now_ + 1'200 * kMillisecond; });
    changeNodeAt(from + 19 * kSecond, 6, [](Node& lossy) { lossy.lossPercent = 15; });
    changeNodeAt(from + 21 * kSecond, 6, [](Node& lossy) { lossy.lossPercent = 0; });
    changeNodeAt(from + 10 * kSecond, 5, [](Node& full) { full.fullPercent = 60; });
    changeNodeAt(from + 12 * kSecond, 5, [](Node& full) { full.fullPercent = 0; });
    // All nodes of a cell fail for a while.
    for (const int index : {6, 7}) {
        changeNodeAt(from + 2 * kSecond, index, [](Node& failing) { failing.errorPercent = 100; });
        changeNodeAt(from + 3 * kSecond, index, [](Node& failing) { failing.errorPercent = 0; });
    }
}

void WireSimulation::scheduleNodeRestarts(Micros from) {
    // A cell without a ready node: both nodes drain, and their successors are listed later.
    drainNodeAt(from + 22 * kSecond, 6);
    drainNodeAt(from + 22'200 * kMillisecond, 7);
    restartNodeAt(from + 25 * kSecond, 7);
    restartNodeAt(from + 27 * kSecond, 6);
    // Two nodes in slow start at once.
    drainNodeAt(from + 29 * kSecond, 4);
    drainNodeAt(from + 29 * kSecond, 5);
    restartNodeAt(from + 31 * kSecond, 4);
    restartNodeAt(from + 31'500 * kMillisecond, 5);
}

void WireSimulation::scheduleHostRestarts(Micros from) {
    // A host that stops and starts again, and one that starts again without a stop.
    if (settings_.hosts > 2) {
        at(from + 20 * kSecond, [this] { stopHost(2); });
        at(from + 20'700 * kMillisecond, [this] { startHost(2); });
        at(from + 33 * kSecond, [this] { startHost(1); });
        at(from + 26 * kSecond, [this] { sendWholeList(0, "total"); });
    }
    at(from + 14 * kSecond, [this] {
        for (int host = 0; host < settings_.hosts; ++host)
            addMessage(host, "REGISTRY", field("how", "lost") + field("serial", listVersion_));
    });
}

// The network loses all messages for ten seconds, so that leases and gossiped state expire.
void WireSimulation::schedulePartition(Micros from) {
    at(from + 34 * kSecond, [this] { partitioned_ = true; });
    at(from + 44 * kSecond, [this] { partitioned_ = false; });
}

WireSimulation::Node& WireSimulation::node(const std::string& id) {
    const auto it = std::find_if(nodes_.begin(), nodes_.end(), [&](const Node& n) { return n.id == id; });
    if (it == nodes_.end()) throw std::out_of_range("no node " + id);
    return *it;
}

void WireSimulation::changeNode(const std::string& id, const std::string& readiness) {
    Node& changed = node(id);
    changed.readiness = readiness;
    if (readiness == "Terminating") changed.drainsUntil = now_ + kDrainGrace;
    announceChange({id});
}

void WireSimulation::restartNode(const std::string& id) {
    Node& fresh = node(id);
    fresh.startedAt = now_;
    fresh.workerFreeAt.assign(static_cast<std::size_t>(settings_.workers), now_);
    changeNode(id, "Ready");
}

int WireSimulation::addEndpointList(const std::vector<const Node*>& nodes) {
    lastListId_ = (lastListId_ + 1) % 16;
    addLine("ROSTER" + field("setId", lastListId_) +
            field("rowsIn", static_cast<std::int64_t>(nodes.size())));
    for (const Node* n : nodes)
        addLine("ENTRY" + field("cohort", n->cell) + " rating=1" + field("readiness", n->readiness) +
                field("area", n->zone) + field("launchedUs", n->startedAt) + field("shelf", n->id));
    return lastListId_;
}

void WireSimulation::announceChange(const std::vector<std::string>& changed) {
    ++listVersion_;
    if (settings_.pollsEndpointList) return;
    std::vector<const Node*> entries;
    entries.reserve(changed.size());
    for (const auto& id : changed)
        entries.push_back(&node(id));
    const int list = addEndpointList(entries);
    for (int host = 0; host < settings_.hosts; ++host) {
        if (random_.chance(5)) continue;  // the host misses this change until the next full list
        addMessage(host, "REGISTRY",
                   field("how", "incr") + field("serial", listVersion_) + field("setId", list));
    }
}

void WireSimulation::sendWholeList(int host, const std::string& how) {
    std::vector<const Node*> entries;
    for (const auto& n : nodes_)
        if (n.readiness != "Gone") entries.push_back(&n);
    const int list = addEndpointList(entries);
    addMessage(host, "REGISTRY", field("how", how) + field("serial", listVersion_) + field("setId", list));
}

void WireSimulation::answerPoll(int host) {
    const int startCount = hosts_[static_cast<std::size_t>(host)].startCount;
    const bool lost = random_.chance(25);
    at(now_ + random_.between(3, 20) * kMillisecond, [this, host, startCount, lost] {
        const Host& state = hosts_[static_cast<std::size_t>(host)];
        if (!state.up || state.startCount != startCount) return;
        if (lost)
            addMessage(host, "REGISTRY", field("how", "lost") + field("serial", listVersion_));
        else
            sendWholeList(host, "total");
    });
}

// ---- clients

// Cycles of 12 s through normal load, overload and low load.
Micros WireSimulation::nextArrivalGap() {
    const Micros phase = (now_ - kStart) % (12 * kSecond);
    std::int64_t percent = 100;
    if (phase >= 4 * kSecond && phase < 6 * kSecond) percent = 30;
    if (phase >= 6 * kSecond && phase < 7 * kSecond) percent = 300;
    if (phase >= 10 * kSecond && phase < 11 * kSecond) percent = 45;
    return std::max<Micros>(200, settings_.arrivalGap * percent / 100 * random_.between(1, 200) / 100);
}

void WireSimulation::scheduleArrival() {
    submitNewRequest();
    Micros gap = nextArrivalGap();
    while (gap < kMillisecond) {
        submitNewRequest();
        gap += nextArrivalGap();
    }
    at(now_ + gap, [this] { scheduleArrival(); });
}

void WireSimulation::submitNewRequest() {
    const auto& classes = requestClasses();
    const auto& drawn =
        classes[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(classes.size())))];
    const auto plan = static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(plans().size())));
    // Half of the requests are for one busy volume of their plan, most of them through one host that changes
    // with time.
    const bool busy = random_.chance(50);
    const std::int64_t volume = busy ? 0 : random_.between(1, settings_.quietVolumes);
    const std::int64_t busyHost = (now_ - kStart) / (3 * kSecond) % settings_.hosts;
    const int host = static_cast<int>(busy && random_.chance(70) ? busyHost : random_.below(settings_.hosts));
    const std::int64_t volumeHosts = volume % 4 != 3 ? settings_.hosts : 1;
    const bool ordered = drawn.name.starts_with("ordered");
    Request request;
    request.host = host;
    request.qos = random_.chance(1) ? "unknown" : drawn.name;
    request.units = random_.between(1, 6);
    request.deadline = now_ + (random_.chance(4) ? 15 * kMillisecond : drawn.lifetime);
    const std::uint64_t id = ++lastRequest_;
    std::string line =
        field("qos", request.qos) + field("grade", random_.chance(1) ? "unknown" : plans()[plan].name);
    line += field("disk", plans()[plan].name + std::to_string(volume));
    line += field("sizeUnits", request.units) + field("setSize", volumeHosts);
    line += field("liesIn", random_.chance(settings_.newObjectPercent) ? -1 : random_.below(kCells));
    if (!random_.chance(3)) {
        const std::int64_t key = ordered ? random_.below(12) : static_cast<std::int64_t>(id);
        line += field("item", drawn.name + std::to_string(key));
    }
    submit(host, id, line, request);
}

void WireSimulation::submit(int host, std::uint64_t id, const std::string& line, Request request) {
    const Host& state = hosts_[static_cast<std::size_t>(host)];
    if (!state.up) return;
    request.hostStartCount = state.startCount;
    request.line = line;
    addMessage(host, "INCOMING",
               field("corr", static_cast<std::int64_t>(id)) + line + field("validUntilUs", request.deadline));
    requests_[id] = request;
    if (random_.chance(3)) scheduleCancellation(id);
}

void WireSimulation::scheduleCancellation(std::uint64_t id) {
    const std::int64_t longestWait = random_.chance(40) ? 3 : 400;
    at(now_ + random_.between(1, longestWait) * kMillisecond, [this, id] {
        Request& request = requests_.at(id);
        const Host& state = hosts_[static_cast<std::size_t>(request.host)];
        if (request.finished || !state.up || state.startCount != request.hostStartCount) return;
        request.finished = true;
        addMessage(request.host, "ABORTED", field("corr", static_cast<std::int64_t>(id)));
    });
}

void WireSimulation::onRejected(const ReplyLine& action) {
    Request& request = requests_.at(static_cast<std::uint64_t>(action.integer("corr")));
    request.finished = true;
    const Micros wait = action.fields.count("coolDownUs") ? action.integer("coolDownUs") : 100 * kMillisecond;
    const Micros again = now_ + wait + random_.between(1, 50) * kMillisecond;
    if (!random_.chance(35) || again >= request.deadline) return;
    Request next;
    next.host = static_cast<int>(random_.below(settings_.hosts));
    next.qos = request.qos;
    next.units = request.units;
    next.deadline = request.deadline;
    std::string line = request.line;
    if (line.find(" retry=1") == std::string::npos) line += " retry=1";
    at(again, [this, next, line] { submit(next.host, ++lastRequest_, line, next); });
}

// ---- actions

void WireSimulation::perform(const ReplyLine& action) {
    ++actionKinds_[action.name];
    if (action.name == "OK") return;
    if (action.name == "EXCEPTION") throw std::runtime_error("a host threw: " + action.fields.at("text"));
    const int host = std::stoi(action.fields.at("who").substr(5));
    if (action.name == "DISPATCH")
        forwardRequest(host, action);
    else if (action.name == "TURN_AWAY")
        onRejected(action);
    else if (action.name == "ERROR")
        requests_.at(static_cast<std::uint64_t>(action.integer("corr"))).finished = true;
    else if (action.name == "NOTIFY")
        passPeerMessage(host, action);
    else if (action.name == "PROBE")
        checkHealth(host, action);
    else if (action.name == "TAIL")
        answerPoll(host);
    else if (action.name == "ABORT_ATTEMPT") {
        const Attempt attempt{static_cast<std::uint64_t>(action.integer("corr")),
                              static_cast<int>(action.integer("shot")), "", 0};
        at(now_ + kMillisecond, [this, attempt] { endAttempt(attempt, "undone"); });
    } else if (action.name == "TIMER") {
        const int startCount = hosts_[static_cast<std::size_t>(host)].startCount;
        at(now_ + action.integer("offsetUs"), [this, host, startCount, label = action.integer("label")] {
            if (hosts_[static_cast<std::size_t>(host)].startCount == startCount)
                addMessage(host, "ELAPSED", field("label", label));
        });
    }
}

void WireSimulation::forwardRequest(int host, const ReplyLine& action) {
    Attempt attempt;
    attempt.request = static_cast<std::uint64_t>(action.integer("corr"));
    attempt.node = action.fields.at("shelf");
    attempt.sentAt = now_;
    Request& request = requests_.at(attempt.request);
    if (request.host != host)
        throw std::runtime_error("a host dispatched a request that another host received");
    attempt.number = request.attempts++;
    request.openAttempts.insert(attempt.number);
    at(now_ + kNetworkDelay, [this, attempt] { arriveAtNode(attempt); });
    at(request.deadline, [this, attempt] { endAttempt(attempt, "too_slow"); });
}

void WireSimulation::arriveAtNode(const Attempt& attempt) {
    const Request& request = requests_.at(attempt.request);
    Node& target = node(attempt.node);
    if (request.finished && random_.chance(50)) return endAttempt(attempt, "stale_send");
    if (target.unreachable || target.readiness == "Gone") return endAttempt(attempt, "no_route");
    if (target.readiness == "Terminating" && now_ > target.drainsUntil - kDrainGrace / 4)
        return endAttempt(attempt, "no_room");
    const int queueLimit = isInSlowStart(target) ? kSlowStartQueueLimit : kQueueLimit;
    if (target.waiting >= settings_.workers + queueLimit) return endAttempt(attempt, "no_room");
    if (random_.chance(target.fullPercent)) return endAttempt(attempt, "no_room");
    if (random_.chance(target.errorPercent)) return endAttempt(attempt, "fault");
    if (random_.chance(1)) return endAttempt(attempt, "cut");
    serve(attempt, target);
}

bool WireSimulation::isInSlowStart(const Node& node) const {
    return node.startedAt > 0 && now_ - node.startedAt < kSlowStartDuration;
}

// Each worker serves one request at a time. A node in slow start is slower.
void WireSimulation::serve(const Attempt& attempt, Node& target) {
    const Request& request = requests_.at(attempt.request);
    const std::int64_t jitter = settings_.serviceJitterPercent;
    std::int64_t percent = target.slowdownPercent;
    if (isInSlowStart(target))
        percent += 300 * (kSlowStartDuration - (now_ - target.startedAt)) / kSlowStartDuration;
    const Micros service = settings_.serviceTime * request.units * percent / 100 *
                           random_.between(100 - jitter, 100 + jitter) / 100;
    auto worker = std::min_element(target.workerFreeAt.begin(), target.workerFreeAt.end());
    const Micros begin = std::max({*worker, now_, target.pausedUntil});
    *worker = begin + service;
    ++target.waiting;
    at(*worker, [this, id = attempt.node] { --node(id).waiting; });
    if (random_.chance(1 + target.lossPercent)) return;  // its answer never arrives
    const std::string code = random_.chance(1) ? "fault" : "pass";
    if (request.qos == "bulk" || random_.chance(2))
        at(begin + service / 2, [this, attempt] { startResponse(attempt); });
    at(*worker + kNetworkDelay, [this, attempt, code] { endAttempt(attempt, code); });
}

void WireSimulation::startResponse(const Attempt& attempt) {
    const Request& request = requests_.at(attempt.request);
    const Host& state = hosts_[static_cast<std::size_t>(request.host)];
    if (state.startCount != request.hostStartCount || !request.openAttempts.contains(attempt.number)) return;
    addMessage(request.host, "HEADERS",
               field("corr", static_cast<std::int64_t>(attempt.request)) + field("shot", attempt.number) +
                   field("shelf", attempt.node) + field("waitTimeUs", now_ - attempt.sentAt));
}

void WireSimulation::endAttempt(const Attempt& attempt, const std::string& code) {
    Request& request = requests_.at(attempt.request);
    const Host& state = hosts_[static_cast<std::size_t>(request.host)];
    if (!state.up || state.startCount != request.hostStartCount) return;
    if (request.openAttempts.erase(attempt.number) == 0) return;
    ++inputKinds_["ENDED code=" + code];
    const bool closes = code == "pass" || now_ >= request.deadline || (code == "fault" && random_.chance(10));
    if (closes) request.finished = true;
    const std::int64_t loadPercent = random_.below(100);
    const std::int64_t cpu = random_.below(100);
    const std::int64_t disk = random_.below(100);
    addMessage(request.host, "ENDED",
               field("corr", static_cast<std::int64_t>(attempt.request)) + field("shot", attempt.number) +
                   field("shelf", attempt.node) + field("code", code) +
                   field("waitTimeUs", attempt.sentAt > 0 ? now_ - attempt.sentAt : 0) +
                   field("closed", closes ? 1 : 0) + field("usePct", loadPercent) +
                   " elsewhere=0 metrics=" + std::to_string(cpu) + "," + std::to_string(disk));
}

// Messages between hosts are delayed, lost, duplicated or corrupted.
void WireSimulation::passPeerMessage(int host, const ReplyLine& action) {
    const std::string target = action.fields.at("to");
    for (int to = 0; to < settings_.hosts; ++to) {
        if (!isReceiver(to, host, target)) continue;
        if (partitioned_ || random_.chance(4)) continue;
        std::string bytes;
        if (!wire::decodeBase64(action.fields.at("raw"), bytes))
            throw std::runtime_error("peer message is not valid base64");
        if (random_.chance(2) && !bytes.empty()) corrupt(bytes);
        const int copies = random_.chance(2) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
            schedulePeerMessage(host, to, bytes);
    }
}

// Truncates the message or changes one of its bytes.
void WireSimulation::corrupt(std::string& bytes) {
    const auto place = static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(bytes.size())));
    if (random_.chance(50))
        bytes.resize(place);
    else
        bytes[place] = static_cast<char>(random_.below(256));
}

void WireSimulation::schedulePeerMessage(int from, int to, const std::string& bytes) {
    const bool slow = random_.chance(5);
    const Micros delay = random_.between(1, 12) * kMillisecond / (slow ? 1 : 4);
    at(now_ + delay, [this, from, to, bytes] { deliverPeerMessage(from, to, wire::encodeBase64(bytes)); });
}

void WireSimulation::deliverPeerMessage(int from, int to, const std::string& base64) {
    addMessage(to, "HEARD", field("from", from) + field("raw", base64));
}

void WireSimulation::checkHealth(int host, const ReplyLine& action) {
    const std::string id = action.fields.at("shelf");
    const int startCount = hosts_[static_cast<std::size_t>(host)].startCount;
    const Node& target = node(id);
    const Micros free = *std::min_element(target.workerFreeAt.begin(), target.workerFreeAt.end());
    const Micros answered = std::max({free, now_, target.pausedUntil}) + 2 * kNetworkDelay;
    const bool reached = !target.unreachable && target.readiness != "Gone" && !random_.chance(10);
    at(answered, [this, host, startCount, id, reached, sentAt = now_] {
        if (hosts_[static_cast<std::size_t>(host)].startCount != startCount) return;
        addMessage(host, "STATUS_BACK",
                   field("shelf", id) + field("code", reached ? "pass" : "too_slow") +
                       field("waitTimeUs", now_ - sentAt) + " metrics=1,2");
    });
}

}  // namespace wingproxy::test
