// Rate limits of plans, through the HTTP front.
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

TEST_CASE("a plan's limit holds: its burst is spent once, and the rest is rejected with Retry-After") {
    GatewayFixture fixture;
    LimitedVolumeLoad spent(fixture);
    std::vector<TestConnectionPtr> clients;
    for (int i = 0; i < 30; ++i) {  // six times what a second fills
        clients.push_back(fixture.client());
        clients.back()->send(LimitedVolumeLoad::request(100 + i).text());
    }
    fixture.waitUntil([&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const auto& c) { return c->hasReceived("\r\n\r\n"); });
    });
    for (const auto& client : clients) {
        spent.units += client->hasReceived(" 200 ") ? LimitedVolumeLoad::kUnits : 0;
        CHECK((client->hasReceived(" 200 ") ||
               (client->hasReceived("HTTP/1.1 503 ") && client->hasReceived("Retry-After: "))));
    }
    CHECK(spent.units < LimitedVolumeLoad::kUnits * 38);
    CHECK(spent.units <= spent.allowed());
}
