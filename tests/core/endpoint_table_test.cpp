#include "core/endpoint_table.h"

#include <doctest/doctest.h>

#include <string>

#include "support/policy_support.h"

using namespace wingproxy;
using namespace wingproxy::core;
using test::kSecond;
using test::kStart;
using test::node;
using test::nodes;

namespace {

constexpr Micros kSlowStart = 10 * kSecond;

/// A table that lists n0 as ready.
struct TableWithNode {
    TableWithNode() { update(node("n0", 0), kStart); }
    NodeInfo update(const NodeInfo& changed, Micros now) {
        return table.update(nodes({changed}, EndpointListKind::Delta), now).nodes.at(0);
    }
    std::optional<NodeInfo> setOverride(bool drained, Micros at) {
        return table.update(AdminOverrideChanged{"n0", {drained, at}}, at);
    }
    EndpointTable table{kSlowStart};
};

}  // namespace

TEST_CASE("endpoint table: a delta changes only the nodes that it names") {
    EndpointTable table(kSlowStart);
    (void)table.update(nodes({node("n0", 0), node("n1", 1)}), kStart);
    (void)table.update(nodes({node("n1", 1, NodeState::Removed)}, EndpointListKind::Delta), kStart);
    CHECK(table.find("n0") != nullptr);
    CHECK(table.find("n1") == nullptr);
}

TEST_CASE("endpoint table: a full or cached list replaces the previous one") {
    for (const auto kind : {EndpointListKind::Full, EndpointListKind::Cached}) {
        EndpointTable table(kSlowStart);
        (void)table.update(nodes({node("n0", 0), node("n1", 1)}), kStart);
        (void)table.update(nodes({node("n1", 1)}, kind), kStart);
        CHECK(table.find("n0") == nullptr);
        CHECK(table.find("n1") != nullptr);
    }
}

TEST_CASE("endpoint table: an unavailable list changes nothing") {
    TableWithNode fixture;
    (void)fixture.table.update(nodes({}, EndpointListKind::Unavailable), kStart);
    CHECK(fixture.table.find("n0") != nullptr);
}

TEST_CASE("endpoint table: a drain is dated from when it was first read until it ends") {
    TableWithNode fixture;
    CHECK(!fixture.table.drainingSince("n0"));
    fixture.update(node("n0", 0, NodeState::Draining), kStart + 1);
    fixture.update(node("n0", 0, NodeState::Draining), kStart + 2);
    CHECK(fixture.table.drainingSince("n0") == kStart + 1);
    fixture.update(node("n0", 0), kStart + 3);
    CHECK(!fixture.table.drainingSince("n0"));
}

TEST_CASE("endpoint table: a node that was removed stays ever-listed") {
    TableWithNode fixture;
    fixture.update(node("n0", 0, NodeState::Removed), kStart);
    CHECK(fixture.table.everListed("n0"));
    CHECK(!fixture.table.everListed("n9"));
}

TEST_CASE("endpoint table: the oldest ever-listed ids are dropped first") {
    EndpointTable table(kSlowStart);
    for (std::size_t i = 0; i <= EndpointTable::kMaxEverListed; ++i)
        (void)table.update(nodes({node(std::string("n").append(std::to_string(i)), 0)}), kStart);
    CHECK(!table.everListed("n0"));
    CHECK(table.everListed("n1"));
}

TEST_CASE("endpoint table: a node under an administrative drain is draining in every list") {
    TableWithNode fixture;
    const auto changed = fixture.setOverride(true, kStart);
    REQUIRE(changed);
    CHECK(changed->state == NodeState::Draining);
    CHECK(fixture.table.drainingSince("n0") == kStart);
    CHECK(fixture.table.adminDrainedNodes() == 1);
    CHECK(fixture.update(node("n0", 0), kStart + 1).state == NodeState::Draining);
    CHECK(fixture.update(node("n0", 0, NodeState::Removed), kStart + 2).state == NodeState::Removed);
}

TEST_CASE("endpoint table: a node starts when its administrative drain ends, or later if the list says so") {
    TableWithNode fixture;
    fixture.setOverride(true, kStart);
    const auto changed = fixture.setOverride(false, kStart + kSecond);
    REQUIRE(changed);
    CHECK(changed->state == NodeState::Ready);
    CHECK(changed->startedUs == kStart + kSecond);
    const Micros later = kStart + 2 * kSecond;
    CHECK(fixture.update(node("n0", 0, NodeState::Ready, later), later).startedUs == later);
}

TEST_CASE("endpoint table: of two overrides the later one applies") {
    TableWithNode fixture;
    fixture.setOverride(true, kStart + 2);
    CHECK(!fixture.setOverride(false, kStart + 1));
    CHECK(!fixture.setOverride(false, kStart + 2));
    CHECK(fixture.setOverride(false, kStart + 3));
}

TEST_CASE("endpoint table: an override of an unlisted node applies when a list names the node") {
    EndpointTable table(kSlowStart);
    CHECK(!table.update(AdminOverrideChanged{"n0", {true, kStart}}, kStart));
    CHECK(table.overrides().contains("n0"));
    CHECK(table.update(nodes({node("n0", 0)}), kStart).nodes.at(0).state == NodeState::Draining);
}

TEST_CASE("endpoint table: an ended administrative drain is kept for 60 s after slow start") {
    TableWithNode fixture;
    fixture.setOverride(true, kStart);
    fixture.setOverride(false, kStart + 1);
    const Micros kept = kStart + 1 + kSlowStart + 60 * kSecond;
    fixture.update(node("n0", 0), kept);
    CHECK(fixture.table.overrides().size() == 1);
    fixture.update(node("n0", 0), kept + 1);
    CHECK(fixture.table.overrides().empty());
}

TEST_CASE("endpoint table: a snapshot holds the reported list, the drains and the ever-listed ids") {
    TableWithNode fixture;
    fixture.setOverride(true, kStart);
    StateSnapshot snapshot;
    fixture.table.saveTo(snapshot);
    REQUIRE(snapshot.endpoints.size() == 1);
    CHECK(snapshot.endpoints[0].state == NodeState::Ready);
    CHECK(snapshot.drainingSince.at("n0") == kStart);
    EndpointTable successor(kSlowStart);
    successor.restoreFrom(snapshot);
    CHECK(successor.everListed("n0"));
    CHECK(successor.drainingSince("n0") == kStart);
    CHECK(successor.find("n0") == nullptr);
}
