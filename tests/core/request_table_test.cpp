#include "core/request_table.h"

#include <doctest/doctest.h>

#include "support/policy_support.h"

using namespace wingproxy;
using namespace wingproxy::core;
using test::kStart;

TEST_CASE("request table: a request is added with the fields of its head") {
    RequestTable table;
    auto received = test::request(1, 2, 0, kStart, 2, 5);
    received.bodyIncomplete = true;
    const InFlightRequest* added = table.add(received);
    REQUIRE(added != nullptr);
    CHECK(added->deadlineUs == received.deadlineUs);
    CHECK(added->cell == CellIndex(5));
    CHECK(added->classIndex == ClassIndex(2));
    CHECK(added->bodyIncomplete);
    CHECK(added->bodyStreamed);
    CHECK(table.find(1) == added);
}

TEST_CASE("request table: an id that is in flight is not added a second time") {
    RequestTable table;
    table.add(test::request(1, 0, 0, kStart));
    CHECK(table.add(test::request(1, 0, 0, kStart)) == nullptr);
    CHECK(table.size() == 1);
    CHECK(table.unanswered() == 1);
}

TEST_CASE("request table: an attempt is found by its request id and index") {
    RequestTable table;
    InFlightRequest* request = table.add(test::request(1, 0, 0, kStart));
    request->attempts.emplace(AttemptIndex(0), InFlightAttempt{"n0", kStart, kStart + 1});
    const AttemptLookup found = table.findAttempt(1, AttemptIndex(0));
    REQUIRE(found);
    CHECK(found.request == request);
    CHECK(found.attempt->node == "n0");
    CHECK(!table.findAttempt(1, AttemptIndex(1)));
    CHECK(!table.findAttempt(2, AttemptIndex(0)));
}

TEST_CASE("request table: a request is finished once it is answered and its last attempt has ended") {
    RequestTable table;
    InFlightRequest* request = table.add(test::request(1, 0, 0, kStart));
    request->attempts.emplace(AttemptIndex(0), InFlightAttempt{});
    CHECK(!request->isFinished());
    table.markAnswered(*request);
    CHECK(table.unanswered() == 0);
    CHECK(!request->isFinished());
    request->attempts.clear();
    CHECK(request->isFinished());
    table.erase(1);
    CHECK(table.find(1) == nullptr);
}
