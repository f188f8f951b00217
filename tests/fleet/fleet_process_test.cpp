// Whole processes with faults between them: what a fleet keeps to while datagrams are lost, late and doubled,
// and how a front that is started again learns what it may spend.
#include "support/fleet_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

// All fronts are asked as fast as they answer, until it is so; the limit holds at every moment.
void askUntil(Fleet& fleet, const std::function<bool()>& so, const char* what) {
    fleet.rig.until(
        [&] {
            fleet.settle();
            REQUIRE(fleet.units() <= fleet.allowed());
            for (std::size_t i = 0; i < fleet.fronts.size() && fleet.asking.size() < 4 * fleet.fronts.size();
                 ++i)
                if (fleet.fronts[i] && fleet.fronts[i]->running()) fleet.ask(i);
            return so();
        },
        what);
}

void startAll(Fleet& fleet) {
    for (std::size_t i = 0; i < fleet.fronts.size(); ++i)
        fleet.start(i);
    for (std::size_t i = 0; i < fleet.fronts.size(); ++i)
        fleet.untilFleetSays(i, "lends=true");
}

const Link kBad{30, 10, std::chrono::milliseconds(2), std::chrono::milliseconds(20), false};

}  // namespace

// Guards the shutdown notice on real sockets: without it the front would wait for its lease, as front 3,
// which died and knows of no front 0 before it, never answers.
TEST_CASE(
    "processes: a front that left in order is clear by its shutdown notice, though a peer is dead and links "
    "lose "
    "30%") {
    Fleet fleet(4, 5);
    fleet.relay->all(kBad);
    startAll(fleet);
    askUntil(
        fleet, [&] { return fleet.served >= 40; }, "the volume is served");
    const auto held = fleet.client(0);  // keeps the leaving front up to the time that it named
    held->say("GET /up HTTP/1.1\r\nHost: f\r\n\r\n");
    fleet.rig.until([&] { return held->has("up\n"); });
    fleet.fronts[3]->signal(SIGKILL);
    fleet.fronts[0]->signal(SIGTERM);
    askUntil(
        fleet, [&] { return !fleet.fronts[0]->running(); }, "the front leaves");
    CHECK(fleet.fronts[0]->status == 0);
    const auto asked = std::chrono::steady_clock::now();
    fleet.start(0);
    fleet.untilFleetSays(0, "clear_by=shutdown_notice");
    CHECK(std::chrono::steady_clock::now() - asked < std::chrono::seconds(10));
    CHECK(!fleet.fronts[0]->said(
        "lends=true"));  // not before front 3, which keeps shutdown notices too, knows of it
    fleet.start(3);
    askUntil(
        fleet, [&] { return fleet.says(0, "lends=true"); }, "it lends again");
    CHECK(fleet.relay->counters().lost > 0);
    CHECK(fleet.relay->counters().doubled > 0);
    CHECK(fleet.relay->counters().largest <= 256);
}

TEST_CASE(
    "processes: killed while a link is cut, a front waits for its lease, and the limit holds over all "
    "lives") {
    Fleet fleet(3, 7);
    fleet.relay->all(kBad);
    startAll(fleet);
    askUntil(
        fleet, [&] { return fleet.served >= 40; }, "the volume is served");
    fleet.relay->link(0, 2).cut = true;  // one way: front 2 hears nothing of front 0
    for (int life = 0; life < 2; ++life) {
        fleet.fronts[0]->signal(SIGKILL);
        askUntil(
            fleet, [&] { return !fleet.fronts[0]->running(); }, "it is dead");
        fleet.start(0);
        askUntil(
            fleet, [&] { return fleet.says(0, "clear_by=lease"); }, "the lease is over");
        CHECK(!fleet.fronts[0]->said("clear_by=shutdown_notice"));
        CHECK(!fleet.fronts[0]->said("lends=true"));
    }
    const auto before = fleet.served;
    askUntil(
        fleet, [&] { return fleet.served >= before + 20; }, "it goes on");
    CHECK(fleet.refused > 0);  // the limit did bind
}
