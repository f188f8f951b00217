// The counters' log lines: each value follows its own name. All counters of a line have different values, so
// that two swapped ones are detected.
#include "app/metrics_report.h"

#include <doctest/doctest.h>

using namespace wingproxy;
using namespace wingproxy::app;

TEST_CASE("metrics: a line has the group's name and each metric in its order") {
    const MetricGroup group{"part", {{"count", std::uint64_t{7}}, {"flag", true}, {"cause", "lease"}}};
    CHECK(formatLine(group) == "counters part: count=7 flag=true cause=lease");
}

TEST_CASE("metrics: the line of requests sums the answers of all classes") {
    core::Counters counters;
    counters.received = 1;
    counters.byClass = {{10, 20, 30}, {1, 2, 3}};
    counters.disconnected = 5;
    counters.deadlineExceeded = 6;
    counters.cancelledBeforeSent = 8;
    counters.lastByteTimeouts = 9;
    counters.stoppedUndelivered = 10;
    CHECK(formatLine(describeRequests(counters, 7)) ==
          "counters requests: taken=1 delivered=11 rejected=22 failed=33 disconnected=5 deadline_exceeded=6 "
          "open=7 "
          "cancelled_before_sent=8 last_byte_timeouts=9 stopped_undelivered=10");
}

TEST_CASE("metrics: attempts are counted by outcome") {
    core::Counters counters;
    counters.attempts = 1;
    counters.requestsSent = 2;
    counters.outcomes = {3, 4, 5, 6, 7, 8, 9, 10};
    counters.lateResults = 11;
    counters.batches = 12;
    CHECK(formatLine(describeAttempts(counters)) ==
          "counters attempts: sent=1 written=2 ok=3 error=4 rejected=5 timeout=6 connect_failed=7 reset=8 "
          "cancelled=9 not_started=10 late=11 batches=12");
}

TEST_CASE("metrics: answers without a node's response are counted by reason") {
    core::Counters counters;
    counters.answerReasons = {1, 2, 3, 4, 5, 6, 7, 8, 9};
    CHECK(
        formatLine(describeAnswerReasons(counters)) ==
        "counters answers_without_node: unknown=1 no_node=2 slow_start=3 no_tokens=4 node_busy=5 too_slow=6 "
        "no_capacity=7 not_repeatable=8 request_spent=9");
}

TEST_CASE("metrics: slow start has a line of its own") {
    CHECK(formatLine(describeSlowStart({1, 2, 3, 4, 5, 6, 7})) ==
          "counters slow_start: started=1 warming_up=2 attempts=3 units_sent=4 units_completed=5 "
          "largest_window=6 over_part=7");
}

TEST_CASE("metrics: the HTTP front's line has its connections and its requests") {
    http::Front::Counters counters;
    counters.requests = 3;
    counters.ok = 4;
    counters.rejected = 5;
    counters.failed = 6;
    counters.malformed = 7;
    counters.tooLarge = 8;
    counters.unsupported = 9;
    counters.silent = 11;
    counters.slow = 12;
    counters.unread = 13;
    counters.repeated = 14;
    counters.noMemory = 15;
    counters.crowded = 16;
    counters.disconnected = 20;
    counters.pipelined = 17;
    counters.leftToSuccessor = 19;
    CHECK(formatLine(describeHttp(counters, {1, 2, 10, 18})) ==
          "counters http: connections=1 open=2 requests=3 ok=4 rejected=5 failed=6 malformed=7 too_large=8 "
          "unsupported=9 closed_idle=10 silent=11 slow=12 unread=13 repeated=14 no_memory=15 "
          "capacity_rejections=16 left_to_successor=19 disconnected=20 "
          "pipelined=17 hang_ups=18");
}

TEST_CASE("metrics: the rsync front's line has its connections and its transfers") {
    rsync::Front::Counters counters;
    counters.transfers = 3;
    counters.completed = 4;
    counters.rejected = 5;
    counters.failed = 6;
    counters.disconnected = 7;
    counters.malformed = 8;
    counters.listings = 9;
    CHECK(formatLine(describeRsync(counters, {1, 2, 0, 0})) ==
          "counters rsync: connections=1 open=2 transfers=3 completed=4 rejected=5 failed=6 disconnected=7 "
          "malformed=8 listings=9");
}

TEST_CASE("metrics: the line of the nodes has the connections open, opened and reused") {
    CHECK(formatLine(describeNodePool({1, 2, 3})) == "counters nodes: connections=1 opened=2 reused=3");
}

TEST_CASE("metrics: the line of discovery has its calls by result") {
    net::DiscoveryClient::Counters counters;
    counters.calls = 1;
    counters.answers = 2;
    counters.failed = 3;
    counters.malformed = 4;
    counters.slow = 5;
    CHECK(formatLine(describeDiscovery(counters)) ==
          "counters discovery: calls=1 answers=2 failed=3 malformed=4 slow=5");
}

TEST_CASE("metrics: the line of the tables has their sizes") {
    CHECK(formatLine(describeTables({1, 2, 3, 4})) ==
          "counters tables: entries=1 nodes=2 avoided=3 admin_drained=4");
}

TEST_CASE("metrics: the line of the admin server has its requests by result") {
    admin::AdminServer::Counters counters;
    counters.executed = 3;
    counters.rejected = 4;
    counters.malformed = 5;
    counters.timedOut = 6;
    CHECK(formatLine(describeAdmin(counters, {1, 2, 0, 0})) ==
          "counters admin: connections=1 open=2 executed=3 rejected=4 malformed=5 timed_out=6");
}

TEST_CASE("metrics: the line of hot restarts has snapshots and overrides files by what became of them") {
    hot_restart::HotRestart::Counters counters;
    counters.restored = 1;
    counters.transferred = 2;
    counters.rejected = 3;
    counters.overridesRead = 4;
    counters.writeFailures = 5;
    CHECK(formatLine(describeHotRestart(counters)) ==
          "counters hot_restart: restored=1 transferred=2 rejected=3 overrides_read=4 write_failures=5");
}

TEST_CASE("metrics: the cause of the recovery is named once the host has recovered") {
    constexpr Micros kStart = 100'000'000;
    constexpr Micros kLease = 2'000'000;
    const fleet::RestartRecovery recovery({HostIndex(0), 3, kLease, true}, kStart);
    CHECK(formatLine(describeFleet(recovery, kStart)) ==
          "counters fleet: recovered_by=nothing may_lend=false new_incarnations=0 shutdown_notices=0 stale=0 "
          "malformed=0");
    CHECK(formatLine(describeFleet(recovery, kStart + 2 * kLease))
              .starts_with("counters fleet: recovered_by=lease_expired "));
}

TEST_CASE("metrics: the line of reloads has applied and rejected files") {
    ConfigReload::Counters counters;
    counters.applied = 1;
    counters.rejected = 2;
    CHECK(formatLine(describeReloads(counters)) == "counters reloads: done=1 bad=2");
}

TEST_CASE("metrics: the line of the peers has datagrams sent, received and dropped") {
    net::PeerTransport::Counters counters;
    counters.sent = 1;
    counters.received = 2;
    counters.unsent = 3;
    counters.unknown = 4;
    counters.oversize = 5;
    CHECK(formatLine(describePeers(counters)) ==
          "counters peers: sent=1 received=2 unsent=3 unknown=4 oversize=5");
}
