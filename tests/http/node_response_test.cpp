// Node responses: the outcome of an attempt, the node's load fields and its load report.
#include "http/node_response.h"

#include <doctest/doctest.h>

#include "http/platform_request_support.h"

using namespace wingproxy;
using test::testSettings;

TEST_CASE("node response: the outcome follows from the status and Srv-Declined") {
    const struct {
        unsigned status;
        bool declined;
        Outcome outcome;
    } cases[] = {{200, false, Outcome::Ok},      {500, false, Outcome::Error}, {503, true, Outcome::Rejected},
                 {504, true, Outcome::Rejected}, {503, false, Outcome::Error}, {500, true, Outcome::Error},
                 {404, false, Outcome::Error}};
    for (const auto& c : cases) {
        http::ResponseMessage response;
        response.result(c.status);
        if (c.declined) response.set("Srv-Declined", "1");
        CHECK(http::interpretNodeResponse(response, testSettings()).outcome == c.outcome);
    }
}

TEST_CASE("node response: only a declined 504 leaves the request spent") {
    http::ResponseMessage response;
    response.result(504);
    CHECK(!http::interpretNodeResponse(response, testSettings()).requestSpent);
    response.set("Srv-Declined", "1");
    CHECK(http::interpretNodeResponse(response, testSettings()).requestSpent);
    response.result(503);
    CHECK(!http::interpretNodeResponse(response, testSettings()).requestSpent);
}

TEST_CASE("node response: the load fields are translated to the policy's values") {
    http::ResponseMessage response;
    CHECK(http::interpretNodeResponse(response, testSettings()).loadPercent == 0);  // no field
    response.set("Volume-Load", "85");
    response.set("Other-Hosts", "3.5");
    response.set("Srv-Load", "queue=7");
    const auto result = http::interpretNodeResponse(response, testSettings());
    CHECK(result.loadPercent == 86);  // the field plus 1, as 0 means that the field is missing
    CHECK(result.loadElsewhere == 3.5);
    CHECK(result.loadReport == std::vector<double>{7});
}

TEST_CASE("load report: any missing or unreadable column makes it empty") {
    for (const char* report : {"", "queue", "queue=", "queue=x", "inflight=3"})
        CHECK(http::parseLoadReport(report, testSettings()).empty());
}

TEST_CASE("load report: a column is found by the setting's name or the header's") {
    CHECK(http::parseLoadReport("inflight=1, depth=4", testSettings()) == std::vector<double>{4});
}
