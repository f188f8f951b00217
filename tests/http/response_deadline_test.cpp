// The time by which a response has to be sent.
#include "http/response_deadline.h"

#include <doctest/doctest.h>

using namespace wingproxy;

namespace {

constexpr Micros kSubmittedAt = 1'000'000;
constexpr Micros kClientTimeout = 50'000;
constexpr Micros kTransitTime = 3'000;

}  // namespace

TEST_CASE("response deadline: the client's timeout minus the response's transit time") {
    const http::ResponseDeadline deadline(kSubmittedAt, kClientTimeout);
    CHECK(deadline.time() == kSubmittedAt + kClientTimeout - kTransitTime);
}

TEST_CASE("response deadline: it is counted from when the socket was last read empty") {
    http::ResponseDeadline deadline(kSubmittedAt, kClientTimeout);
    deadline.onSocketDrained(kSubmittedAt + 400);
    CHECK(deadline.time() == kSubmittedAt + 400 + kClientTimeout - kTransitTime);
}

TEST_CASE("response deadline: a timeout below the transit time expires at once") {
    CHECK(http::ResponseDeadline(kSubmittedAt, kTransitTime - 1).time() == kSubmittedAt);
}

TEST_CASE("response deadline: it is counted from when fewer bytes had arrived than later") {
    http::ResponseDeadline deadline(kSubmittedAt, kClientTimeout);
    deadline.onArrived(100, kSubmittedAt + 50);
    CHECK(deadline.time() == kSubmittedAt + kClientTimeout - kTransitTime);  // all may have arrived before
    deadline.onArrived(100, kSubmittedAt + 100);
    deadline.onArrived(101, kSubmittedAt + 150);
    CHECK(deadline.time() == kSubmittedAt + 100 + kClientTimeout - kTransitTime);
    deadline.onArrived(101, kSubmittedAt + 200);
    CHECK(deadline.time() == kSubmittedAt + 100 + kClientTimeout - kTransitTime);
}
