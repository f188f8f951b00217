// Reuse and eviction of node connections by the pool.
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;
using std::chrono::milliseconds;

TEST_CASE(
    "a connection is reused only after its cool-down, and not if a duplicate response arrives meanwhile") {
    constexpr milliseconds kCoolDown{100};  // much longer than one iteration of the event loop
    for (const bool duplicate : {true, false}) {
        CAPTURE(duplicate);
        asio::io_context io;
        StubServer node(io);
        const auto waitUntil = [&](const std::function<bool()>& condition) { runUntil(io, condition); };
        net::NodePool pool(
            io, {8, std::chrono::seconds(1), std::chrono::seconds(15), net::kMinRingBytes, kCoolDown});
        std::shared_ptr<net::Connection> first, second;
        auto acquisition = pool.acquire(node.address(), [&](auto c) { first = c; });
        waitUntil([&] { return first != nullptr && node.connections.size() == 1; });
        const auto* const released = first.get();
        const auto since = std::chrono::steady_clock::now();
        pool.release(std::exchange(first, nullptr));
        // No byte is unread yet: the duplicate arrives later.
        acquisition = pool.acquire(node.address(), [&](auto c) { second = c; });
        if (duplicate) asio::write(node.connections[0]->socket, asio::buffer(ok("otra vez")));
        waitUntil([&] { return second != nullptr; });
        CHECK(std::chrono::steady_clock::now() - since >= kCoolDown);
        if (duplicate) waitUntil([&] { return node.connections.size() == 2; });
        CHECK((second.get() == released) == !duplicate);
        pool.clear();
    }
}

TEST_CASE("a connection past its cool-down is preferred to one that still cools down") {
    asio::io_context io;
    StubServer node(io);
    const auto waitUntil = [&](const std::function<bool()>& condition) { runUntil(io, condition); };
    net::NodePool pool(
        io, {8, std::chrono::seconds(1), std::chrono::seconds(15), net::kMinRingBytes, milliseconds(100)});
    std::shared_ptr<net::Connection> old, fresh, got;
    const auto a = pool.acquire(node.address(), [&](auto c) { old = c; });
    const auto b = pool.acquire(node.address(), [&](auto c) { fresh = c; });
    waitUntil([&] { return old && fresh; });
    const auto* const cooledDown = old.get();
    pool.release(std::exchange(old, nullptr));
    const auto by = std::chrono::steady_clock::now() + milliseconds(100);
    waitUntil([&] { return std::chrono::steady_clock::now() > by; });  // until the cool-down is over
    pool.release(std::exchange(fresh, nullptr));
    const auto c = pool.acquire(node.address(), [&](auto taken) { got = taken; });
    waitUntil([&] { return got != nullptr; });
    CHECK(got.get() == cooledDown);
    pool.clear();
}

TEST_CASE("in a full pool the longest idle connection is evicted, and never one in use") {
    asio::io_context io;
    StubServer idle(io), wanted(io);
    const auto waitUntil = [&](const std::function<bool()>& condition) { runUntil(io, condition); };
    net::NodePool pool(io, {2, std::chrono::seconds(1), std::chrono::seconds(15), net::kMinRingBytes});
    std::shared_ptr<net::Connection> used, spare, got;
    bool refused = false;
    const auto a = pool.acquire(idle.address(), [&](auto c) { used = c; });
    const auto b = pool.acquire(idle.address(), [&](auto c) { spare = c; });
    waitUntil([&] { return used && spare && idle.connections.size() == 2; });
    const auto full = pool.acquire(wanted.address(), [&](auto c) { refused = c == nullptr; });
    waitUntil([&] { return refused; });  // like a connection failure: no request waits for a connection
    pool.release(std::exchange(spare, nullptr));
    idle.connections[1]->send("HTTP/1.1 2");  // a partial line arrives while the connection is evicted
    const auto c = pool.acquire(wanted.address(), [&](auto taken) { got = taken; });
    waitUntil([&] { return got != nullptr && idle.connections[1]->ended; });
    CHECK(!idle.connections[0]->ended);
    CHECK(pool.openConnections() == 2);
    pool.clear();
}

TEST_CASE("a pooled connection that the node closed is not reused") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    client->send(PlatformRequest{}.text());
    const auto first = fixture.waitForNodeToReceive("Req-Id");
    first->send(ok("uno"));
    fixture.waitUntil([&] { return client->hasReceived("uno"); });
    first->close();
    client->send(PlatformRequest{.id = "00000000000000b2"}.text());
    const auto second = fixture.waitForNodeToReceive("00000000000000b2");
    CHECK(second != first);
    second->send(ok("dos"));
    fixture.waitUntil([&] { return client->hasReceived("dos"); });
    CHECK(fixture.outcomes(Outcome::Reset) == 0);
}
