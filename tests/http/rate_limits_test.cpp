// Rate limits of plans through the platform's front.
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

TEST_CASE("a plan's limit holds: its burst is spent once, and the rest is rejected with Retry-After") {
    Rig rig;
    Spending spent(rig);
    std::vector<WirePtr> clients;
    for (int i = 0; i < 30; ++i) {  // six times what a second fills
        clients.push_back(rig.client());
        clients.back()->say(Spending::ask(100 + i).text());
    }
    rig.until([&] {
        return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->has("\r\n\r\n"); });
    });
    for (const auto& client : clients) {
        spent.units += client->has(" 200 ") ? Spending::kUnits : 0;
        CHECK((client->has(" 200 ") || (client->has("HTTP/1.1 503 ") && client->has("Retry-After: "))));
    }
    CHECK(spent.units < Spending::kUnits * 38);
    CHECK(spent.units <= spent.allowed());
}
