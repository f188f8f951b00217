// The admin interface of a front on sockets: requests and responses, metrics of real traffic, and the
// administrative drain.
#include "admin/admin_server.h"

#include <deque>
#include <nlohmann/json.hpp>
#include <sstream>

#include "support/process_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

/// An admin server for the fixture's front, connected to the engine as app::Proxy does it.
struct AdminFixture {
    explicit AdminFixture(GatewayFixture& fixture)
        : fixture(fixture), server(fixture.io, {"127.0.0.1", 0}, handler()) {}
    ~AdminFixture() {
        server.sessionManager().closeListener();
        server.sessionManager().stop();
    }
    admin::AdminHandler handler() {
        return {[this] { return ready; }, [this] { return metrics(); },
                [this](const std::string& nodeId, bool drained) {
                    return fixture.engine.setAdminDrain(nodeId, drained);
                }};
    }
    admin::AdminMetrics metrics() const {
        admin::AdminMetrics metrics{{},
                                    fixture.engine.counters(),
                                    fixture.engine.openRequests(),
                                    fixture.engine.nodeCount(),
                                    fixture.engine.avoidedNodes()};
        for (const auto& info : fixture.engine.settings().classes)
            metrics.classNames.push_back(info.name);
        return metrics;
    }
    /// \return the complete response to one HTTP request
    std::string send(const std::string& request) {
        const auto connection = fixture.connect(server.sessionManager().address());
        connection->send(request);
        fixture.waitUntil([&] { return connection->ended; }, request.c_str());
        return connection->received;
    }
    std::string post(const std::string& path, const std::string& body) {
        return send(fmt::format("POST {} HTTP/1.1\r\nHost: f\r\nContent-Length: {}\r\n\r\n{}", path,
                                body.size(), body));
    }
    nlohmann::json vars() {
        const auto response = send("GET /_vars HTTP/1.1\r\nHost: f\r\n\r\n");
        return nlohmann::json::parse(response.substr(response.find("\r\n\r\n") + 4));
    }

    GatewayFixture& fixture;
    bool ready = true;
    admin::AdminServer server;
};

bool hasStatus(const std::string& response, int status) {
    return response.starts_with(fmt::format("HTTP/1.1 {} ", status));
}

}  // namespace

TEST_CASE("admin server: each request gets its response, and an invalid one a 4xx") {
    const struct {
        std::string request;
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
    GatewayFixture fixture;
    AdminFixture admin(fixture);
    for (const auto& c : cases) {
        const auto response = admin.send(c.request);
        CHECK_MESSAGE(hasStatus(response, c.status), c.request.substr(0, 60), " -> ", response);
    }
}

TEST_CASE("admin server: a front that no longer accepts requests is not ready") {
    GatewayFixture fixture;
    AdminFixture admin(fixture);
    admin.ready = false;
    CHECK(hasStatus(admin.send("GET /_ready HTTP/1.1\r\n\r\n"), 503));
}

TEST_CASE("admin server: requests are counted by how they ended") {
    GatewayFixture fixture;
    AdminFixture admin(fixture);
    admin.send("GET /_ready HTTP/1.1\r\n\r\n");
    admin.post("/_chunk-servers/detach", "s-9");
    admin.send("GET / HTTP/1.1\r\n\r\n");
    CHECK(admin.server.counters().executed == 1);
    CHECK(admin.server.counters().rejected == 1);
    CHECK(admin.server.counters().malformed == 1);
}

TEST_CASE("admin server: connections without a complete request are closed for one that sends its request") {
    GatewayFixture fixture;
    AdminFixture admin(fixture);
    std::vector<TestConnectionPtr> stuck;
    for (std::size_t i = 0; i < admin::kMaxConnections; ++i) {
        stuck.push_back(fixture.connect(admin.server.sessionManager().address()));
        if (i % 2) stuck.back()->send("POST /_chunk-servers/det");
    }
    fixture.waitUntil(
        [&] { return admin.server.sessionManager().activeConnections() == admin::kMaxConnections; });
    const auto start = std::chrono::steady_clock::now();
    CHECK(hasStatus(admin.send("GET /_ready HTTP/1.1\r\n\r\n"), 200));
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(1));
}

TEST_CASE("admin metrics: requests are counted by their final response, attempts when they are sent") {
    GatewayFixture fixture(testConfig(), 2);
    AdminFixture admin(fixture);
    const auto served = fixture.client();
    const auto retried = fixture.client();
    const auto cancelled = fixture.client();
    const auto rejected = fixture.client();
    served->send(PlatformRequest{.id = "0000000000000001"}.text());
    fixture.waitForNodeToReceive("0000000000000001")->send(ok("uno"));
    fixture.waitUntil([&] { return served->hasReceived("uno"); });
    retried->send(
        PlatformRequest{.id = "0000000000000002", .kind = "alta"}.text());  // two attempts, one response
    const auto firstAttempt = fixture.waitForNodeToReceive("0000000000000002");
    firstAttempt->clearReceived();
    firstAttempt->send(status(503, "Srv-Declined: 1\r\n"));
    fixture.waitForNodeToReceive("0000000000000002")->send(ok("dos"));
    fixture.waitUntil([&] { return retried->hasReceived("dos"); });
    cancelled->send(PlatformRequest{.id = "0000000000000003"}.text());
    fixture.waitForNodeToReceive("0000000000000003");
    CHECK(admin.vars()["open_requests"] == 1);
    cancelled->close();
    fixture.waitUntil([&] { return fixture.engine.openRequests() == 0; });
    // No node has shard 3, so the request is rejected without an attempt.
    rejected->send(PlatformRequest{.id = "0000000000000004", .deadlineMs = 60, .shard = 3}.text());
    fixture.waitUntil([&] { return rejected->hasReceived("HTTP/1.1 503"); });
    const auto vars = admin.vars();
    CHECK(vars["fulfilled"] == nlohmann::json{{"lectura", 1}, {"alta", 1}});
    CHECK(vars["throttled"] == nlohmann::json{{"lectura", 1}, {"alta", 0}});
    CHECK(vars["faulted"] == nlohmann::json{{"lectura", 0}, {"alta", 0}});
    CHECK(vars["relayed"] == 4);
    CHECK(vars["open_requests"] == 0);
    CHECK(vars["registry_entries"] == 2);
    CHECK(vars["out_of_rotation"] == 0);
}

TEST_CASE(
    "administrative drain: a node gets no new requests until the drain ends, even if the endpoint list has "
    "it as up") {
    constexpr Micros kDrainGraceUs = 20'000;
    auto config = testConfig();
    config.settings.drainGraceUs = kDrainGraceUs;
    GatewayFixture fixture(std::move(config));
    AdminFixture admin(fixture);
    const auto before = fixture.client();
    before->send(PlatformRequest{.id = "0000000000000001"}.text());
    const auto inFlight = fixture.waitForNodeToReceive("0000000000000001");
    CHECK(hasStatus(admin.post("/_chunk-servers/detach", "s-0"), 200));
    CHECK(hasStatus(admin.post("/_chunk-servers/detach", "s-0"), 200));  // repeating it changes nothing
    CHECK(admin.vars()["out_of_rotation"] == 1);
    inFlight->send(ok("uno"));  // requests in flight are completed
    fixture.waitUntil([&] { return before->hasReceived("uno"); });
    const auto graceEnd =
        fixture.engine.now() + kDrainGraceUs;  // until then the only node of a cell is still used
    fixture.waitUntil([&] { return fixture.engine.now() > graceEnd; });
    fixture.announceNodeState("s-0", "draining");
    fixture.announceNodeState("s-0", "up");
    const auto during = fixture.client();
    during->send(PlatformRequest{.id = "0000000000000002", .deadlineMs = 200}.text());
    fixture.waitUntil([&] { return during->hasReceived("HTTP/1.1 503"); });
    CHECK(hasStatus(admin.post("/_chunk-servers/attach", "s-0"), 200));
    const auto after = fixture.client();
    after->send(PlatformRequest{.id = "0000000000000003"}.text());
    fixture.waitForNodeToReceive("0000000000000003")->send(ok("tres"));
    fixture.waitUntil([&] { return after->hasReceived("tres"); });
    CHECK(admin.vars()["out_of_rotation"] == 0);
}

// A benchmark, skipped unless requested: `wingproxy_front_tests --no-skip -tc="measure*"`. Its results are in
// docs/bodies.md.
TEST_CASE("measure: processor time of a connection that sends no request and is closed" * doctest::skip()) {
    Platform platform(192);
    platform.fixture.node().onConnection = [](TestConnection& connection) {
        connection.autoResponse = ok("x");
    };
    auto& front = platform.startReady();
    const auto processorSeconds = [&] {  // user and system time of the process
        std::ifstream in(fmt::format("/proc/{}/stat", front.pid));
        const std::string all(std::istreambuf_iterator<char>(in), {});
        std::istringstream fields(all.substr(all.rfind(')') + 2));
        std::string skipped;
        for (int i = 0; i < 11; ++i)
            fields >> skipped;
        double user = 0;
        double system = 0;
        fields >> user >> system;
        return (user + system) / double(sysconf(_SC_CLK_TCK));
    };
    const auto start = std::chrono::steady_clock::now();
    const auto elapsedSeconds = [&] {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    };
    const auto before = processorSeconds();
    constexpr int kConnections = 20'000;
    constexpr std::size_t kMaxOpenConnections = 400;
    std::deque<tcp::socket> connections;
    int served = 0;
    for (int i = 0; i < kConnections; ++i) {
        connections.emplace_back(platform.fixture.io);
        connections.back().connect(platform.listening.local_endpoint());
        if (connections.size() > kMaxOpenConnections) connections.pop_front();
        if (i % 200 != 199) continue;
        platform.serve(platform.client(), fmt::format("{:016x}", i));  // a complete request in between
        ++served;
    }
    const auto used = processorSeconds() - before;
    MESSAGE(kConnections, " connections in ", elapsedSeconds(), " s, ", served,
            " requests served among them: ", used / kConnections * 1e6, " us of processor time each");
}
