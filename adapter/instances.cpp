#include "instances.h"

namespace wingproxy::wire {

bool Instances::nextLine(std::istream& in) {
    if (!std::getline(in, line_)) return false;
    ++lineNumber_;
    return true;
}

void Instances::guarded(Instance& instance, const std::function<void()>& call) {
    if (!instance.fault.empty()) return;
    try {
        call();
    } catch (const std::exception& error) {
        instance.fault = std::string("exception: ") + error.what();
    } catch (...) {
        instance.fault = "exception of an unknown type";
    }
}

Instances::Instance& Instances::instanceOf(const Line& line) {
    const auto who = line.text("who");
    auto it = instances_.find(who);
    if (it == instances_.end()) it = instances_.emplace(std::string(who), Instance()).first;
    if (it->second.batch != batch_) {
        it->second.batch = batch_;
        touched_.emplace_back(&it->first, &it->second);
    }
    return it->second;
}

void Instances::deliver(const Line& line, Micros now) {
    const auto name = line.name();
    static constexpr std::array<std::string_view, 10> kKnown{"UP",    "POWER_OFF",  "REGISTRY", "INCOMING",
                                                             "ENDED", "HEADERS",    "ABORTED",  "ELAPSED",
                                                             "HEARD", "STATUS_BACK"};
    bool known = false;
    for (const auto k : kKnown)
        known = known || k == name;
    if (!known) return;  // a later message: ignored
    Instance& instance = instanceOf(line);
    if (name == "UP") {
        instance.settings = parseSettings(line);
        instance.policy.reset();
        instance.fault.clear();
        guarded(instance, [&] { instance.policy.emplace(*instance.settings, now); });
        return;
    }
    if (name == "POWER_OFF") {
        instance.settings.reset();
        instance.policy.reset();
        instance.fault.clear();
        return;
    }
    if (!instance.settings) line.bad("who", "instance has not started");
    std::optional<Event> event;
    if (name == "INCOMING")
        event = RequestReceived{parseRequest(line, *instance.settings)};
    else if (name == "ENDED")
        event = parseEnded(line);
    else if (name == "HEARD")
        event = parseMessage(line);
    else if (name == "STATUS_BACK")
        event = parseProbe(line);
    else if (name == "ABORTED")
        event = RequestCancelled{line.natural("corr")};
    else if (name == "ELAPSED")
        event = TimerFired{line.natural("label")};
    else if (name == "HEADERS")
        event = ResponseStarted{line.natural("corr"), static_cast<int>(line.integer("shot", 0)),
                                std::string(line.text("shelf", "")), line.integer("waitTimeUs", 0)};
    else {
        EndpointList list;
        const auto how = line.text("how");
        if (how == "incr")
            list.kind = EndpointListKind::Delta;
        else if (how == "total")
            list.kind = EndpointListKind::Full;
        else if (how == "warm_copy")
            list.kind = EndpointListKind::Cached;
        else if (how == "lost")
            list.kind = EndpointListKind::Unavailable;
        else
            line.bad("how", "unknown kind of news");
        list.version = line.integer("serial", 0);
        if (list.kind != EndpointListKind::Unavailable) {
            const auto id = line.integer("setId");
            if (id < 0 || id >= static_cast<std::int64_t>(lists_.size())) line.bad("setId", "not 0 to 15");
            list.nodes = lists_[static_cast<std::size_t>(id)];
        }
        event = EndpointListReceived{std::move(list)};
    }
    guarded(instance, [&] { instance.policy->on(now, *event); });
}

bool Instances::serveBatch(std::istream& in, std::string& out) {
    do {
        if (!nextLine(in)) return false;
    } while (line_.empty());
    ++batch_;
    touched_.clear();
    const std::string head = line_;
    const Line begin(head, lineNumber_);
    if (begin.name() != "BEGIN_BATCH") begin.bad("name", "BEGIN_BATCH expected");
    const Micros now = begin.integer("tsUs");
    const auto number = begin.natural("batch");
    for (;;) {
        if (!nextLine(in)) begin.bad("batch", "input ends before OVER_TO_YOU");
        const Line line(line_, lineNumber_);
        if (line.name() == "OVER_TO_YOU") break;
        if (line.name() != "ROSTER") {
            deliver(line, now);
            continue;
        }
        const auto id = line.integer("setId"), rows = line.integer("rowsIn", 0);
        if (id < 0 || id >= static_cast<std::int64_t>(lists_.size())) line.bad("setId", "not 0 to 15");
        if (rows < 0) line.bad("rowsIn", "below 0");
        auto& list = lists_[static_cast<std::size_t>(id)];
        list.clear();
        for (std::int64_t i = 0; i < rows; ++i) {
            if (!nextLine(in)) begin.bad("batch", "input ends inside a list");
            list.push_back(parseNode(Line(line_, lineNumber_)));
        }
    }
    for (const auto& [who, instance] : touched_) {
        if (!instance->settings) continue;
        std::vector<Action> actions;
        guarded(*instance, [&] { actions = instance->policy->finish(now); });
        if (!instance->fault.empty()) {
            out.append("EXCEPTION who=").append(*who).append(" text=").append(instance->fault).append("\n");
            continue;
        }
        for (const auto& action : actions)
            format(action, *who, out);
    }
    out.append("OK batch=").append(std::to_string(number)).append("\n");
    return true;
}

}  // namespace wingproxy::wire
