// Which parts of the gateway the counters' log lines come from.
#include "app/metrics_snapshot.h"

#include <string>
#include <string_view>
#include <vector>

#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

/// A gateway with its HTTP and rsync fronts, without admin server and hot restart.
struct Gateway {
    Rig rig{testConfig(), 1};
    app::ConfigReload reload{"", rig.config, [](const config::Config&) {}, rig.logger};
    app::MetricsSources sources{rig.engine, rig.front, &rig.rsync, rig.pool, rig.discovery,
                                nullptr,    nullptr,   reload,     rig.peers};

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

TEST_CASE("metrics snapshot: each part that there is has one group, in the order of the log lines") {
    const Gateway gateway;
    CHECK(gateway.groupNames() == Names{"requests", "attempts", "http", "rsync", "nodes", "discovery",
                                        "tables", "fleet", "reloads", "peers"});
}

TEST_CASE("metrics snapshot: a part that is not configured has none") {
    Gateway gateway;
    gateway.sources.rsync = nullptr;
    CHECK(gateway.groupNames() ==
          Names{"requests", "attempts", "http", "nodes", "discovery", "tables", "fleet", "reloads", "peers"});
}

TEST_CASE("metrics snapshot: the counters are those of the moment of the call") {
    Gateway gateway;
    CHECK(gateway.line("requests").starts_with("counters requests: taken=0 delivered=0 "));
    gateway.rig.node().greets = [](Wire& wire) { wire.reply = ok("x"); };
    const auto client = gateway.rig.client();
    client->say(Ask{}.text());
    gateway.rig.until([&] { return client->has(" 200 "); });
    CHECK(gateway.line("requests").starts_with("counters requests: taken=1 delivered=1 "));
    CHECK(gateway.line("nodes") == "counters nodes: connections=1 opened=1 reused=0");
}
