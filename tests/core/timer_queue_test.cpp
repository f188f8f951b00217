#include "core/timer_queue.h"

#include <doctest/doctest.h>

using namespace wingproxy;
using namespace wingproxy::core;

TEST_CASE("timer queue: timers expire in the order of their times") {
    TimerQueue queue;
    queue.schedule({20, TimerKind::Policy, 2, {}});
    queue.schedule({10, TimerKind::Policy, 1, {}});
    CHECK(queue.popExpired(30)->id == 1);
    CHECK(queue.popExpired(30)->id == 2);
    CHECK(!queue.popExpired(30));
}

TEST_CASE("timer queue: timers of the same time expire by kind, then by id") {
    TimerQueue queue;
    queue.schedule({10, TimerKind::LastByte, 1, AttemptIndex(0)});
    queue.schedule({10, TimerKind::RequestDeadline, 1, {}});
    queue.schedule({10, TimerKind::AttemptTimeout, 2, AttemptIndex(0)});
    queue.schedule({10, TimerKind::AttemptTimeout, 1, AttemptIndex(0)});
    queue.schedule({10, TimerKind::Policy, 9, {}});
    CHECK(queue.popExpired(10)->kind == TimerKind::Policy);
    CHECK(queue.popExpired(10)->id == 1);
    CHECK(queue.popExpired(10)->id == 2);
    CHECK(queue.popExpired(10)->kind == TimerKind::RequestDeadline);
    CHECK(queue.popExpired(10)->kind == TimerKind::LastByte);
}

TEST_CASE("timer queue: a timer expires at its time and not before") {
    TimerQueue queue;
    queue.schedule({10, TimerKind::Policy, 1, {}});
    CHECK(queue.nextExpiry() == 10);
    CHECK(!queue.popExpired(9));
    CHECK(queue.popExpired(10));
    CHECK(!queue.nextExpiry());
}

TEST_CASE("timer queue: cancelling removes only one of several equal timers") {
    TimerQueue queue;
    const Timer timer{10, TimerKind::Policy, 1, {}};
    queue.schedule(timer);
    queue.schedule(timer);
    queue.cancel(timer);
    CHECK(queue.size() == 1);
}

TEST_CASE("timer queue: cancelling an unknown timer changes nothing") {
    TimerQueue queue;
    queue.schedule({10, TimerKind::AttemptTimeout, 1, AttemptIndex(0)});
    queue.cancel({10, TimerKind::AttemptTimeout, 1, AttemptIndex(1)});
    queue.cancel({11, TimerKind::AttemptTimeout, 1, AttemptIndex(0)});
    CHECK(queue.size() == 1);
}
