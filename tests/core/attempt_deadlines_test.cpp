#include "core/attempt_deadlines.h"

#include <doctest/doctest.h>

#include "core/effects.h"

using namespace wingproxy;
using namespace wingproxy::core;

namespace {

constexpr Micros kNow = 1'000'000'000;
constexpr Micros kDrainGrace = 400'000;
constexpr AttemptLimits kLimits{250'000};
constexpr Micros kRequestDeadline = kNow + 2'000'000;
constexpr AttemptConditions kUsual{kRequestDeadline, false, {}};

AttemptDeadlines deadlinesOf(const ForwardRequest& order, const AttemptConditions& conditions,
                             Micros drainGrace = kDrainGrace) {
    return attemptDeadlines(order, conditions, drainGrace, kLimits, kNow);
}

}  // namespace

TEST_CASE("attempt deadlines: without limits of its own an attempt runs until the request's deadline") {
    const auto deadlines = deadlinesOf({}, kUsual);
    CHECK(deadlines.timeoutAt == kRequestDeadline);
    CHECK(deadlines.lastByteBy == StartAttempt::kNever);
}

TEST_CASE("attempt deadlines: the policy's time-out shortens the attempt and never extends it") {
    ForwardRequest order;
    order.timeoutUs = 300'000;
    CHECK(deadlinesOf(order, kUsual).timeoutAt == kNow + 300'000);
    order.timeoutUs = 3'000'000;
    CHECK(deadlinesOf(order, kUsual).timeoutAt == kRequestDeadline);
    order.timeoutUs = -1;
    CHECK(deadlinesOf(order, kUsual).timeoutAt == kNow);
}

TEST_CASE("attempt deadlines: while the request's body is coming its deadline does not end the attempt") {
    CHECK(deadlinesOf({}, {kRequestDeadline, true, {}}).timeoutAt == kNow + 3'600'000'000);
}

TEST_CASE("attempt deadlines: the first byte must be written within half of the drain grace") {
    CHECK(deadlinesOf({}, kUsual).firstByteBy == kNow + kDrainGrace / 2);
}

TEST_CASE("attempt deadlines: without a drain grace the connect time-out limits the first byte") {
    CHECK(deadlinesOf({}, kUsual, 0).firstByteBy == kNow + kLimits.connectTimeoutUs);
}

TEST_CASE("attempt deadlines: a draining node gets its last request at 80% of the grace since it was read") {
    AttemptConditions conditions = kUsual;
    conditions.drainingSince = kNow - 200'000;
    CHECK(deadlinesOf({}, conditions).firstByteBy == kNow + 120'000);
    conditions.drainingSince = kNow - 400'000;
    CHECK(deadlinesOf({}, conditions).firstByteBy == kNow - 80'000);  // too late for this node
}

TEST_CASE("attempt deadlines: the first byte is not later than the last one may be") {
    ForwardRequest order;
    order.lastByteByUs = kNow + 50'000;
    const auto deadlines = deadlinesOf(order, kUsual);
    CHECK(deadlines.lastByteBy == kNow + 50'000);
    CHECK(deadlines.firstByteBy == kNow + 50'000);
}
