// Reuse of node connections by the pool.
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;
using std::chrono::milliseconds;

TEST_CASE(
    "a connection is reused only after its cool-down, so that a repeated response serves no other request") {
    constexpr milliseconds kCoolDown{100};  // long against what passes between two turns of the loop
    for (const bool twice : {true, false}) {
        CAPTURE(twice);
        asio::io_context io;
        StubServer node(io);
        const auto waitUntil = [&](const std::function<bool()>& so) { runUntil(io, so); };
        net::NodePool pool(
            io, {8, std::chrono::seconds(1), std::chrono::seconds(15), net::kMinRingBytes, kCoolDown});
        std::shared_ptr<net::Connection> first, second;
        auto acquisition = pool.acquire(node.address(), [&](auto c) { first = c; });
        waitUntil([&] { return first != nullptr && node.connections.size() == 1; });
        const auto* const was = first.get();
        const auto since = std::chrono::steady_clock::now();
        pool.release(std::exchange(first, nullptr));
        acquisition = pool.acquire(node.address(),
                                   [&](auto c) { second = c; });  // quiet now; the second answer comes after
        if (twice) asio::write(node.connections[0]->socket, asio::buffer(ok("otra vez")));
        waitUntil([&] { return second != nullptr; });
        CHECK(std::chrono::steady_clock::now() - since >= kCoolDown);
        if (twice) waitUntil([&] { return node.connections.size() == 2; });
        CHECK((second.get() == was) == !twice);
        pool.clear();
    }
}

TEST_CASE("a connection past its cool-down is preferred to waiting for another's") {
    asio::io_context io;
    StubServer node(io);
    const auto waitUntil = [&](const std::function<bool()>& so) { runUntil(io, so); };
    net::NodePool pool(
        io, {8, std::chrono::seconds(1), std::chrono::seconds(15), net::kMinRingBytes, milliseconds(100)});
    std::shared_ptr<net::Connection> old, fresh, got;
    const auto a = pool.acquire(node.address(), [&](auto c) { old = c; });
    const auto b = pool.acquire(node.address(), [&](auto c) { fresh = c; });
    waitUntil([&] { return old && fresh; });
    const auto* const cooledDown = old.get();
    pool.release(std::exchange(old, nullptr));
    const auto by = std::chrono::steady_clock::now() + milliseconds(100);
    waitUntil([&] { return std::chrono::steady_clock::now() > by; });  // the cool-down itself
    pool.release(std::exchange(fresh, nullptr));
    const auto c = pool.acquire(node.address(), [&](auto taken) { got = taken; });
    waitUntil([&] { return got != nullptr; });
    CHECK(got.get() == cooledDown);
    pool.clear();
}

TEST_CASE("in a full pool the longest idle connection is evicted, and never one in use") {
    asio::io_context io;
    StubServer idle(io), wanted(io);
    const auto waitUntil = [&](const std::function<bool()>& so) { runUntil(io, so); };
    net::NodePool pool(io, {2, std::chrono::seconds(1), std::chrono::seconds(15), net::kMinRingBytes});
    std::shared_ptr<net::Connection> used, spare, got;
    bool refused = false;
    const auto a = pool.acquire(idle.address(), [&](auto c) { used = c; });
    const auto b = pool.acquire(idle.address(), [&](auto c) { spare = c; });
    waitUntil([&] { return used && spare && idle.connections.size() == 2; });
    const auto full = pool.acquire(wanted.address(), [&](auto c) { refused = c == nullptr; });
    waitUntil([&] { return refused; });  // as if the node refused: no request waits for a connection
    pool.release(std::exchange(spare, nullptr));
    idle.connections[1]->send("HTTP/1.1 2");  // half a line, in the moment of the close
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
