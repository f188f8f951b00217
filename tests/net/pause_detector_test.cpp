// The earliest send time of a signal, for a process that was paused before it handled the signal.
#include "net/pause_detector.h"

#include <doctest/doctest.h>

using std::chrono::milliseconds;
using wingproxy::net::PauseDetector;

namespace {

const PauseDetector::TimePoint kStart{std::chrono::seconds(100)};

/// A detector whose onRunning() was called every 10 ms from `kStart` until 100 ms later.
PauseDetector detectorAfter100Ms() {
    PauseDetector detector(kStart);
    for (int i = 1; i <= 10; ++i)
        detector.onRunning(kStart + milliseconds(10 * i));
    return detector;
}

}  // namespace

TEST_CASE("pause detector: a signal to a running process was sent when it is handled") {
    const auto now = kStart + milliseconds(105);
    CHECK(detectorAfter100Ms().earliestSendTime(now) == now);
}

TEST_CASE("pause detector: a signal handled first after a pause may have been sent at the pause's start") {
    CHECK(detectorAfter100Ms().earliestSendTime(kStart + milliseconds(230)) == kStart + milliseconds(100));
}

TEST_CASE("pause detector: a signal handled within 20 ms after a pause may have been sent at its start") {
    auto detector = detectorAfter100Ms();
    detector.onRunning(kStart + milliseconds(230));
    CHECK(detector.earliestSendTime(kStart + milliseconds(231)) == kStart + milliseconds(100));
    detector.onRunning(kStart + milliseconds(240));
    CHECK(detector.earliestSendTime(kStart + milliseconds(241)) == kStart + milliseconds(100));
}

TEST_CASE("pause detector: a signal handled more than 20 ms after a pause was sent when it is handled") {
    auto detector = detectorAfter100Ms();
    for (int at = 230; at <= 260; at += 10)
        detector.onRunning(kStart + milliseconds(at));
    const auto now = kStart + milliseconds(261);
    CHECK(detector.earliestSendTime(now) == now);
}

TEST_CASE("pause detector: a gap of 35 ms between two calls is no pause") {
    const auto now = kStart + milliseconds(135);
    CHECK(detectorAfter100Ms().earliestSendTime(now) == now);
}

TEST_CASE("pause detector: a pause counts as 150 ms at most") {
    const auto now = kStart + std::chrono::seconds(10);
    CHECK(detectorAfter100Ms().earliestSendTime(now) == now - milliseconds(150));
}
