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
    at.number("aimUs", c.aimUs);
    at.number("deadlineUs", c.deadlineUs);
    at.number("windowUs", c.windowUs);
    at.number("value", c.value);
    at.number("lateWorth", c.lateWorth);
    at.flag("stream", c.stream);
    at.flag("fifoByKey", c.fifoByKey);
    c.effect = choice(at, "effect", Effect::Idempotent,
                      {{"idempotent", Effect::Idempotent},
                       {"deduplicated", Effect::Deduplicated},
                       {"at_most_once", Effect::AtMostOnce}});
    c.scope = choice(at, "keyScope", Scope::All,
                     {{"all", Scope::All}, {"zone", Scope::Zone}, {"cell", Scope::Cell}});
    return c;
}

PlanInfo planFrom(const Node& at) {
    PlanInfo p;
    p.name = at.text("name");
    at.number("baseRate", p.rate);
    at.number("guaranteed", p.reserve);
    at.number("shares", p.weight);
    at.number("valueFactor", p.factor);
    at.number("limit", p.limit);
    at.number("limitBurst", p.limitBurst);
    at.number("limitSlack", p.limitSlack);
    return p;
}

Settings settingsFrom(const Node& at) {
    Settings s;
    at.number("me", s.host);
    at.number("replicasOfMe", s.hosts);
    at.text("zone", s.zone);
    for (const auto& c : at.objects("classes")) s.classes.push_back(classFrom(c));
    for (const auto& p : at.objects("serviceLevels")) s.plans.push_back(planFrom(p));
    if (s.classes.empty()) at.bad("classes", "empty");
    if (s.plans.empty()) at.bad("serviceLevels", "empty");
    if (at.has("report")) {
        const auto report = at.child("report");
        if (report.has("columns")) s.reportColumns = report.texts("columns");
        std::string how;
        report.text("how", how);
        s.reportsOnlyByProbe = how == "probe";
    }
    std::string mode;
    at.text("registryMode", mode);
    s.listOnRequest = mode == "on_request";
    at.number("roundUs", s.roundUs);

    const auto allowed = at.child("allowed");
    allowed.number("tryLimit", s.maxAttempts);
    allowed.flag("mayProbe", s.mayProbe);
    allowed.flag("peers", s.mayTellPeers);
    allowed.flag("cancel", s.mayCancel);
    allowed.flag("secondCopies", s.secondCopies);
    allowed.flag("retryAfter", s.retryAdvice);
    allowed.number("maxRetryAfterUs", s.maxRetryAfterUs);

    const auto rules = at.child("obligations");
    rules.number("answerSlackUs", s.answerSlackUs);
    rules.number("drainGraceUs", s.drainGraceUs);
    rules.number("askEveryUs", s.askEveryUs);
    rules.number("keyRestUs", s.keyRestUs);
    rules.number("resendRatio", s.retryShare);
    rules.number("extraFree", s.retryFree);
    rules.number("resendSpanUs", s.retrySpanUs);
    rules.number("startCapacity", s.coldStart);
    rules.number("fallMultiple", s.coldMultiple);
    rules.number("fallUs", s.coldSpanUs);
    rules.number("warmAfterUs", s.warmAfterUs);

    const auto extra = at.child("extra");
    extra.number("coldBears", s.coldUnits);
    extra.number("meanUnits", s.meanUnits);
    extra.number("maxUnits", s.maxUnits);
    extra.number("withinShare", s.shareWorth);
    extra.number("spareWorth", s.spareWorth);
    extra.number("meterUs", s.meterUs);
    extra.number("shards", s.cells);
    if (extra.has("changesData")) {
        const auto writes = extra.list("changesData");
        for (std::size_t i = 0; i < writes.size() && i < s.classes.size(); ++i)
            if (writes[i].get(s.classes[i].writes)) extra.bad("changesData", "not a list of true or false");
    }
    if (s.host < 0 || s.host >= s.hosts) at.bad("me", "not below replicasOfMe");
    if (s.cells < 0 || s.cells > 100'000) extra.bad("shards", "out of range");
    return s;
}

HostList hostsFrom(const Node& at) {
    HostList hosts;
    bool full = false;
    at.flag("reset", full);
    hosts.list.kind = full ? ListKind::Full : ListKind::Delta;
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
            {{"up", NodeState::Ready}, {"draining", NodeState::Draining}, {"removed", NodeState::Gone}});
        Micros startedMs = 0;
        n.number("startedAtMs", startedMs);
        node.startedUs = startedMs * 1000;
        const bool gone = node.state == NodeState::Gone && !n.has("hostPort");
        hosts.addresses.push_back(gone ? Endpoint{}
                                       : parseEndpoint(n.text("hostPort"), n.pathOf("hostPort")));
        hosts.list.nodes.push_back(std::move(node));
    }
    return hosts;
}

}  // namespace

Endpoint parseEndpoint(std::string_view text, std::string_view field) {
    const auto bad = [&] {
        return Bad(fmt::format("{}: '{}' is not an IPv4 address and a port", field, text));
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

HostList parseHostList(std::string_view json) {
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
        for (const auto& peer : root.texts("peers")) c.peers.push_back(parseEndpoint(peer, "peers"));
    if (root.has("peer_listen")) c.peerListen = endpoint("peer_listen");
    if (root.has("peers_all")) c.peersAll = endpoint("peers_all");
    if (root.has("mgmt")) c.mgmt = endpoint("mgmt");
    if (root.has("limits")) {
        const auto limits = root.child("limits");
        limits.number("sockets", c.sockets);
        if (c.sockets < 32) limits.bad("sockets", "below 32");
        limits.number("memory_mb", c.memoryMb);
        if (c.memoryMb < 16) limits.bad("memory_mb", "below 16");
    }
    if (root.has("known")) c.known = hostsFrom(root.child("known"));
    c.known.list.kind = ListKind::Saved;
    const auto allowed = root.child("settings").child("allowed");
    allowed.number("connectTimeoutUs", c.connectTimeoutUs);
    allowed.number("connIdleUs", c.connIdleUs);
    return c;
}

void fromEnvironment(Config& c, const char* mgmt, const char* fd) {
    if (mgmt && c.mgmt.port == 0) c.mgmt = parseEndpoint(mgmt, "PROXY_MGMT");
    if (!fd) return;
    const std::string_view text(fd);
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), c.inherited);
    if (error != std::errc() || end != text.data() + text.size() || c.inherited < 3)
        throw Bad(fmt::format("PROXY_FD: '{}' is not a descriptor above 2", text));
}

std::string needRestart(const Config& running, const Config& fresh) {
    std::string fields;
    const auto note = [&](bool same, std::string_view field) {
        if (!same) fields += fmt::format("{}{}", fields.empty() ? "" : ", ", field);
    };
    auto settings = fresh.settings;
    settings.seed = running.settings.seed;  // new in each file
    note(running.name == fresh.name, "name");
    note(running.listen == fresh.listen, "listen");
    note(running.peerListen == fresh.peerListen, "peer_listen");
    note(running.mgmt == fresh.mgmt, "mgmt");
    note(running.memoryMb == fresh.memoryMb, "limits.memory_mb");
    note(running.settings == settings && running.connectTimeoutUs == fresh.connectTimeoutUs &&
             running.connIdleUs == fresh.connIdleUs,
         "settings");
    return fields;
}

std::string readFile(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) throw Bad(fmt::format("{}: cannot be read", path));
    return text.str();
}

}  // namespace wingproxy::config
