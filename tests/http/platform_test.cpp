// The platform protocol: parsing of requests and node responses, and what is written to a node.
#include <doctest/doctest.h>

#include "config/config.h"
#include "http/message_writer.h"
#include "http/node_response.h"
#include "http/request_parser.h"

using namespace wingproxy;

namespace {

std::string configText() {
    return config::readFile(std::string(WINGPROXY_SOURCE) + "/tests/support/config.json");
}

}  // namespace

TEST_CASE("platform requests: a missing or wrong field is named") {
    const auto settings = config::parseConfig(configText()).settings;
    const auto message = [] {
        http::RequestMessage m{boost::beast::http::verb::put, "/api", 11};
        m.set("Req-Id", "9b1f03aa5c7e2d41");
        m.set("Req-Kind", "alta");
        m.set("Tier", "basico");
        m.set("Cookie", "a=b; key=7f3a9c21e0b4d655");
        m.set("Req-Deadline-Ms", "480");
        m.set("Idempotency-Key", "k");
        m.set("IO-Info", "volume=00000003b4d60021,units=2,shard=-1,hosts=3");
        return m;
    };
    const auto asked = std::get<http::ParsedRequest>(http::parseRequest(message(), settings));
    CHECK(asked.timeoutUs == 480'000);
    CHECK(asked.request.classIndex == 1);
    CHECK(asked.request.planIndex == 0);
    CHECK(asked.request.key == "7f3a9c21e0b4d655");
    CHECK(asked.request.units == 2);
    CHECK(asked.request.cell == -1);
    CHECK(asked.request.volumeHosts == 3);
    const struct {
        const char *field, *value, *names;
    } cases[] = {
        {"Req-Id", "", "Req-Id"},
        {"Req-Kind", "compra", "Req-Kind"},
        {"Tier", "oro", "Tier"},
        {"Cookie", "key=7f3a", "Cookie"},
        {"Cookie", "kee=7f3a9c21e0b4d655", "Cookie"},
        {"Req-Deadline-Ms", "-1", "Req-Deadline-Ms"},
        {"Req-Deadline-Ms", "1e3", "Req-Deadline-Ms"},
        {"Req-Deadline-Ms", "99999999999999999999", "Req-Deadline-Ms"},
        {"Idempotency-Key", "", "Idempotency-Key"},
        {"IO-Info", "units=2,shard=0,hosts=1", "IO-Info volume"},
        {"IO-Info", "volume=00000003b4d60021,units=0,shard=0,hosts=1", "IO-Info units"},
        {"IO-Info", "volume=00000003b4d60021,units=nan,shard=0,hosts=1", "IO-Info units"},
        {"IO-Info", "volume=00000003b4d60021,units=1,shard=4,hosts=1", "IO-Info shard"},
        {"IO-Info", "volume=00000003b4d60021,units=1,shard=0", "IO-Info hosts"},
    };
    for (const auto& c : cases) {
        auto m = message();
        m.set(c.field, c.value);
        const auto read = http::parseRequest(m, settings);
        const auto* bad = std::get_if<http::RequestError>(&read);
        REQUIRE_MESSAGE(bad, c.names);
        CHECK_MESSAGE(http::describe(*bad).find(c.names) == 0, http::describe(*bad));
    }
}

TEST_CASE("node answers: outcome, meter, others and load as the simulator gives them") {
    const auto settings = config::parseConfig(configText()).settings;
    const struct {
        unsigned status;
        bool declined;
        Outcome outcome;
    } cases[] = {{200, false, Outcome::Ok},      {500, false, Outcome::Error}, {503, true, Outcome::Rejected},
                 {504, true, Outcome::Rejected}, {503, false, Outcome::Error}, {500, true, Outcome::Error},
                 {404, false, Outcome::Error}};
    for (const auto& c : cases) {
        http::ResponseMessage a;
        a.result(c.status);
        if (c.declined) a.set("Srv-Declined", "1");
        CHECK(http::interpretNodeResponse(a, settings).outcome == c.outcome);
    }
    http::ResponseMessage a;
    CHECK(http::interpretNodeResponse(a, settings).loadPercent == 0);  // no header: none
    a.set("Volume-Load", "85");
    a.set("Other-Hosts", "3.5");
    a.set("Srv-Load", "queue=7");
    CHECK(http::interpretNodeResponse(a, settings).loadPercent == 86);  // the simulator's figure is one more
    CHECK(http::interpretNodeResponse(a, settings).loadElsewhere == 3.5);
    CHECK(http::interpretNodeResponse(a, settings).loadReport == std::vector<double>{7});
    for (const char* load : {"", "queue", "queue=", "queue=x", "inflight=3"})
        CHECK(http::parseLoadReport(load, settings).empty());
    CHECK(http::parseLoadReport("inflight=1, depth=4", settings) == std::vector<double>{4});
}

TEST_CASE("what a node gets: the message as it came, with the time left") {
    http::RequestMessage m{boost::beast::http::verb::put, "/api?a=b", 11};
    m.set("Host", "origin.svc");
    m.set("Req-Id", "1");
    m.set("Req-Deadline-Ms", "480");
    m.set("Connection", "keep-alive, X-Hop");
    m.set("X-Hop", "mine");
    m.body() = "abc";
    const auto text = http::serializeNodeRequest(m, "1.2.3.4:5", 90'500);
    CHECK(text.find("PUT /api?a=b HTTP/1.1\r\n") == 0);
    CHECK(text.find("Req-Deadline-Ms: 90\r\n") != std::string::npos);
    CHECK(text.find("480") == std::string::npos);
    CHECK(text.find("X-Hop") == std::string::npos);  // the connection's own, not the message's
    CHECK(text.substr(text.size() - 7) == "\r\n\r\nabc");
    CHECK(http::formatRetryAfter(150'000) == "0.150");
}
