// Timeouts of client connections and thresholds of the connection budget.
#include "http/client_limits.h"

#include <doctest/doctest.h>

using namespace wingproxy;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("client limits: connections are kept 60 s after a request, and 2 s without one or under pressure") {
    CHECK(http::idleTimeout(true, false) == seconds(60));
    CHECK(http::idleTimeout(true, true) == seconds(2));
    CHECK(http::idleTimeout(false, false) == seconds(2));
}

TEST_CASE("client limits: a request is overdue 2.7 s after its first byte, later with each 16 KiB of body") {
    CHECK(!http::isRequestOverdue(milliseconds(2'699), milliseconds(0), 0));
    CHECK(http::isRequestOverdue(milliseconds(2'700), milliseconds(0), 0));
    CHECK(!http::isRequestOverdue(milliseconds(3'699), milliseconds(0), 16 * 1024));
    CHECK(http::isRequestOverdue(milliseconds(3'700), milliseconds(0), 16 * 1024));
}

TEST_CASE("client limits: a request without a new byte for 2.7 s is overdue, however long its body is") {
    CHECK(http::isRequestOverdue(milliseconds(2'700), milliseconds(2'700), 60 * 1024));
}

TEST_CASE("client limits: keep-alive is shortened above a quarter of the budget and disabled above a half") {
    CHECK(!http::isKeepAliveShortened(3, 12));
    CHECK(http::isKeepAliveShortened(4, 12));
    CHECK(!http::isKeepAliveDisabled(6, 12));
    CHECK(http::isKeepAliveDisabled(7, 12));
}

TEST_CASE("client limits: a third of the connections is reserved, but at least 4") {
    CHECK(http::reservedConnections(30) == 10);
    CHECK(http::reservedConnections(6) == 4);
}
