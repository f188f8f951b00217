// Which parts of the gateway have a group of metrics, and in which order.
#include "app/metrics_snapshot.h"

#include <string>
#include <string_view>
#include <vector>

#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

/// A gateway with HTTP and rsync fronts, but without an admin server and hot restart.
struct Gateway {
    GatewayFixture fixture{testConfig(), 1};
    app::ConfigReload reload{"", fixture.config, [](const config::Config&) {}, fixture.logger};
    app::MetricsSources sources{fixture.engine,    fixture.front, &fixture.rsync, fixture.pool,
                                fixture.discovery, nullptr,       nullptr,        reload,
                                fixture.peers};

    [[nodiscard]] std::vector<std::string_view> groupNames() const {
        std::vector<std::string_view> names;
        for (const auto& group : app::collectMetrics(sources))
            names.push_back(group.name);
        return names;
    }
    [[nodiscard]] std::string line(std::string_view groupName) const {
        for (const auto& group : app::collectMetrics(sources))
            if (group.name == groupName) return app::formatLine(group);
        return {};
    }
};

using Names = std::vector<std::string_view>;

}  // namespace

TEST_CASE("metrics snapshot: each existing part has one group, in the order of the log lines") {
    const Gateway gateway;
    CHECK(gateway.groupNames() == Names{"requests", "answers_without_node", "attempts", "slow_start", "http",
                                        "rsync", "nodes", "discovery", "tables", "fleet", "reloads",
                                        "peers"});
}

TEST_CASE("metrics snapshot: a part that is not configured has no group") {
    Gateway gateway;
    gateway.sources.rsync = nullptr;
    CHECK(gateway.groupNames() == Names{"requests", "answers_without_node", "attempts", "slow_start", "http",
                                        "nodes", "discovery", "tables", "fleet", "reloads", "peers"});
}

TEST_CASE("metrics snapshot: each call reads the current counters") {
    Gateway gateway;
    CHECK(gateway.line("requests").starts_with("counters requests: taken=0 delivered=0 "));
    gateway.fixture.node().onConnection = [](TestConnection& connection) {
        connection.autoResponse = ok("x");
    };
    const auto client = gateway.fixture.client();
    client->send(PlatformRequest{}.text());
    gateway.fixture.waitUntil([&] { return client->hasReceived(" 200 "); });
    CHECK(gateway.line("requests").starts_with("counters requests: taken=1 delivered=1 "));
    CHECK(gateway.line("nodes") == "counters nodes: connections=1 opened=1 reused=0");
}
