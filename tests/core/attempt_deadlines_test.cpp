#include "core/attempt_deadlines.h"

#include <doctest/doctest.h>

#include "core/effects.h"
#include "core/inputs.h"

using namespace wingproxy;
using namespace wingproxy::core;

namespace {

constexpr Micros kNow = 1'000'000'000;
constexpr Micros kDrainGrace = 400'000;
constexpr AttemptLimits kLimits{250'000};
constexpr Micros kRequestDeadline = kNow + 2'000'000;
constexpr AttemptConditions kDefaultConditions{kRequestDeadline, {}};

AttemptDeadlines deadlinesOf(const ForwardRequest& action, const AttemptConditions& conditions,
                             Micros drainGrace = kDrainGrace) {
    return attemptDeadlines(action, conditions, drainGrace, kLimits, kNow);
}

}  // namespace

TEST_CASE("attempt deadlines: an attempt without a time-out of its own ends at the request's deadline") {
    const auto deadlines = deadlinesOf({}, kDefaultConditions);
    CHECK(deadlines.timeoutAt == kRequestDeadline);
    CHECK(deadlines.lastByteBy == StartAttempt::kNever);
}

TEST_CASE("attempt deadlines: the policy's time-out shortens the attempt and never extends it") {
    ForwardRequest action;
    action.timeoutUs = 300'000;
    CHECK(deadlinesOf(action, kDefaultConditions).timeoutAt == kNow + 300'000);
    action.timeoutUs = 3'000'000;
    CHECK(deadlinesOf(action, kDefaultConditions).timeoutAt == kRequestDeadline);
    action.timeoutUs = -1;
    CHECK(deadlinesOf(action, kDefaultConditions).timeoutAt == kNow);
}

TEST_CASE("attempt deadlines: while the request's body is arriving an attempt may run for an hour") {
    const Micros timeout = bodyTimeout(BodyDeadlineChanged::kNone, kNow);
    CHECK(timeout == kNow + 3'600'000'000);
    CHECK(deadlinesOf({}, {timeout, {}}).timeoutAt == timeout);
}

TEST_CASE("attempt deadlines: when the whole body has arrived an attempt ends at the body's deadline") {
    CHECK(bodyTimeout(kRequestDeadline, kNow) == kRequestDeadline);
}

TEST_CASE("attempt deadlines: the first byte must be written within half of the drain grace") {
    CHECK(deadlinesOf({}, kDefaultConditions).firstByteBy == kNow + kDrainGrace / 2);
}

TEST_CASE("attempt deadlines: without a drain grace the connect time-out limits the first byte") {
    CHECK(deadlinesOf({}, kDefaultConditions, 0).firstByteBy == kNow + kLimits.connectTimeoutUs);
}

TEST_CASE(
    "attempt deadlines: a draining node gets no request after 80% of the grace since the drain was read") {
    AttemptConditions conditions = kDefaultConditions;
    conditions.drainingSince = kNow - 200'000;
    CHECK(deadlinesOf({}, conditions).firstByteBy == kNow + 120'000);
    conditions.drainingSince = kNow - 400'000;
    CHECK(deadlinesOf({}, conditions).firstByteBy == kNow - 80'000);  // too late for this node
}

TEST_CASE("attempt deadlines: the first byte must be written no later than the last one") {
    ForwardRequest action;
    action.lastByteByUs = kNow + 50'000;
    const auto deadlines = deadlinesOf(action, kDefaultConditions);
    CHECK(deadlines.lastByteBy == kNow + 50'000);
    CHECK(deadlines.firstByteBy == kNow + 50'000);
}
