// Specifies since when a process that was held up did not run.
#include "net/hold_up_detector.h"

#include <doctest/doctest.h>

using std::chrono::milliseconds;
using wingproxy::net::HoldUpDetector;

namespace {

const HoldUpDetector::TimePoint kStart{std::chrono::seconds(100)};

/// One that was told at `kStart` and every 10 ms until 100 ms later that the process runs.
HoldUpDetector running() {
    HoldUpDetector detector(kStart);
    for (int i = 1; i <= 10; ++i)
        detector.onRunning(kStart + milliseconds(10 * i));
    return detector;
}

}  // namespace

TEST_CASE("hold-up: a signal to a process that runs was sent when it is handled") {
    const auto now = kStart + milliseconds(105);
    CHECK(running().earliestSent(now) == now);
}

TEST_CASE("hold-up: a signal that is the first thing handled after it may have come at its beginning") {
    CHECK(running().earliestSent(kStart + milliseconds(230)) == kStart + milliseconds(100));
}

TEST_CASE("hold-up: a signal that is handled soon after it may have come at its beginning") {
    auto detector = running();
    detector.onRunning(kStart + milliseconds(230));
    CHECK(detector.earliestSent(kStart + milliseconds(231)) == kStart + milliseconds(100));
    detector.onRunning(kStart + milliseconds(240));
    CHECK(detector.earliestSent(kStart + milliseconds(241)) == kStart + milliseconds(100));
}

TEST_CASE("hold-up: it is over for signals that come later") {
    auto detector = running();
    for (int at = 230; at <= 260; at += 10)
        detector.onRunning(kStart + milliseconds(at));
    const auto now = kStart + milliseconds(261);
    CHECK(detector.earliestSent(now) == now);
}

TEST_CASE("hold-up: a turn of the loop that takes some intervals is none") {
    const auto now = kStart + milliseconds(135);
    CHECK(running().earliestSent(now) == now);
}

TEST_CASE("hold-up: it counts as 150 ms at the most") {
    const auto now = kStart + std::chrono::seconds(10);
    CHECK(running().earliestSent(now) == now - milliseconds(150));
}
