#include "instances.h"

#include "wire_actions.h"
#include "wire_settings.h"

namespace wingproxy::wire {

bool Instances::readLine(std::istream& in) {
    if (!std::getline(in, line_)) return false;
    ++lineNumber_;
    return true;
}

void Instances::catchExceptions(Instance& instance, const std::function<void()>& call) {
    if (!instance.exception.empty()) return;
    try {
        call();
    } catch (const std::exception& error) {
        instance.exception = std::string("exception: ") + error.what();
    } catch (...) {
        instance.exception = "exception of an unknown type";
    }
}

Instances::Instance& Instances::instanceOf(const WireLine& line) {
    const auto name = line.text("who");
    auto found = instances_.find(name);
    if (found == instances_.end()) {
        found = instances_.emplace(std::string(name), Instance()).first;
        found->second.name = name;
    }
    auto& instance = found->second;
    if (instance.lastBatch != batchCount_) {
        instance.lastBatch = batchCount_;
        inBatch_.push_back(&instance);
    }
    return instance;
}

void Instances::start(Instance& instance, const WireLine& line, Micros now) {
    instance.settings = parseSettings(line);
    instance.policy.reset();
    instance.exception.clear();
    catchExceptions(instance, [&] { instance.policy.emplace(*instance.settings, now); });
}

void Instances::stop(Instance& instance) {
    instance.settings.reset();
    instance.policy.reset();
    instance.exception.clear();
}

void Instances::handleMessage(const WireLine& line, Micros now) {
    const auto kind = messageKind(line.name());
    if (!kind) return;  // from a newer simulator, which expects that it is ignored
    auto& instance = instanceOf(line);
    if (kind == MessageKind::HostStarted) return start(instance, line, now);
    if (kind == MessageKind::HostStopped) return stop(instance);
    if (!instance.settings) line.fail("who", "instance has not started");
    const auto event = parseEvent(*kind, line, *instance.settings, endpointLists_);
    catchExceptions(instance, [&] { instance.policy->on(now, event); });
}

void Instances::readEndpointList(std::istream& in, const WireLine& header, const WireLine& line) {
    const auto listNumber = line.integer("setId");
    const auto entryCount = line.integer("rowsIn", 0);
    auto& nodes = endpointLists_.at(listNumber, line);
    if (entryCount < 0) line.fail("rowsIn", "below 0");
    nodes.clear();
    for (std::int64_t i = 0; i < entryCount; ++i) {
        if (!readLine(in)) header.fail("batch", "input ends inside a list");
        nodes.push_back(parseNode(WireLine(line_, lineNumber_)));
    }
}

void Instances::readMessages(std::istream& in, const WireLine& header, Micros now) {
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

void Instances::appendActions(Instance& instance, Micros now, std::string& out) {
    if (!instance.settings) return;
    std::vector<Action> actions;
    catchExceptions(instance, [&] { actions = instance.policy->finish(now); });
    if (!instance.exception.empty()) {
        out.append("EXCEPTION who=").append(instance.name);
        out.append(" text=").append(instance.exception).append("\n");
        return;
    }
    for (const auto& action : actions)
        appendAction(action, instance.name, out);
}

bool Instances::serveBatch(std::istream& in, std::string& out) {
    do {
        if (!readLine(in)) return false;
    } while (line_.empty());
    ++batchCount_;
    inBatch_.clear();
    const std::string headerText = line_;
    const WireLine header(headerText, lineNumber_);
    if (header.name() != "BEGIN_BATCH") header.fail("name", "BEGIN_BATCH expected");
    const Micros now = header.integer("tsUs");
    const auto batchNumber = header.natural("batch");
    readMessages(in, header, now);
    for (auto* const instance : inBatch_)
        appendActions(*instance, now, out);
    out.append("OK batch=").append(std::to_string(batchNumber)).append("\n");
    return true;
}

}  // namespace wingproxy::wire
