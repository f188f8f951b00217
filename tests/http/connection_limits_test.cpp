// The budget of client connections: eviction and closes under pressure.
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

// Otherwise clients that keep a connection after one request would use up the budget.
TEST_CASE("above 25% of the connection budget idle keep-alive connections are closed after 2 s") {
    Rig rig(testConfig(), 1, 12);
    std::vector<WirePtr> stayed;
    for (int i = 0; i < 4; ++i) {
        stayed.push_back(rig.client());
        stayed.back()->say("GET /up HTTP/1.1\r\n\r\n");
        rig.until([&] { return stayed.back()->has(" 200 "); });
    }
    const auto silent =
        rig.client();  // ends after 2 s in any case; one of the four brings the others down to 25% again
    const auto count = [&] {
        return std::count_if(stayed.begin(), stayed.end(), [](auto& w) { return w->ended; });
    };
    rig.until([&] { return silent->ended && count() >= 1; });
    CHECK(count() < 4);
    CHECK(rig.front.sessionManager().activeConnections() <= 3);
}

TEST_CASE("above 50% of the connection budget responses close their connections, except during a shutdown") {
    Rig rig(testConfig(), 1, 4);
    const auto first = rig.client(), second = rig.client(), third = rig.client();
    rig.until([&] { return rig.front.sessionManager().activeConnections() == 3; });
    first->say("GET /up HTTP/1.1\r\n\r\n");
    rig.until([&] { return first->has(" 200 ") && first->ended; });
    CHECK(first->has("Connection: close\r\n"));
    rig.front.setResponseDeadline(rig.engine.now() + 1'000'000);
    const auto fourth = rig.client();
    rig.until([&] { return rig.front.sessionManager().activeConnections() >= 3; });
    second->say("GET /up HTTP/1.1\r\n\r\n");
    rig.until([&] { return second->has(" 200 "); });
    CHECK(!second->has("Connection: close\r\n"));
}

// A client that finds all of its connections busy where no new one can be opened takes the front for dead.
TEST_CASE(
    "when no new connections come, a queued request is shed to keep connections free, and none in flight") {
    auto config = testConfig();
    for (auto& c : config.settings.classes)
        c.latencyObjectiveUs = 20'000'000;
    Rig rig(std::move(config));
    std::vector<WirePtr> clients;
    for (int i = 0; i < 6; ++i)
        clients.push_back(rig.client());
    rig.until([&] { return rig.front.sessionManager().activeConnections() == 6; });
    rig.front.expectNoNewConnections();
    for (int i = 0; i < 4; ++i) {  // the last is over the node's concurrency limit
        clients[i]->say(Ask{.id = fmt::format("{:016x}", i), .deadlineMs = 30'000}.text());
        rig.until([&] { return rig.front.counters().requests == std::uint64_t(i + 1); });
    }
    rig.until([&] { return clients[3]->has("HTTP/1.1 503 ") && clients[3]->has("Retry-After: "); });
    CHECK(!clients[3]->has("Connection: close"));
    CHECK(rig.front.counters().crowded >= 1);
    CHECK(rig.engine.openRequests() == 3);
    rig.nodeHas(fmt::format("{:016x}", 0))->say(ok("hecho"));
    rig.until([&] { return clients[0]->has("hecho"); });
}

TEST_CASE("partial requests are evicted for new clients") {
    Rig rig(testConfig(), 1, 2);
    const auto since = std::chrono::steady_clock::now();
    const auto first = rig.client(), second = rig.client();
    first->say("GET ");
    second->say("GET ");
    rig.until([&] { return rig.front.sessionManager().activeConnections() == 2; });
    const auto third = rig.client();
    third->say("GET /up HTTP/1.1\r\n\r\n");
    rig.until([&] { return third->has(" 200 "); });
    CHECK(std::chrono::steady_clock::now() - since < std::chrono::seconds(1));
}

TEST_CASE("at the connection limit the longest idle connection is evicted for a new client") {
    Rig rig(testConfig(), 1, 2);
    const auto first = rig.client(), second = rig.client();
    rig.until([&] { return rig.front.sessionManager().activeConnections() == 2; });
    const auto third = rig.client();
    third->say("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    rig.until([&] { return third->has("200") && first->ended; });
    CHECK(!second->ended);
}

TEST_CASE("a partial request that is evicted is rejected with a response") {
    Rig rig(testConfig(), 1, 1);
    const auto partial = rig.client();
    partial->say("GET /api HTTP/1.1\r\nReq-Id: ");
    rig.until([&] { return rig.front.sessionManager().activeConnections() == 1; });
    const auto next = rig.client();
    next->say("GET /up HTTP/1.1\r\n\r\n");
    rig.until([&] { return next->has(" 200 ") && partial->ended; });
    CHECK(partial->has("HTTP/1.1 503 "));
}
