#include "simulated_hosts.h"

#include "wire_actions.h"
#include "wire_settings.h"

namespace wingproxy::wire {

bool SimulatedHosts::readLine(std::istream& in) {
    if (!std::getline(in, line_)) return false;
    ++lineNumber_;
    return true;
}

void SimulatedHosts::catchExceptions(Host& host, const std::function<void()>& call) {
    if (!host.exception.empty()) return;
    try {
        call();
    } catch (const std::exception& error) {
        host.exception = std::string("exception: ") + error.what();
    } catch (...) {
        host.exception = "exception of an unknown type";
    }
}

SimulatedHosts::Host& SimulatedHosts::hostOf(const WireLine& line) {
    const auto name = line.text("who");
    auto found = hosts_.find(name);
    if (found == hosts_.end()) {
        found = hosts_.emplace(std::string(name), Host()).first;
        found->second.name = name;
    }
    auto& host = found->second;
    if (host.lastBatch != batchCount_) {
        host.lastBatch = batchCount_;
        hostsInBatch_.push_back(&host);
    }
    return host;
}

void SimulatedHosts::start(Host& host, const WireLine& line, Micros now) {
    host.settings = parseSettings(line);
    host.policy.reset();
    host.exception.clear();
    catchExceptions(host, [&] { host.policy.emplace(*host.settings, now); });
}

void SimulatedHosts::stop(Host& host) {
    host.settings.reset();
    host.policy.reset();
    host.exception.clear();
}

void SimulatedHosts::handleMessage(const WireLine& line, Micros now) {
    const auto kind = messageKind(line.name());
    if (!kind) return;  // from a newer simulator, which expects unknown messages to be ignored
    auto& host = hostOf(line);
    if (kind == MessageKind::HostStarted) return start(host, line, now);
    if (kind == MessageKind::HostStopped) return stop(host);
    if (!host.settings) line.fail("who", "host " + host.name + " has not started");
    const auto event = parseEvent(*kind, line, *host.settings, endpointLists_);
    catchExceptions(host, [&] { host.policy->on(now, event); });
}

void SimulatedHosts::readEndpointList(std::istream& in, const WireLine& header, const WireLine& line) {
    const auto listNumber = line.integer("setId");
    const auto entryCount = line.integer("rowsIn", 0);
    auto& nodes = endpointLists_.at(listNumber, line);
    if (entryCount < 0) line.fail("rowsIn", "negative: " + std::to_string(entryCount));
    nodes.clear();
    for (std::int64_t i = 0; i < entryCount; ++i) {
        if (!readLine(in)) header.fail("batch", "input ends inside an endpoint list");
        nodes.push_back(parseNode(WireLine(line_, lineNumber_)));
    }
}

void SimulatedHosts::readMessages(std::istream& in, const WireLine& header, Micros now) {
    for (;;) {
        if (!readLine(in)) header.fail("batch", "input ends before OVER_TO_YOU");
        const WireLine line(line_, lineNumber_);
        if (line.name() == "OVER_TO_YOU") return;
        if (line.name() == "ROSTER")
            readEndpointList(in, header, line);
        else
            handleMessage(line, now);
    }
}

void SimulatedHosts::appendActions(Host& host, Micros now, std::string& out) {
    if (!host.settings) return;
    std::vector<Action> actions;
    catchExceptions(host, [&] { actions = host.policy->finish(now); });
    if (!host.exception.empty()) {
        out.append("EXCEPTION who=").append(host.name);
        out.append(" text=").append(host.exception).append("\n");
        return;
    }
    for (const auto& action : actions)
        appendAction(action, host.name, out);
}

bool SimulatedHosts::serveBatch(std::istream& in, std::string& out) {
    do {
        if (!readLine(in)) return false;
    } while (line_.empty());
    ++batchCount_;
    hostsInBatch_.clear();
    const std::string headerText = line_;
    const WireLine header(headerText, lineNumber_);
    if (header.name() != "BEGIN_BATCH") header.fail("name", "BEGIN_BATCH expected");
    const Micros now = header.integer("tsUs");
    const auto batchNumber = header.unsignedInteger("batch");
    readMessages(in, header, now);
    for (auto* const host : hostsInBatch_)
        appendActions(*host, now, out);
    out.append("OK batch=").append(std::to_string(batchNumber)).append("\n");
    return true;
}

}  // namespace wingproxy::wire
