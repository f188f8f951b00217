#include "health/agent_check.h"

#include <doctest/doctest.h>

using namespace wingproxy;
using health::GatewayStatus;

TEST_CASE("health agent check: a ready gateway reports the unused share of its capacity as its weight") {
    CHECK(health::renderAgentLine({.ready = true, .utilization = 0.25}) == "ready up 75%\n");
    CHECK(health::renderAgentLine({.ready = true, .utilization = 0}) == "ready up 100%\n");
}

TEST_CASE("health agent check: the weight is at least 1%, as 0% is a drain") {
    CHECK(health::renderAgentLine({.ready = true, .utilization = 1}) == "ready up 1%\n");
    CHECK(health::renderAgentLine({.ready = true, .utilization = 1.2}) == "ready up 1%\n");
}

TEST_CASE("health agent check: a graceful shutdown is a drain") {
    CHECK(health::renderAgentLine({.ready = true, .draining = true}) == "drain\n");
    CHECK(health::renderAgentLine({.ready = false, .draining = true}) == "drain\n");
}

TEST_CASE("health agent check: without a node the gateway is down") {
    CHECK(health::renderAgentLine(GatewayStatus{}) == "down #no node is known\n");
}
