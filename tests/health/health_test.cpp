// Health endpoints: what balancers read.
#include "health/health.h"

#include <doctest/doctest.h>

using namespace wingproxy;

TEST_CASE("health: what balancers are told") {
    const health::Report ready{true, false, 0.25}, full{true, false, 1.2}, draining{true, true, 0}, unaware{};
    CHECK(health::agentLine(ready) == "ready up 75%\n");
    CHECK(health::agentLine(full) == "ready up 1%\n");  // 0% would drain it
    CHECK(health::agentLine(draining) == "drain\n");
    CHECK(health::agentLine(unaware).find("down") == 0);
    const struct {
        const char* line;
        health::Report report;
        const char* starts;
    } cases[] = {{"GET /live HTTP/1.1", draining, "HTTP/1.1 200"},
                 {"GET /ready HTTP/1.1", ready, "HTTP/1.1 200"},
                 {"GET /ready?x HTTP/1.0", draining, "HTTP/1.1 503"},
                 {"GET /ready HTTP/1.1", unaware, "HTTP/1.1 503"},
                 {"GET / HTTP/1.1", ready, "HTTP/1.1 404"},
                 {"POST /ready HTTP/1.1", ready, "HTTP/1.1 405"},
                 {"nonsense", ready, "HTTP/1.1 400"},
                 {"", ready, "HTTP/1.1 400"}};
    for (const auto& c : cases)
        CHECK_MESSAGE(health::httpAnswer(c.line, c.report).find(c.starts) == 0, c.line);
    const auto head = health::httpAnswer("HEAD /ready HTTP/1.1", ready);
    CHECK(head.substr(head.size() - 4) == "\r\n\r\n");
}
