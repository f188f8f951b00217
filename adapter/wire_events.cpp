#include "wire_events.h"

#include <string>
#include <utility>

#include "base64.h"
#include "config/parse_number.h"

namespace wingproxy::wire {
namespace {

using config::NamedValues;

constexpr NamedValues<MessageKind, 10> kMessageNames{"message",
                                                     {{{"UP", MessageKind::HostStarted},
                                                       {"POWER_OFF", MessageKind::HostStopped},
                                                       {"REGISTRY", MessageKind::EndpointListReceived},
                                                       {"INCOMING", MessageKind::RequestReceived},
                                                       {"ENDED", MessageKind::AttemptFinished},
                                                       {"HEADERS", MessageKind::ResponseStarted},
                                                       {"ABORTED", MessageKind::RequestCancelled},
                                                       {"ELAPSED", MessageKind::TimerFired},
                                                       {"HEARD", MessageKind::PeerMessageReceived},
                                                       {"STATUS_BACK", MessageKind::HealthCheckCompleted}}}};

constexpr NamedValues<Outcome, kOutcomeCount> kOutcomeNames{"outcome",
                                                            {{{"pass", Outcome::Ok},
                                                              {"fault", Outcome::Error},
                                                              {"no_room", Outcome::Rejected},
                                                              {"too_slow", Outcome::Timeout},
                                                              {"no_route", Outcome::ConnectFailed},
                                                              {"cut", Outcome::Reset},
                                                              {"undone", Outcome::Cancelled},
                                                              {"stale_send", Outcome::NotStarted}}}};

constexpr NamedValues<NodeState, 3> kNodeStateNames{
    "state",
    {{{"Ready", NodeState::Ready}, {"Terminating", NodeState::Draining}, {"Gone", NodeState::Removed}}}};

constexpr NamedValues<EndpointListKind, 4> kListKindNames{"kind of endpoint list",
                                                          {{{"incr", EndpointListKind::Delta},
                                                            {"total", EndpointListKind::Full},
                                                            {"warm_copy", EndpointListKind::Cached},
                                                            {"lost", EndpointListKind::Unavailable}}}};

/// The index of the last class or plan with this name, as an "UP" line may repeat a name; none if the name is
/// unknown.
template <typename IndexType, typename List>
IndexType lastIndexOf(const List& list, std::string_view name) {
    for (std::size_t i = list.size(); i > 0; --i)
        if (list[i - 1].name == name) return IndexType::ofPosition(i - 1);
    return {};
}

/// Reads the load report: one number for each of `Settings::reportColumns`, none if the field is missing.
std::vector<double> parseLoadReport(const WireLine& line) {
    std::vector<double> report;
    for (const auto column : splitList(line.text("metrics", ""))) {
        const auto value = config::parseNumber<double>(column);
        if (!value) line.fail("metrics", "not a number: " + quote(column));
        report.push_back(*value);
    }
    return report;
}

EndpointListReceived parseEndpointList(const WireLine& line, const EndpointListTable& endpointLists) {
    EndpointList list;
    list.kind = line.choice("how", kListKindNames);
    list.version = line.integer("serial", 0);
    if (list.kind != EndpointListKind::Unavailable)
        list.nodes = endpointLists.at(line.integer("setId"), line);
    return {std::move(list)};
}

RequestReceived parseRequest(const WireLine& line, const Settings& settings) {
    Request request;
    request.id = line.unsignedInteger("corr");
    request.key = line.text("item", "");
    request.volume = line.text("disk", "");
    request.deadlineUs = line.integer("validUntilUs");
    request.units = line.number("sizeUnits", 1);
    request.cell = CellIndex(static_cast<int>(line.integer("liesIn", CellIndex::kNoneValue)));
    request.volumeHosts = static_cast<int>(line.integer("setSize", 1));
    request.retry = line.flag("retry");
    request.classIndex = lastIndexOf<ClassIndex>(settings.classes, line.text("qos", ""));
    request.planIndex = lastIndexOf<PlanIndex>(settings.plans, line.text("grade", ""));
    return {std::move(request)};
}

AttemptOutcome parseAttemptOutcome(const WireLine& line) {
    AttemptOutcome attempt;
    attempt.id = line.unsignedInteger("corr");
    attempt.attempt = AttemptIndex(static_cast<int>(line.integer("shot", 0)));
    attempt.node = line.text("shelf", "");
    attempt.outcome = line.choice("code", kOutcomeNames);
    attempt.elapsedUs = line.integer("waitTimeUs", 0);
    attempt.requestClosed = line.flag("closed");
    attempt.loadPercent = line.number("usePct", 0);
    attempt.loadElsewhere = line.number("elsewhere", 0);
    attempt.loadReport = parseLoadReport(line);
    return attempt;
}

ResponseStarted parseResponseStarted(const WireLine& line) {
    ResponseStarted response;
    response.id = line.unsignedInteger("corr");
    response.attempt = AttemptIndex(static_cast<int>(line.integer("shot", 0)));
    response.node = line.text("shelf", "");
    response.elapsedUs = line.integer("waitTimeUs", 0);
    return response;
}

PeerMessageReceived parsePeerMessage(const WireLine& line) {
    PeerMessageReceived message;
    message.from = HostIndex(static_cast<int>(line.integer("from")));
    if (!decodeBase64(line.text("raw"), message.bytes)) line.fail("raw", "not base64");
    return message;
}

HealthCheckCompleted parseHealthCheck(const WireLine& line) {
    HealthCheckCompleted check;
    check.node = line.text("shelf");
    check.outcome = line.choice("code", kOutcomeNames);
    check.elapsedUs = line.integer("waitTimeUs", 0);
    check.loadReport = parseLoadReport(line);
    return check;
}

}  // namespace

std::optional<MessageKind> messageKind(std::string_view name) { return kMessageNames.find(name); }

std::size_t EndpointListTable::indexOf(std::int64_t listNumber, const WireLine& line) const {
    if (listNumber < 0 || listNumber >= static_cast<std::int64_t>(lists_.size()))
        line.fail("setId", std::to_string(listNumber) + " is not in the range 0 to 15");
    return static_cast<std::size_t>(listNumber);
}

std::vector<NodeInfo>& EndpointListTable::at(std::int64_t listNumber, const WireLine& line) {
    return lists_[indexOf(listNumber, line)];
}

const std::vector<NodeInfo>& EndpointListTable::at(std::int64_t listNumber, const WireLine& line) const {
    return lists_[indexOf(listNumber, line)];
}

NodeInfo parseNode(const WireLine& line) {
    if (line.name() != "ENTRY") line.fail("name", "ENTRY expected");
    NodeInfo node;
    node.id = line.text("shelf");
    node.zone = line.text("area", "");
    node.cell = CellIndex(static_cast<int>(line.integer("cohort", 0)));
    node.rating = line.number("rating", 1);
    node.startedUs = line.integer("launchedUs", 0);
    node.state = line.choice("readiness", kNodeStateNames);
    return node;
}

Event parseEvent(MessageKind kind, const WireLine& line, const Settings& settings,
                 const EndpointListTable& endpointLists) {
    switch (kind) {
        case MessageKind::EndpointListReceived:
            return parseEndpointList(line, endpointLists);
        case MessageKind::RequestReceived:
            return parseRequest(line, settings);
        case MessageKind::AttemptFinished:
            return parseAttemptOutcome(line);
        case MessageKind::ResponseStarted:
            return parseResponseStarted(line);
        case MessageKind::RequestCancelled:
            return RequestCancelled{line.unsignedInteger("corr")};
        case MessageKind::TimerFired:
            return TimerFired{line.unsignedInteger("label")};
        case MessageKind::PeerMessageReceived:
            return parsePeerMessage(line);
        case MessageKind::HealthCheckCompleted:
            return parseHealthCheck(line);
        case MessageKind::HostStarted:
        case MessageKind::HostStopped:
            break;
    }
    line.fail("name", "not an event");
}

}  // namespace wingproxy::wire
