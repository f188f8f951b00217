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
struct ListedNode {
    ListedNode() { update(node("n0", 0), kStart); }
    NodeInfo update(const NodeInfo& changed, Micros now) {
        return table.update(nodes({changed}, EndpointListKind::Delta), now).nodes.at(0);
    }
    std::optional<NodeInfo> override(bool drained, Micros at) {
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

TEST_CASE("endpoint table: a complete list replaces the one before") {
    for (const auto kind : {EndpointListKind::Full, EndpointListKind::Cached}) {
        EndpointTable table(kSlowStart);
        (void)table.update(nodes({node("n0", 0), node("n1", 1)}), kStart);
        (void)table.update(nodes({node("n1", 1)}, kind), kStart);
        CHECK(table.find("n0") == nullptr);
        CHECK(table.find("n1") != nullptr);
    }
}

TEST_CASE("endpoint table: a list that did not come changes nothing") {
    ListedNode listed;
    (void)listed.table.update(nodes({}, EndpointListKind::Unavailable), kStart);
    CHECK(listed.table.find("n0") != nullptr);
}

TEST_CASE("endpoint table: a drain counts from when it was first read, and ends with it") {
    ListedNode listed;
    CHECK(!listed.table.drainingSince("n0"));
    listed.update(node("n0", 0, NodeState::Draining), kStart + 1);
    listed.update(node("n0", 0, NodeState::Draining), kStart + 2);
    CHECK(listed.table.drainingSince("n0") == kStart + 1);
    listed.update(node("n0", 0), kStart + 3);
    CHECK(!listed.table.drainingSince("n0"));
}

TEST_CASE("endpoint table: a node that was removed stays ever-listed") {
    ListedNode listed;
    listed.update(node("n0", 0, NodeState::Removed), kStart);
    CHECK(listed.table.everListed("n0"));
    CHECK(!listed.table.everListed("n9"));
}

TEST_CASE("endpoint table: of the ever-listed ids the oldest are dropped first") {
    EndpointTable table(kSlowStart);
    for (std::size_t i = 0; i <= EndpointTable::kMaxEverListed; ++i)
        (void)table.update(nodes({node(std::string("n").append(std::to_string(i)), 0)}), kStart);
    CHECK(!table.everListed("n0"));
    CHECK(table.everListed("n1"));
}

TEST_CASE("endpoint table: a node under an administrative drain is draining in every list") {
    ListedNode listed;
    const auto changed = listed.override(true, kStart);
    REQUIRE(changed);
    CHECK(changed->state == NodeState::Draining);
    CHECK(listed.table.drainingSince("n0") == kStart);
    CHECK(listed.table.adminDrainedNodes() == 1);
    CHECK(listed.update(node("n0", 0), kStart + 1).state == NodeState::Draining);
    CHECK(listed.update(node("n0", 0, NodeState::Removed), kStart + 2).state == NodeState::Removed);
}

TEST_CASE("endpoint table: a node whose administrative drain ended has started then, or later by the list") {
    ListedNode listed;
    listed.override(true, kStart);
    const auto changed = listed.override(false, kStart + kSecond);
    REQUIRE(changed);
    CHECK(changed->state == NodeState::Ready);
    CHECK(changed->startedUs == kStart + kSecond);
    const Micros later = kStart + 2 * kSecond;
    CHECK(listed.update(node("n0", 0, NodeState::Ready, later), later).startedUs == later);
}

TEST_CASE("endpoint table: of two overrides the later one counts") {
    ListedNode listed;
    listed.override(true, kStart + 2);
    CHECK(!listed.override(false, kStart + 1));
    CHECK(!listed.override(false, kStart + 2));
    CHECK(listed.override(false, kStart + 3));
}

TEST_CASE("endpoint table: an override of a node that is not listed applies once a list names it") {
    EndpointTable table(kSlowStart);
    CHECK(!table.update(AdminOverrideChanged{"n0", {true, kStart}}, kStart));
    CHECK(table.overrides().contains("n0"));
    CHECK(table.update(nodes({node("n0", 0)}), kStart).nodes.at(0).state == NodeState::Draining);
}

TEST_CASE("endpoint table: an ended administrative drain is kept for slow start and a minute more") {
    ListedNode listed;
    listed.override(true, kStart);
    listed.override(false, kStart + 1);
    const Micros kept = kStart + 1 + kSlowStart + 60 * kSecond;
    listed.update(node("n0", 0), kept);
    CHECK(listed.table.overrides().size() == 1);
    listed.update(node("n0", 0), kept + 1);
    CHECK(listed.table.overrides().empty());
}

TEST_CASE("endpoint table: a snapshot has the list as discovery reported it, drains and ever-listed ids") {
    ListedNode listed;
    listed.override(true, kStart);
    StateSnapshot snapshot;
    listed.table.saveTo(snapshot);
    REQUIRE(snapshot.endpoints.size() == 1);
    CHECK(snapshot.endpoints[0].state == NodeState::Ready);
    CHECK(snapshot.drainingSince.at("n0") == kStart);
    EndpointTable successor(kSlowStart);
    successor.restoreFrom(snapshot);
    CHECK(successor.everListed("n0"));
    CHECK(successor.drainingSince("n0") == kStart);
    CHECK(successor.find("n0") == nullptr);
}
