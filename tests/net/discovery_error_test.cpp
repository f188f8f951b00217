// Tests of the discovery errors' texts, which log lines contain.
#include "net/discovery_error.h"

#include <doctest/doctest.h>

using namespace wingproxy;

TEST_CASE("discovery error: each error has the text that operations.md names") {
    using net::DiscoveryError;
    CHECK(net::describe(DiscoveryError::ConnectFailed) == "could not connect");
    CHECK(net::describe(DiscoveryError::TimedOut) == "timed out");
    CHECK(net::describe(DiscoveryError::ConnectionLost) == "connection lost");
    CHECK(net::describe(DiscoveryError::ResponseStalled) == "response stalled");
    CHECK(net::describe(DiscoveryError::UnexpectedStatus) == "status other than 200");
    CHECK(net::describe(DiscoveryError::MalformedList) == "malformed endpoint list");
}
