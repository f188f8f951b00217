// Whole processes with faults between them: what a fleet guarantees while datagrams are lost, late and
// duplicated, and how a front that is started again learns what it may spend.
#include "support/fleet_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

constexpr std::size_t kRequestsInFlightPerFront = 4;

/// Sends requests to all fronts as fast as they answer, until the condition holds. The limit of the volume
/// must hold at every moment.
void loadUntil(Fleet& fleet, const std::function<bool()>& condition, const char* what) {
    const auto mayAsk = [&] {
        return fleet.pendingConnections.size() < kRequestsInFlightPerFront * fleet.fronts.size();
    };
    fleet.fixture.waitUntil(
        [&] {
            fleet.collectResponses();
            REQUIRE(fleet.units() <= fleet.allowed());
            for (std::size_t i = 0; i < fleet.fronts.size() && mayAsk(); ++i)
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

/// 30% of datagrams lost, 10% duplicated, 2 ms of delay and up to 20 ms of jitter.
const Link kLossyLink{30, 10, std::chrono::milliseconds(2), std::chrono::milliseconds(20), false};

}  // namespace

// Guards the shutdown notice on real sockets: without it the front would wait until its leases have expired,
// as front 3, which died and knows of no earlier incarnation of front 0, never replies.
TEST_CASE(
    "fleet processes: after a graceful shutdown a front recovers by its notice, though a peer is dead and "
    "links "
    "lose 30%") {
    Fleet fleet(4, 5);
    fleet.relay->all(kLossyLink);
    startAll(fleet);
    loadUntilServed(fleet, 40);
    const auto openConnection = fleet.client(0);  // the front serves it until the time that its notice names
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
    // Not before front 3, which is a notice holder too, knows of this incarnation.
    CHECK(!fleet.fronts[0]->hasLogged("may_lend=true"));
    fleet.start(3);
    loadUntil(
        fleet, [&] { return fleet.countersShow(0, "may_lend=true"); }, "it lends again");
    CHECK(fleet.relay->counters().lost > 0);
    CHECK(fleet.relay->counters().doubled > 0);
    CHECK(fleet.relay->counters().largest <= 256);
}

TEST_CASE(
    "fleet processes: a front that is killed while a link is cut recovers by lease expiry, and the limit "
    "holds "
    "over all incarnations") {
    Fleet fleet(3, 7);
    fleet.relay->all(kLossyLink);
    startAll(fleet);
    loadUntilServed(fleet, 40);
    fleet.relay->link(0, 2).cut = true;  // one way: front 2 receives nothing from front 0
    for (int restart = 0; restart < 2; ++restart) {
        fleet.fronts[0]->signal(SIGKILL);
        loadUntil(
            fleet, [&] { return !fleet.fronts[0]->running(); }, "it is dead");
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
