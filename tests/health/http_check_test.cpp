#include "health/http_check.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>

using namespace wingproxy;
using health::GatewayStatus;

namespace {

constexpr GatewayStatus kReady{.ready = true};
constexpr GatewayStatus kDraining{.ready = true, .draining = true};
constexpr GatewayStatus kNoNodes{};

/// \return the status code, as text
std::string statusOf(std::string_view requestLine, const GatewayStatus& status) {
    constexpr std::string_view kVersion = "HTTP/1.1 ";
    const auto response = health::renderHttpResponse(requestLine, status);
    REQUIRE(response.starts_with(kVersion));
    return response.substr(kVersion.size(), 3);
}

}  // namespace

TEST_CASE("health HTTP check: /live is 200 in any state") {
    CHECK(statusOf("GET /live HTTP/1.1", kReady) == "200");
    CHECK(statusOf("GET /live HTTP/1.1", kDraining) == "200");
    CHECK(statusOf("GET /live HTTP/1.1", kNoNodes) == "200");
}

TEST_CASE("health HTTP check: /ready is 200 when ready, 503 when draining or without nodes") {
    CHECK(statusOf("GET /ready HTTP/1.1", kReady) == "200");
    CHECK(statusOf("GET /ready HTTP/1.1", kDraining) == "503");
    CHECK(statusOf("GET /ready HTTP/1.1", kNoNodes) == "503");
}

TEST_CASE("health HTTP check: HTTP/1.0 and a query are accepted") {
    CHECK(statusOf("GET /ready?x HTTP/1.0", kReady) == "200");
    CHECK(statusOf("GET /ready?x HTTP/1.0", kDraining) == "503");
}

TEST_CASE("health HTTP check: other paths are 404, other methods 405, other protocols 400") {
    CHECK(statusOf("GET / HTTP/1.1", kReady) == "404");
    CHECK(statusOf("POST /ready HTTP/1.1", kReady) == "405");
    CHECK(statusOf("nonsense", kReady) == "400");
    CHECK(statusOf("", kReady) == "400");
}

TEST_CASE("health HTTP check: the complete response") {
    CHECK(health::renderHttpResponse("GET /ready HTTP/1.1", kReady) ==
          "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\nConnection: "
          "close\r\n\r\nready\n");
}

TEST_CASE("health HTTP check: HEAD has the header fields of GET and no body") {
    const auto get = health::renderHttpResponse("GET /ready HTTP/1.1", kReady);
    const auto head = health::renderHttpResponse("HEAD /ready HTTP/1.1", kReady);
    CHECK(head.substr(head.size() - 4) == "\r\n\r\n");
    CHECK(get == head + "ready\n");
    CHECK(statusOf("HEAD /ready HTTP/1.1", kDraining) == "503");
}
