#include "config/config.h"

#include <charconv>
#include <fstream>
#include <sstream>

#include "config/json.h"

namespace wingproxy::config {
namespace {

ClassInfo classFrom(const Node& at) {
    ClassInfo c;
    c.name = at.text("name");
    at.number("aimUs", c.latencyObjectiveUs);
    at.number("deadlineUs", c.deadlineUs);
    at.number("windowUs", c.keyWindowUs);
    at.number("value", c.priorityWeight);
    at.number("lateWorth", c.lateWeight);
    at.flag("stream", c.stream);
    at.flag("fifoByKey", c.fifoByKey);
    c.retrySafety = choice(at, "effect", RetrySafety::Idempotent,
                           {{"idempotent", RetrySafety::Idempotent},
                            {"deduplicated", RetrySafety::IdempotentWithKey},
                            {"at_most_once", RetrySafety::NotIdempotent}});
    c.keyScope = choice(at, "keyScope", KeyScope::Global,
                        {{"all", KeyScope::Global}, {"zone", KeyScope::Zone}, {"cell", KeyScope::Cell}});
    return c;
}

PlanInfo planFrom(const Node& at) {
    PlanInfo p;
    p.name = at.text("name");
    at.number("baseRate", p.baseRate);
    at.number("guaranteed", p.guaranteedRate);
    at.number("shares", p.shares);
    at.number("valueFactor", p.priorityFactor);
    at.number("limit", p.limit);
    at.number("limitBurst", p.limitBurst);
    at.number("limitSlack", p.limitSlack);
    return p;
}

Settings settingsFrom(const Node& at) {
    Settings s;
    at.number("me", s.hostIndex);
    at.number("replicasOfMe", s.hostCount);
    at.text("zone", s.zone);
    for (const auto& c : at.objects("classes"))
        s.classes.push_back(classFrom(c));
    for (const auto& p : at.objects("serviceLevels"))
        s.plans.push_back(planFrom(p));
    if (s.classes.empty()) at.bad("classes", "empty");
    if (s.plans.empty()) at.bad("serviceLevels", "empty");
    if (at.has("report")) {
        const auto report = at.child("report");
        if (report.has("columns")) s.reportColumns = report.texts("columns");
        std::string how;
        report.text("how", how);
        s.loadReportsOnlyByHealthCheck = how == "probe";
    }
    std::string mode;
    at.text("registryMode", mode);
    s.pollsEndpointList = mode == "on_request";
    at.number("roundUs", s.roundUs);

    const auto allowed = at.child("allowed");
    allowed.number("tryLimit", s.maxAttempts);
    allowed.flag("mayProbe", s.mayCheckHealth);
    allowed.flag("peers", s.mayGossip);
    allowed.flag("cancel", s.mayCancel);
    allowed.flag("secondCopies", s.hedging);
    allowed.flag("retryAfter", s.sendsRetryAfter);
    allowed.number("maxRetryAfterUs", s.maxRetryAfterUs);

    const auto rules = at.child("obligations");
    rules.number("answerSlackUs", s.responseSlackUs);
    rules.number("drainGraceUs", s.drainGraceUs);
    rules.number("askEveryUs", s.pollIntervalUs);
    rules.number("keyRestUs", s.keyCooldownUs);
    rules.number("resendRatio", s.retryRatio);
    rules.number("extraFree", s.retryAllowance);
    rules.number("resendSpanUs", s.retryWindowUs);
    rules.number("startCapacity", s.slowStartCapacity);
    rules.number("fallMultiple", s.slowStartOverloadFactor);
    rules.number("fallUs", s.slowStartWindowUs);
    rules.number("warmAfterUs", s.slowStartDurationUs);

    const auto extra = at.child("extra");
    extra.number("coldBears", s.slowStartUnits);
    extra.number("meanUnits", s.meanUnits);
    extra.number("maxUnits", s.maxUnits);
    extra.number("withinShare", s.shareWeight);
    extra.number("spareWorth", s.spareWeight);
    extra.number("meterUs", s.meteringWindowUs);
    extra.number("shards", s.cellCount);
    if (extra.has("changesData")) {
        const auto writes = extra.list("changesData");
        for (std::size_t i = 0; i < writes.size() && i < s.classes.size(); ++i)
            if (writes[i].get(s.classes[i].writes)) extra.bad("changesData", "not a list of true or false");
    }
    if (s.hostIndex < 0 || s.hostIndex >= s.hostCount) at.bad("me", "not below replicasOfMe");
    if (s.cellCount < 0 || s.cellCount > 100'000) extra.bad("shards", "out of range");
    return s;
}

EndpointListing hostsFrom(const Node& at) {
    EndpointListing hosts;
    bool full = false;
    at.flag("reset", full);
    hosts.list.kind = full ? EndpointListKind::Full : EndpointListKind::Delta;
    hosts.list.version = static_cast<std::int64_t>(at.real("generation"));
    for (const auto& n : at.objects("instances")) {
        NodeInfo node;
        node.id = n.text("instanceId");
        if (node.id.empty()) n.bad("instanceId", "empty");
        n.text("zone", node.zone);
        n.number("cell", node.cell);
        if (node.cell < 0 || node.cell > 100'000) n.bad("cell", "out of range");
        n.number("weight", node.rating);
        node.state = choice(
            n, "lifecycle", NodeState::Ready,
            {{"up", NodeState::Ready}, {"draining", NodeState::Draining}, {"removed", NodeState::Removed}});
        Micros startedMs = 0;
        n.number("startedAtMs", startedMs);
        node.startedUs = startedMs * 1000;
        const bool gone = node.state == NodeState::Removed && !n.has("hostPort");
        hosts.addresses.push_back(gone ? Endpoint{}
                                       : parseEndpoint(n.text("hostPort"), n.pathOf("hostPort")));
        hosts.list.nodes.push_back(std::move(node));
    }
    return hosts;
}

}  // namespace

Endpoint parseEndpoint(std::string_view text, std::string_view field) {
    const auto bad = [&] {
        return ConfigError(fmt::format("{}: '{}' is not an IPv4 address and a port", field, text));
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) throw bad();
    const auto host = text.substr(0, colon), port = text.substr(colon + 1);
    Endpoint e;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), e.port);
    if (error != std::errc() || end != port.data() + port.size()) throw bad();
    int parts = 0;
    for (std::size_t at = 0; at <= host.size(); ++parts) {
        const auto dot = std::min(host.find('.', at), host.size());
        unsigned char byte = 0;
        const auto [stop, wrong] = std::from_chars(host.data() + at, host.data() + dot, byte);
        if (wrong != std::errc() || stop != host.data() + dot) throw bad();
        at = dot + 1;
    }
    if (parts != 4) throw bad();
    e.host = host;
    return e;
}

EndpointListing parseEndpointListing(std::string_view json) {
    simdjson::dom::parser parser;
    return hostsFrom(rootOf(parser, json, "list"));
}

Config parseConfig(std::string_view json) {
    simdjson::dom::parser parser;
    const Node root = rootOf(parser, json, "config");
    Config c;
    const auto endpoint = [&](std::string_view key) { return parseEndpoint(root.text(key), key); };
    c.name = root.text("name");
    c.listen = endpoint("listen");
    c.discovery = endpoint("discovery");
    c.settings = settingsFrom(root.child("settings"));
    const auto seed = root.text("seed");
    const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), c.settings.seed, 16);
    if (error != std::errc() || end != seed.data() + seed.size())
        root.bad("seed", "not a hexadecimal number");
    if (root.has("peers"))
        for (const auto& peer : root.texts("peers"))
            c.peers.push_back(parseEndpoint(peer, "peers"));
    if (root.has("peer_listen")) c.peerListen = endpoint("peer_listen");
    if (root.has("peers_all")) c.peersAll = endpoint("peers_all");
    if (root.has("mgmt")) c.adminListen = endpoint("mgmt");
    if (root.has("limits")) {
        const auto limits = root.child("limits");
        limits.number("sockets", c.maxDescriptors);
        if (c.maxDescriptors < 32) limits.bad("sockets", "below 32");
        limits.number("memory_mb", c.memoryMb);
        if (c.memoryMb < 16) limits.bad("memory_mb", "below 16");
    }
    if (root.has("known")) c.cachedEndpoints = hostsFrom(root.child("known"));
    c.cachedEndpoints.list.kind = EndpointListKind::Cached;
    const auto allowed = root.child("settings").child("allowed");
    allowed.number("connectTimeoutUs", c.connectTimeoutUs);
    allowed.number("connIdleUs", c.connIdleUs);
    return c;
}

void applyEnvironment(Config& c, const char* mgmt, const char* fd) {
    if (mgmt && c.adminListen.port == 0) c.adminListen = parseEndpoint(mgmt, "PROXY_MGMT");
    if (!fd) return;
    const std::string_view text(fd);
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), c.inheritedListenerFd);
    if (error != std::errc() || end != text.data() + text.size() || c.inheritedListenerFd < 3)
        throw ConfigError(fmt::format("PROXY_FD: '{}' is not a descriptor above 2", text));
}

std::string fieldsNeedingRestart(const Config& running, const Config& fresh) {
    std::string fields;
    const auto note = [&](bool same, std::string_view field) {
        if (!same) fields += fmt::format("{}{}", fields.empty() ? "" : ", ", field);
    };
    auto settings = fresh.settings;
    settings.seed = running.settings.seed;  // new in each file
    note(running.name == fresh.name, "name");
    note(running.listen == fresh.listen, "listen");
    note(running.peerListen == fresh.peerListen, "peer_listen");
    note(running.adminListen == fresh.adminListen, "mgmt");
    note(running.memoryMb == fresh.memoryMb, "limits.memory_mb");
    note(running.settings == settings && running.connectTimeoutUs == fresh.connectTimeoutUs &&
             running.connIdleUs == fresh.connIdleUs,
         "settings");
    return fields;
}

std::string readFile(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) throw ConfigError(fmt::format("{}: cannot be read", path));
    return text.str();
}

}  // namespace wingproxy::config
