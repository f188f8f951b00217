// Datagrams between peers.
#include "fleet/restart_recovery.h"
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

TEST_CASE("datagrams are accepted only from peers, and only up to 256 bytes") {
    auto config = testConfig();
    asio::io_context probeIo;
    asio::ip::udp::socket peer(probeIo, {asio::ip::make_address_v4("127.0.0.1"), 0});
    asio::ip::udp::socket stranger(probeIo, {asio::ip::make_address_v4("127.0.0.1"), 0});
    asio::ip::udp::socket own(probeIo, {asio::ip::make_address_v4("127.0.0.1"), 0});
    const auto port = own.local_endpoint().port();
    own.close();
    config.peerListen = {"127.0.0.1", port};
    config.peers = {config.peerListen, {"127.0.0.1", peer.local_endpoint().port()}};
    config.settings.hostCount = 2;
    config.settings.mayGossip = true;
    GatewayFixture fixture(std::move(config));
    const asio::ip::udp::endpoint to{asio::ip::make_address_v4("127.0.0.1"), port};
    // Not a valid message: it is counted as malformed and ignored.
    peer.send_to(asio::buffer(std::string(200, 'a')), to);
    peer.send_to(asio::buffer(std::string(257, 'a')), to);
    stranger.send_to(asio::buffer(std::string(20, 'a')), to);
    fixture.waitUntil([&] {
        const auto& c = fixture.peers.counters();
        return c.received == 1 && c.oversize == 1 && c.unknown == 1;
    });
    CHECK(fixture.engine.recovery().counters().malformed == 1);  // the one that was received
    // The policy's own gossip is sent from the same address.
    fixture.waitUntil([&] { return fixture.peers.counters().sent > 0; });
    std::array<char, 512> bytes{};
    asio::ip::udp::endpoint from;
    CHECK(peer.receive_from(asio::buffer(bytes), from) <= 256);
    CHECK(from == to);
    const auto unsent = fixture.peers.counters().unsent;
    fixture.peers.send(HostIndex(1), std::string(257, 'b'));
    CHECK(fixture.peers.counters().unsent == unsent + 1);
}
