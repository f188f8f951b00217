// Tests the events that are read from the simulator's messages.
#include "wire_events.h"

#include <gtest/gtest.h>

using namespace wingproxy;
using namespace wingproxy::wire;

namespace {

Settings settingsWithOneClassAndPlan() {
    Settings settings;
    settings.classes.push_back({"read"});
    settings.plans.push_back({"basic"});
    return settings;
}

/// The event of one line, which must be a T.
template <typename T>
T eventOf(const std::string& text, const EndpointListTable& endpointLists = {}) {
    const WireLine line(text, 1);
    return std::get<T>(
        parseEvent(*messageKind(line.name()), line, settingsWithOneClassAndPlan(), endpointLists));
}

template <typename T>
std::string errorOf(const std::string& text) {
    try {
        eventOf<T>(text);
    } catch (const WireError& error) {
        return error.field + ": " + error.reason;
    }
    return "";
}

TEST(WireEvents, AnUnknownMessageHasNoKind) {
    EXPECT_FALSE(messageKind("NOVELTY"));
    EXPECT_EQ(messageKind("UP"), MessageKind::HostStarted);
}

TEST(WireEvents, ARequestNamesItsClassAndPlan) {
    const auto request =
        eventOf<RequestReceived>(
            "INCOMING corr=42 qos=read grade=basic item=k validUntilUs=9 disk=v sizeUnits=2 liesIn=3 retry=1")
            .request;
    EXPECT_EQ(request.id, 42U);
    EXPECT_EQ(request.classIndex, ClassIndex(0));
    EXPECT_EQ(request.planIndex, PlanIndex(0));
    EXPECT_EQ(request.key, "k");
    EXPECT_EQ(request.volume, "v");
    EXPECT_EQ(request.deadlineUs, 9);
    EXPECT_EQ(request.units, 2);
    EXPECT_EQ(request.cell, CellIndex(3));
    EXPECT_TRUE(request.retry);
}

TEST(WireEvents, ARequestOfUnknownClassAndPlanHasNoIndices) {
    const auto request = eventOf<RequestReceived>("INCOMING corr=1 qos=x grade=y validUntilUs=9").request;
    EXPECT_TRUE(request.classIndex.isNone());
    EXPECT_TRUE(request.planIndex.isNone());
}

TEST(WireEvents, AnAttemptHasItsOutcomeAndLoadReport) {
    const auto attempt =
        eventOf<AttemptOutcome>("ENDED corr=1 shot=2 shelf=n code=no_room metrics=1.5,2 usePct=50");
    EXPECT_EQ(attempt.attempt, AttemptIndex(2));
    EXPECT_EQ(attempt.node, "n");
    EXPECT_EQ(attempt.outcome, Outcome::Rejected);
    EXPECT_EQ(attempt.loadPercent, 50);
    EXPECT_EQ(attempt.loadReport, (std::vector<double>{1.5, 2}));
    EXPECT_EQ(errorOf<AttemptOutcome>("ENDED corr=1 code=odd"), "code: unknown outcome \"odd\"");
    EXPECT_EQ(errorOf<AttemptOutcome>("ENDED corr=1 code=pass metrics=1,x"), "metrics: not a number: \"x\"");
}

TEST(WireEvents, AnEndpointListHasTheNodesOfItsNumber) {
    EndpointListTable lists;
    const WireLine line("ROSTER", 1);
    lists.at(3, line).push_back(parseNode(WireLine("ENTRY shelf=n readiness=Terminating cohort=2", 2)));
    const auto list = eventOf<EndpointListReceived>("REGISTRY how=total serial=8 setId=3", lists).list;
    EXPECT_EQ(list.kind, EndpointListKind::Full);
    EXPECT_EQ(list.version, 8);
    ASSERT_EQ(list.nodes.size(), 1U);
    EXPECT_EQ(list.nodes[0].state, NodeState::Draining);
    EXPECT_EQ(list.nodes[0].cell, CellIndex(2));
}

TEST(WireEvents, AnUnavailableEndpointListNeedsNoNumber) {
    EXPECT_EQ(eventOf<EndpointListReceived>("REGISTRY how=lost").list.kind, EndpointListKind::Unavailable);
    EXPECT_EQ(errorOf<EndpointListReceived>("REGISTRY how=incr setId=16"),
              "setId: 16 is not in the range 0 to 15");
}

TEST(WireEvents, TheOtherEventsHaveTheirFields) {
    const auto response = eventOf<ResponseStarted>("HEADERS corr=1 shot=2 shelf=n waitTimeUs=3");
    EXPECT_EQ(response.attempt, AttemptIndex(2));
    EXPECT_EQ(response.node, "n");
    EXPECT_EQ(response.elapsedUs, 3);
    EXPECT_EQ(eventOf<RequestCancelled>("ABORTED corr=4").id, 4U);
    EXPECT_EQ(eventOf<TimerFired>("ELAPSED label=5").token, 5U);
    EXPECT_EQ(eventOf<PeerMessageReceived>("HEARD from=1 raw=aGkgNw==").bytes, "hi 7");
    EXPECT_EQ(errorOf<PeerMessageReceived>("HEARD from=1 raw=x"), "raw: not base64");
    EXPECT_EQ(eventOf<HealthCheckCompleted>("STATUS_BACK shelf=n code=cut").outcome, Outcome::Reset);
}

}  // namespace
