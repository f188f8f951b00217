/// \file
/// The listeners for health checks, on sockets.
#include "health/check_listeners.h"

#include <string>

#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

const config::Endpoint kAnyPort{"127.0.0.1", 0};

/// A gateway that is ready and whose capacity is half used.
health::GatewayStatus halfUsed() { return {.ready = true, .utilization = 0.5}; }

TestConnectionPtr connectTo(asio::io_context& io, const net::SessionManager& server) {
    return test::connectTo(io, net::tcpEndpoint(server.address()));
}

void stop(net::SessionManager& server) {
    server.closeListener();
    server.stop();
}

}  // namespace

TEST_CASE("health listeners: the agent check sends its line without a request and closes") {
    asio::io_context io;
    const auto agent = health::makeAgentCheckListener(io, kAnyPort, halfUsed);
    const auto client = connectTo(io, *agent);
    runUntil(io, [&] { return client->ended; });
    CHECK(client->received == "ready up 50%\n");
    stop(*agent);
}

TEST_CASE(
    "health listeners: the HTTP check responds at the end of the request header and closes the connection") {
    asio::io_context io;
    const auto http = health::makeHttpCheckListener(io, kAnyPort, halfUsed);
    const auto client = connectTo(io, *http);
    client->send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    runUntil(io, [&] { return client->ended; });
    CHECK(client->received.find("HTTP/1.1 200 OK\r\n") == 0);
    stop(*http);
}

TEST_CASE("health listeners: of several requests on a connection only the first is answered") {
    asio::io_context io;
    const auto http = health::makeHttpCheckListener(io, kAnyPort, halfUsed);
    const auto client = connectTo(io, *http);
    client->send("GET /live HTTP/1.1\r\n\r\nGET /ready HTTP/1.1\r\n\r\n");
    runUntil(io, [&] { return client->ended; });
    CHECK(client->hasReceived("\r\n\r\nlive\n"));
    CHECK_FALSE(client->hasReceived("ready"));
    stop(*http);
}

TEST_CASE("health listeners: a header line that does not fit into the buffer closes the connection") {
    asio::io_context io;
    const auto http = health::makeHttpCheckListener(io, kAnyPort, halfUsed);
    const auto client = connectTo(io, *http);
    client->send("GET /" + std::string(net::kMaxRingBytes, 'x'));
    runUntil(io, [&] { return client->ended; });
    CHECK(client->received.empty());
    stop(*http);
}
