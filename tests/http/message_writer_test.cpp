// Serialization of requests to nodes and of responses to clients.
#include "http/message_writer.h"

#include <doctest/doctest.h>

using namespace wingproxy;

namespace {

http::RequestMessage request() {
    http::RequestMessage m{boost::beast::http::verb::put, "/api?a=b", 11};
    m.set("Host", "origin.svc");
    m.set("Req-Id", "1");
    m.set("Req-Deadline-Ms", "480");
    m.set("Connection", "keep-alive, X-Hop");
    m.set("X-Hop", "mine");
    return m;
}

}  // namespace

TEST_CASE("message writer: a node gets the request without hop-by-hop fields and with the remaining time") {
    auto message = request();
    message.body() = "abc";
    const auto text = http::serializeNodeRequestHead(message, "1.2.3.4:5", 90'500);
    CHECK(text.find("PUT /api?a=b HTTP/1.1\r\n") == 0);
    CHECK(text.find("Req-Deadline-Ms: 90\r\n") != std::string::npos);
    CHECK(text.find("480") == std::string::npos);
    CHECK(text.find("X-Hop") == std::string::npos);      // hop-by-hop, as Connection names it
    CHECK(text.ends_with("Content-Length: 3\r\n\r\n"));  // the body follows it
}

TEST_CASE("message writer: a node is never told more time than the client gave") {
    const auto told = [](Micros remainingUs) {
        const auto text = http::serializeNodeRequestHead(request(), "h", remainingUs);
        const auto start = text.find("Req-Deadline-Ms: ") + 17;
        return text.substr(start, text.find('\r', start) - start);
    };
    CHECK(told(3'600'000'000) == "480");  // the body is still arriving
    CHECK(told(479'900) == "479");
    CHECK(told(-5) == "1");
}

TEST_CASE("message writer: a streamed request ends with its head, in the given framing") {
    const http::BodyFraming byLength{false, 70'000};
    const http::BodyFraming inChunks{true, 0};
    CHECK(http::serializeNodeRequestHead(request(), "h", 1, &byLength)
              .ends_with("Content-Length: 70000\r\n\r\n"));
    CHECK(http::serializeNodeRequestHead(request(), "h", 1, &inChunks)
              .ends_with("Transfer-Encoding: chunked\r\n\r\n"));
}

TEST_CASE(
    "message writer: a response has its Content-Length, and Connection: close if the connection closes") {
    CHECK(http::serializeResponse(200, "A: b\r\n", "up", true) ==
          "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nup");
    CHECK(http::serializeResponse(503, "", "", false) ==
          "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
}

TEST_CASE("message writer: Retry-After has seconds with three decimals") {
    CHECK(http::formatRetryAfter(150'000) == "0.150");
}

TEST_CASE("message writer: Retry-After is limited or disabled by the settings") {
    Settings settings;
    settings.sendsRetryAfter = true;
    settings.maxRetryAfterUs = 40'000;
    CHECK(http::retryAfterField(settings, 100'000) == "Retry-After: 0.040\r\n");
    CHECK(http::retryAfterField(settings, 10'000) == "Retry-After: 0.010\r\n");
    CHECK(http::retryAfterField(settings, 0).empty());
    settings.sendsRetryAfter = false;
    CHECK(http::retryAfterField(settings, 10'000).empty());
}
