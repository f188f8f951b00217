// Times and shares that hold for every client connection.
#include "http/client_limits.h"

#include <doctest/doctest.h>

using namespace wingproxy;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("client limits: only connections that sent a request are kept, and only without pressure") {
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

TEST_CASE("client limits: a request that brings nothing for 2.7 s is overdue, whatever its body") {
    CHECK(http::isRequestOverdue(milliseconds(2'700), milliseconds(2'700), 60 * 1024));
}

TEST_CASE("client limits: the connection budget is crowded above a quarter and half full above a half") {
    CHECK(!http::isKeepAliveShortened(3, 12));
    CHECK(http::isKeepAliveShortened(4, 12));
    CHECK(!http::isKeepAliveDisabled(6, 12));
    CHECK(http::isKeepAliveDisabled(7, 12));
}

TEST_CASE("client limits: a third of the connections is reserved, and 4 at the least") {
    CHECK(http::reservedConnections(30) == 10);
    CHECK(http::reservedConnections(6) == 4);
}
