// What operators call: the calls as a table, the metrics against what clients and nodes saw, nodes out by
// hand.
#include <deque>
#include <nlohmann/json.hpp>
#include <sstream>

#include "admin/admin_server.h"
#include "support/process_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

// The operators' server beside a front, as main.cpp wires it.
struct Office {
    explicit Office(Rig& rig)
        : rig(rig),
          calls(rig.io, {"127.0.0.1", 0},
                {[this] { return ready; },
                 [&rig] {
                     admin::AdminMetrics f{{},
                                           rig.engine.counters(),
                                           rig.engine.openRequests(),
                                           rig.engine.nodeCount(),
                                           rig.engine.avoidedNodes()};
                     for (const auto& c : rig.engine.settings().classes)
                         f.classes.push_back(c.name);
                     return f;
                 },
                 [&rig](const std::string& node, bool out) { return rig.engine.setAdminDrain(node, out); }}) {
    }
    ~Office() { calls.sessionManager().closeListener(), calls.sessionManager().stop(); }
    // The whole answer to one call.
    std::string call(const std::string& text) {
        const auto caller = rig.connect(calls.sessionManager().address());
        caller->say(text);
        rig.until([&] { return caller->ended; }, text.c_str());
        return caller->got;
    }
    std::string post(const std::string& path, const std::string& body) {
        return call(fmt::format("POST {} HTTP/1.1\r\nHost: f\r\nContent-Length: {}\r\n\r\n{}", path,
                                body.size(), body));
    }
    nlohmann::json vars() {
        const auto got = call("GET /_vars HTTP/1.1\r\nHost: f\r\n\r\n");
        return nlohmann::json::parse(got.substr(got.find("\r\n\r\n") + 4));
    }
    Rig& rig;
    bool ready = true;
    admin::AdminServer calls;
};

bool says(const std::string& answer, int status) {
    return answer.starts_with(fmt::format("HTTP/1.1 {} ", status));
}

}  // namespace

TEST_CASE("calls: each has its yes or no, anything else gets a 4xx and the connection ends") {
    const struct {
        std::string text;
        int status;
    } cases[] = {
        {"GET /_ready HTTP/1.1\r\nHost: f\r\n\r\n", 200},
        {"GET /_ready HTTP/1.0\r\n\r\n", 200},
        {"GET /_ready?verbose HTTP/1.1\r\n\r\n", 200},
        {"GET /_vars HTTP/1.1\r\n\r\n", 200},
        {"POST /_chunk-servers/detach HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-0", 200},
        {"POST /_chunk-servers/detach HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ns-0\r\n0\r\n\r\n",
         200},
        {"POST /_chunk-servers/attach HTTP/1.1\r\nContent-Length: 5\r\n\r\ns-0\r\n", 200},
        {"POST /_chunk-servers/attach HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-9", 404},
        {"POST /_chunk-servers/detach HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-9", 404},
        {"POST /_chunk-servers/detach HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400},
        {"POST /_chunk-servers/detach HTTP/1.1\r\nContent-Length: 300\r\n\r\n" + std::string(300, 'a'), 413},
        {"GET /_chunk-servers/detach HTTP/1.1\r\n\r\n", 405},
        {"POST /_ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405},
        {"GET / HTTP/1.1\r\n\r\n", 404},
        {"GET /_ready HTTP/1.1\r\nX: " + std::string(9000, 'a') + "\r\n\r\n", 431},
        {"hello\r\n\r\n", 400},
    };
    Rig rig;
    Office office(rig);
    for (const auto& c : cases) {
        const auto got = office.call(c.text);
        CHECK_MESSAGE(says(got, c.status), c.text.substr(0, 60), " -> ", got);
    }
    office.ready = false;
    CHECK(says(office.call("GET /_ready HTTP/1.1\r\n\r\n"), 503));
}

// Callers that hang must not keep another one waiting, and they end by themselves.
TEST_CASE("callers that never finish their call make room for one that does") {
    Rig rig;
    Office office(rig);
    std::vector<WirePtr> hanging;
    for (std::size_t i = 0; i < admin::kMostCallers; ++i) {
        hanging.push_back(rig.connect(office.calls.sessionManager().address()));
        if (i % 2) hanging.back()->say("POST /_chunk-servers/det");
    }
    rig.until([&] { return office.calls.sessionManager().connections() == admin::kMostCallers; });
    const auto since = std::chrono::steady_clock::now();
    CHECK(says(office.call("GET /_ready HTTP/1.1\r\n\r\n"), 200));
    CHECK(std::chrono::steady_clock::now() - since < std::chrono::seconds(1));
}

TEST_CASE("the metrics are what clients and nodes saw: served, refused, failed, left, tried again") {
    Rig rig(baseConfig(), 2);
    Office office(rig);
    const auto served = rig.client(), again = rig.client(), left = rig.client(), failed = rig.client();
    served->say(Ask{.id = "0000000000000001"}.text());
    rig.nodeHas("0000000000000001")->say(ok("uno"));
    rig.until([&] { return served->has("uno"); });
    again->say(Ask{.id = "0000000000000002", .kind = "alta"}.text());  // two attempts, one answer
    const auto first = rig.nodeHas("0000000000000002");
    first->drop(), first->say(status(503, "Srv-Declined: 1\r\n"));
    rig.nodeHas("0000000000000002")->say(ok("dos"));
    rig.until([&] { return again->has("dos"); });
    left->say(Ask{.id = "0000000000000003"}.text());
    rig.nodeHas("0000000000000003");
    CHECK(office.vars()["open_requests"] == 1);
    left->close();
    rig.until([&] { return rig.engine.openRequests() == 0; });
    // No node holds shard 3: refused, as nothing ran.
    failed->say(Ask{.id = "0000000000000004", .deadlineMs = 60, .shard = 3}.text());
    rig.until([&] { return failed->has("HTTP/1.1 503"); });
    const auto vars = office.vars();
    CHECK(vars["fulfilled"] == nlohmann::json{{"lectura", 1}, {"alta", 1}});
    CHECK(vars["throttled"] == nlohmann::json{{"lectura", 1}, {"alta", 0}});
    CHECK(vars["faulted"] == nlohmann::json{{"lectura", 0}, {"alta", 0}});
    CHECK(vars["relayed"] == 4);
    CHECK(vars["open_requests"] == 0);
    CHECK(vars["registry_entries"] == 2);
    CHECK(vars["out_of_rotation"] == 0);
}

TEST_CASE("a node out by hand gets nothing new though lists name it, and is used again after the call back") {
    auto config = baseConfig();
    config.settings.drainGraceUs = 20'000;
    Rig rig(std::move(config));
    Office office(rig);
    const auto before = rig.client();
    before->say(Ask{.id = "0000000000000001"}.text());
    const auto open = rig.nodeHas("0000000000000001");
    CHECK(says(office.post("/_chunk-servers/detach", "s-0"), 200));
    CHECK(says(office.post("/_chunk-servers/detach", "s-0"), 200));  // may come more than once
    CHECK(office.vars()["out_of_rotation"] == 1);
    open->say(ok("uno"));  // what it holds it completes
    rig.until([&] { return before->has("uno"); });
    const auto graceEnds = rig.engine.now() + 20'000;  // until then a cell's only node serves on
    rig.until([&] { return rig.engine.now() > graceEnds; });
    rig.tellState("s-0", "draining");
    rig.tellState("s-0", "up");  // restarted meanwhile: the list's word does not end the ban
    const auto during = rig.client();
    during->say(Ask{.id = "0000000000000002", .deadlineMs = 200}.text());
    rig.until([&] { return during->has("HTTP/1.1 503"); });
    CHECK(says(office.post("/_chunk-servers/attach", "s-0"), 200));
    const auto after = rig.client();
    after->say(Ask{.id = "0000000000000003"}.text());
    rig.nodeHas("0000000000000003")->say(ok("tres"));
    rig.until([&] { return after->has("tres"); });
    CHECK(office.vars()["out_of_rotation"] == 0);
}

// A measurement, not a check: `wingproxy_front_tests --no-skip -tc="measure*"`. docs/bodies.md has its
// metrics.
TEST_CASE("measure: processor time of a connection that asks nothing and is turned away" * doctest::skip()) {
    Platform platform(192);
    platform.rig.node().greets = [](Wire& wire) { wire.reply = ok("x"); };
    auto& front = platform.startReady();
    const auto seconds = [&] {  // user and system, of the process
        std::ifstream in(fmt::format("/proc/{}/stat", front.pid));
        const std::string all(std::istreambuf_iterator<char>(in), {});
        std::istringstream fields(all.substr(all.rfind(')') + 2));
        std::string skipped;
        for (int i = 0; i < 11; ++i)
            fields >> skipped;
        double user = 0, system = 0;
        fields >> user >> system;
        return (user + system) / double(sysconf(_SC_CLK_TCK));
    };
    const auto since = std::chrono::steady_clock::now();
    const auto spent = [&] {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - since).count();
    };
    const auto before = seconds();
    constexpr int kConnections = 20'000, kOpen = 400;
    std::deque<tcp::socket> crowd;
    int served = 0;
    for (int i = 0; i < kConnections; ++i) {
        crowd.emplace_back(platform.rig.io);
        crowd.back().connect(platform.listening.local_endpoint());
        if (crowd.size() > kOpen) crowd.pop_front();
        if (i % 200 != 199) continue;
        platform.serve(platform.client(), fmt::format("{:016x}", i));  // a true request in between
        ++served;
    }
    const auto used = seconds() - before;
    MESSAGE(kConnections, " connections in ", spent(), " s, ", served,
            " requests served among them: ", used / kConnections * 1e6, " us of processor time each");
}
