#include "wire.h"

#include <array>
#include <charconv>
#include <map>

namespace wingproxy::wire {
namespace {

template <typename T>
bool parse(std::string_view text, T& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

Outcome parseOutcome(const Line& line) {
    static constexpr std::array<std::pair<std::string_view, Outcome>, 8> kNames{
        {{"pass", Outcome::Ok},
         {"fault", Outcome::Error},
         {"no_room", Outcome::Rejected},
         {"too_slow", Outcome::Timeout},
         {"no_route", Outcome::ConnectFailed},
         {"cut", Outcome::Reset},
         {"undone", Outcome::Cancelled},
         {"stale_send", Outcome::NotStarted}}};
    const auto code = line.text("code");
    for (const auto& [name, outcome] : kNames)
        if (name == code) return outcome;
    line.bad("code", "unknown outcome");
}

std::vector<double> parseReport(const Line& line) {
    std::vector<double> report;
    std::string_view row = line.text("metrics", "");
    while (!row.empty()) {
        const auto comma = row.find(',');
        double value = 0;
        if (!parse(row.substr(0, comma), value)) line.bad("metrics", "not a number");
        report.push_back(value);
        row = comma == std::string_view::npos ? std::string_view() : row.substr(comma + 1);
    }
    return report;
}

// The settings of an UP line, by path. A missing path keeps the default of policy.h.
class Paths {
public:
    explicit Paths(const Line& line) : line_(line) {
        for (const auto& [key, value] : line.pairs())
            values_[std::string(key)] = value;
    }
    template <typename T>
    void number(const std::string& path, T& into) const {
        const auto it = values_.find(path);
        if (it == values_.end()) return;
        double value = 0;
        if (!parse(it->second, value)) line_.bad(path, "not a number");
        into = static_cast<T>(value);
    }
    void text(const std::string& path, std::string& into) const {
        if (const auto it = values_.find(path); it != values_.end()) into = it->second;
    }
    void flag(const std::string& path, bool& into) const {
        const auto it = values_.find(path);
        if (it == values_.end()) return;
        if (it->second == "true" || it->second == "1")
            into = true;
        else if (it->second == "false" || it->second == "0")
            into = false;
        else
            line_.bad(path, "not true or false");
    }
    std::vector<std::string> list(const std::string& path) const {
        std::vector<std::string> items;
        std::string joined;
        text(path, joined);
        for (std::size_t at = 0; at < joined.size();) {
            const auto comma = std::min(joined.find(',', at), joined.size());
            items.push_back(joined.substr(at, comma - at));
            at = comma + 1;
        }
        return items;
    }
    std::size_t count(const std::string& path) const {
        std::size_t n = 0;
        number(path + ".count", n);
        if (n > 10000) line_.bad(path + ".count", "too many");
        return n;
    }

private:
    const Line& line_;
    std::map<std::string, std::string_view, std::less<>> values_;
};

ClassInfo parseClass(const Paths& paths, const std::string& at, const Line& line) {
    ClassInfo c;
    std::string effect = "idempotent", scope = "all";
    paths.text(at + "name", c.name);
    paths.number(at + "aimUs", c.latencyObjectiveUs);
    paths.number(at + "deadlineUs", c.deadlineUs);
    paths.number(at + "windowUs", c.keyWindowUs);
    paths.number(at + "value", c.priorityWeight);
    paths.number(at + "lateWorth", c.lateWeight);
    paths.text(at + "effect", effect);
    paths.text(at + "keyScope", scope);
    paths.flag(at + "stream", c.stream);
    paths.flag(at + "fifoByKey", c.fifoByKey);
    if (effect == "idempotent")
        c.retrySafety = RetrySafety::Idempotent;
    else if (effect == "deduplicated")
        c.retrySafety = RetrySafety::IdempotentWithKey;
    else if (effect == "at_most_once")
        c.retrySafety = RetrySafety::NotIdempotent;
    else
        line.bad(at + "effect", "unknown effect");
    if (scope == "all")
        c.keyScope = KeyScope::Global;
    else if (scope == "zone")
        c.keyScope = KeyScope::Zone;
    else if (scope == "cell")
        c.keyScope = KeyScope::Cell;
    else
        line.bad(at + "keyScope", "unknown scope");
    return c;
}

PlanInfo parsePlan(const Paths& paths, const std::string& at) {
    PlanInfo p;
    paths.text(at + "name", p.name);
    paths.number(at + "baseRate", p.baseRate);
    paths.number(at + "guaranteed", p.guaranteedRate);
    paths.number(at + "shares", p.shares);
    paths.number(at + "valueFactor", p.priorityFactor);
    paths.number(at + "limit", p.limit);
    paths.number(at + "limitBurst", p.limitBurst);
    paths.number(at + "limitSlack", p.limitSlack);
    return p;
}

constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

}  // namespace

Line::Line(std::string_view text, std::size_t number) : number_(number) {
    if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
    const auto space = text.find(' ');
    name_ = text.substr(0, space);
    if (name_.empty()) bad("name", "line without a message name");
    while (text.find(' ') != std::string_view::npos) {
        text.remove_prefix(text.find(' ') + 1);
        const auto part = text.substr(0, text.find(' '));
        if (part.empty()) continue;
        const auto equals = part.find('=');
        if (equals == std::string_view::npos || equals == 0) bad(part, "not name=value");
        pairs_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
    }
}

const std::string_view* Line::find(std::string_view key) const {
    for (const auto& pair : pairs_)
        if (pair.first == key) return &pair.second;
    return nullptr;
}

void Line::bad(std::string_view field, const std::string& why) const {
    throw Malformed("line " + std::to_string(number_) + " (" + std::string(name_) + "), field " +
                    std::string(field) + ": " + why);
}

bool Line::has(std::string_view key) const { return find(key) != nullptr; }

std::string_view Line::text(std::string_view key) const {
    const auto* value = find(key);
    if (!value) bad(key, "missing");
    return *value;
}

std::string_view Line::text(std::string_view key, std::string_view absent) const {
    const auto* value = find(key);
    return value ? *value : absent;
}

std::int64_t Line::integer(std::string_view key) const {
    std::int64_t value = 0;
    if (!parse(text(key), value)) bad(key, "not a whole number");
    return value;
}

std::int64_t Line::integer(std::string_view key, std::int64_t absent) const {
    return has(key) ? integer(key) : absent;
}

std::uint64_t Line::natural(std::string_view key) const {
    std::uint64_t value = 0;
    if (!parse(text(key), value)) bad(key, "not a whole number of 0 or more");
    return value;
}

double Line::number(std::string_view key, double absent) const {
    if (!has(key)) return absent;
    double value = 0;
    if (!parse(text(key), value)) bad(key, "not a number");
    return value;
}

bool Line::flag(std::string_view key) const {
    const auto value = text(key, "0");
    if (value != "0" && value != "1") bad(key, "not 0 or 1");
    return value == "1";
}

std::string encodeBase64(std::string_view bytes) {
    if (bytes.empty()) return "-";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 3; ++i)
            group = group << 8 | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0u);
        for (std::size_t i = 0; i < 4; ++i)
            out += at + i > bytes.size() ? '=' : kDigits[group >> (18 - 6 * i) & 63];
    }
    return out;
}

bool decodeBase64(std::string_view text, std::string& bytes) {
    bytes.clear();
    if (text == "-") return true;
    if (text.size() % 4 != 0) return false;
    for (std::size_t at = 0; at < text.size(); at += 4) {
        std::uint32_t group = 0;
        std::size_t pads = 0;
        for (std::size_t i = 0; i < 4; ++i) {
            const char c = text[at + i];
            const auto digit = kDigits.find(c);
            const bool pad = c == '=' && i >= 2 && at + 4 == text.size();
            if ((digit == std::string_view::npos && !pad) || (pads > 0 && !pad)) return false;
            pads += pad ? 1 : 0;
            group = group << 6 | (pad ? 0u : static_cast<std::uint32_t>(digit));
        }
        for (std::size_t i = 0; i + pads < 3; ++i)
            bytes += static_cast<char>(group >> (16 - 8 * i) & 255);
    }
    return true;
}

Settings parseSettings(const Line& up) {
    const Paths paths(up);
    Settings s;
    s.seed = up.has("rngSeed") ? up.natural("rngSeed") : 0;
    paths.number("me", s.hostIndex);
    paths.number("replicasOfMe", s.hostCount);
    paths.text("zone", s.zone);
    const auto writes = paths.list("extra.changesData");
    for (std::size_t i = 0, n = paths.count("classes"); i < n; ++i) {
        s.classes.push_back(parseClass(paths, "classes." + std::to_string(i) + ".", up));
        s.classes.back().writes = i < writes.size() && writes[i] == "true";
    }
    for (std::size_t i = 0, n = paths.count("serviceLevels"); i < n; ++i)
        s.plans.push_back(parsePlan(paths, "serviceLevels." + std::to_string(i) + "."));
    s.reportColumns = paths.list("report.columns");
    std::string how, mode;
    paths.text("report.how", how);
    paths.text("registryMode", mode);
    s.loadReportsOnlyByHealthCheck = how == "probe";
    s.pollsEndpointList = mode == "on_request";
    paths.number("allowed.tryLimit", s.maxAttempts);
    paths.flag("allowed.mayProbe", s.mayCheckHealth);
    paths.flag("allowed.peers", s.mayGossip);
    paths.flag("allowed.cancel", s.mayCancel);
    paths.flag("allowed.secondCopies", s.hedging);
    paths.flag("allowed.retryAfter", s.sendsRetryAfter);
    paths.number("allowed.maxRetryAfterUs", s.maxRetryAfterUs);
    paths.number("obligations.answerSlackUs", s.responseSlackUs);
    paths.number("obligations.drainGraceUs", s.drainGraceUs);
    paths.number("obligations.askEveryUs", s.pollIntervalUs);
    paths.number("obligations.keyRestUs", s.keyCooldownUs);
    paths.number("obligations.resendRatio", s.retryRatio);
    paths.number("obligations.extraFree", s.retryAllowance);
    paths.number("obligations.resendSpanUs", s.retryWindowUs);
    paths.number("obligations.startCapacity", s.slowStartCapacity);
    paths.number("obligations.fallMultiple", s.slowStartOverloadFactor);
    paths.number("obligations.fallUs", s.slowStartWindowUs);
    paths.number("obligations.warmAfterUs", s.slowStartDurationUs);
    paths.number("extra.coldBears", s.slowStartUnits);
    paths.number("extra.meanUnits", s.meanUnits);
    paths.number("extra.maxUnits", s.maxUnits);
    paths.number("extra.withinShare", s.shareWeight);
    paths.number("extra.spareWorth", s.spareWeight);
    paths.number("extra.meterUs", s.meteringWindowUs);
    paths.number("extra.shards", s.cellCount);
    paths.number("roundUs", s.roundUs);
    return s;
}

NodeInfo parseNode(const Line& line) {
    if (line.name() != "ENTRY") line.bad("name", "ENTRY expected");
    NodeInfo node;
    node.id = line.text("shelf");
    node.zone = line.text("area", "");
    node.cell = static_cast<int>(line.integer("cohort", 0));
    node.rating = line.number("rating", 1);
    node.startedUs = line.integer("launchedUs", 0);
    const auto state = line.text("readiness");
    if (state == "Ready")
        node.state = NodeState::Ready;
    else if (state == "Terminating")
        node.state = NodeState::Draining;
    else if (state == "Gone")
        node.state = NodeState::Removed;
    else
        line.bad("readiness", "unknown state");
    return node;
}

Request parseRequest(const Line& line, const Settings& settings) {
    Request r;
    r.id = line.natural("corr");
    r.key = line.text("item", "");
    r.volume = line.text("disk", "");
    r.deadlineUs = line.integer("validUntilUs");
    r.units = line.number("sizeUnits", 1);
    r.cell = static_cast<int>(line.integer("liesIn", -1));
    r.volumeHosts = static_cast<int>(line.integer("setSize", 1));
    r.retry = line.flag("retry");
    const auto qos = line.text("qos", ""), grade = line.text("grade", "");
    for (std::size_t i = 0; i < settings.classes.size(); ++i)
        if (settings.classes[i].name == qos) r.classIndex = static_cast<int>(i);
    for (std::size_t i = 0; i < settings.plans.size(); ++i)
        if (settings.plans[i].name == grade) r.planIndex = static_cast<int>(i);
    return r;
}

AttemptOutcome parseEnded(const Line& line) {
    AttemptOutcome e;
    e.id = line.natural("corr");
    e.attempt = static_cast<int>(line.integer("shot", 0));
    e.node = line.text("shelf", "");
    e.outcome = parseOutcome(line);
    e.elapsedUs = line.integer("waitTimeUs", 0);
    e.requestClosed = line.flag("closed");
    e.loadPercent = line.number("usePct", 0);
    e.loadElsewhere = line.number("elsewhere", 0);
    e.loadReport = parseReport(line);
    return e;
}

HealthCheckCompleted parseProbe(const Line& line) {
    return {std::string(line.text("shelf")), parseOutcome(line), line.integer("waitTimeUs", 0),
            parseReport(line)};
}

PeerMessageReceived parseMessage(const Line& line) {
    PeerMessageReceived m;
    m.from = static_cast<int>(line.integer("from"));
    if (!decodeBase64(line.text("raw"), m.bytes)) line.bad("raw", "not base64");
    return m;
}

void format(const Action& action, std::string_view who, std::string& out) {
    const auto begin = [&](std::string_view name) { out.append(name).append(" who=").append(who); };
    const auto add = [&](std::string_view key, auto value) {
        out.append(" ").append(key).append("=").append(std::to_string(value));
    };
    const auto addText = [&](std::string_view key, std::string_view value) {
        out.append(" ").append(key).append("=").append(value);
    };
    if (const auto* send = std::get_if<ForwardRequest>(&action)) {
        begin("DISPATCH");
        add("corr", send->id);
        addText("shelf", send->node);
        if (send->timeoutUs != 0) add("tryForUs", send->timeoutUs);
    } else if (const auto* refuse = std::get_if<RejectRequest>(&action)) {
        begin("TURN_AWAY");
        add("corr", refuse->id);
        if (refuse->retryAfterUs > 0) add("coolDownUs", refuse->retryAfterUs);
    } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
        begin("ERROR");
        add("corr", fail->id);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        begin("ABORT_ATTEMPT");
        add("corr", cancel->id);
        add("shot", cancel->attempt);
    } else if (const auto* probe = std::get_if<StartHealthCheck>(&action)) {
        begin("PROBE");
        addText("shelf", probe->node);
    } else if (const auto* tell = std::get_if<SendPeerMessage>(&action)) {
        begin("NOTIFY");
        if (tell->to < 0)
            addText("to", "*");
        else
            add("to", tell->to);
        addText("raw", encodeBase64(tell->bytes));
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        begin("TIMER");
        add("offsetUs", timer->delayUs);
        add("label", timer->token);
    } else if (const auto* watch = std::get_if<WatchEndpointList>(&action)) {
        begin("TAIL");
        add("on", watch->enabled ? 1 : 0);
    } else if (const auto* note = std::get_if<LogLine>(&action)) {
        begin("PRINT");
        addText("text", note->text);
    }
    out += '\n';
}

}  // namespace wingproxy::wire
