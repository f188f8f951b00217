// Real processes with an unreliable network between them: the limits hold while datagrams are lost, delayed
// and duplicated, and a restarted front recovers the right to spend and grant leases.
#include "support/fleet_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

constexpr std::size_t kRequestsInFlightPerFront = 4;

/// Sends requests to all fronts as fast as they answer, until the condition holds. Checks the limit of the
/// volume at every step.
void loadUntil(Fleet& fleet, const std::function<bool()>& condition, const char* what) {
    const auto maySend = [&] {
        return fleet.pendingConnections.size() < kRequestsInFlightPerFront * fleet.fronts.size();
    };
    fleet.fixture.waitUntil(
        [&] {
            fleet.collectResponses();
            REQUIRE(fleet.servedUnits() <= fleet.allowedUnits());
            for (std::size_t i = 0; i < fleet.fronts.size() && maySend(); ++i)
                if (fleet.fronts[i] && fleet.fronts[i]->running()) fleet.sendRequest(i);
            return condition();
        },
        what);
}

void startAll(Fleet& fleet) {
    for (std::size_t i = 0; i < fleet.fronts.size(); ++i)
        fleet.start(i);
    for (std::size_t i = 0; i < fleet.fronts.size(); ++i)
        fleet.waitUntilCountersShow(i, "may_lend=true");
}

void loadUntilServed(Fleet& fleet, int requests) {
    const auto target = fleet.served + std::size_t(requests);
    loadUntil(
        fleet, [&] { return fleet.served >= target; }, "the volume is served");
}

/// 30% of the datagrams are lost and 10% duplicated; 2 ms of delay and up to 20 ms of jitter.
const Link kLossyLink{30, 10, std::chrono::milliseconds(2), std::chrono::milliseconds(20), false};

}  // namespace

// Guards the shutdown notice on real sockets: without it, front 0 would wait until the longest lease duration
// has passed, because not all peers can confirm that they hold no lease of its earlier incarnation: front 3
// was killed and is started again only after front 0 has recovered.
TEST_CASE(
    "fleet processes: a front recovers by its shutdown notice while a peer is dead and links lose 30%") {
    Fleet fleet(4, 5);
    fleet.relay->setAllLinks(kLossyLink);
    startAll(fleet);
    loadUntilServed(fleet, 40);
    const auto openConnection = fleet.client(0);  // the front serves it until the time in its notice
    openConnection->send("GET /up HTTP/1.1\r\nHost: f\r\n\r\n");
    fleet.fixture.waitUntil([&] { return openConnection->hasReceived("up\n"); });
    fleet.fronts[3]->signal(SIGKILL);
    fleet.fronts[0]->signal(SIGTERM);
    loadUntil(
        fleet, [&] { return !fleet.fronts[0]->running(); }, "the front exits");
    CHECK(fleet.fronts[0]->status == 0);
    const auto restartedAt = std::chrono::steady_clock::now();
    fleet.start(0);
    fleet.waitUntilCountersShow(0, "recovered_by=shutdown_notice");
    CHECK(std::chrono::steady_clock::now() - restartedAt < std::chrono::seconds(10));
    // It may not lend before front 3, which is also one of its notice holders, has replied.
    CHECK(!fleet.fronts[0]->hasLogged("may_lend=true"));
    fleet.start(3);
    loadUntil(
        fleet, [&] { return fleet.countersShow(0, "may_lend=true"); }, "the front may lend again");
    CHECK(fleet.relay->counters().lost > 0);
    CHECK(fleet.relay->counters().duplicated > 0);
    CHECK(fleet.relay->counters().largest <= 256);
}

// The volume's limit is checked over all incarnations of the front together.
TEST_CASE(
    "fleet processes: a front killed while a link is cut recovers by lease expiry, and the limit holds") {
    Fleet fleet(3, 7);
    fleet.relay->setAllLinks(kLossyLink);
    startAll(fleet);
    loadUntilServed(fleet, 40);
    fleet.relay->link(0, 2).cut = true;  // one way: front 2 receives nothing from front 0
    for (int restart = 0; restart < 2; ++restart) {
        fleet.fronts[0]->signal(SIGKILL);
        loadUntil(
            fleet, [&] { return !fleet.fronts[0]->running(); }, "the front is dead");
        fleet.start(0);
        loadUntil(
            fleet, [&] { return fleet.countersShow(0, "recovered_by=lease_expired"); },
            "its leases have expired");
        CHECK(!fleet.fronts[0]->hasLogged("recovered_by=shutdown_notice"));
        CHECK(!fleet.fronts[0]->hasLogged("may_lend=true"));
    }
    loadUntilServed(fleet, 20);
    CHECK(fleet.rejected > 0);  // the limit was reached
}
