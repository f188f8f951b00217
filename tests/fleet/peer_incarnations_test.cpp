// Classifies the incarnation in a message as known, new or stale.
#include "fleet/peer_incarnations.h"

#include <doctest/doctest.h>

using namespace wingproxy::fleet;

namespace {

constexpr wingproxy::HostIndex kPeer{3};
constexpr Micros kStart = 1'000'000'000;

}  // namespace

TEST_CASE("peer incarnations: the first one that is seen is known") {
    PeerIncarnations peers;
    CHECK(!peers.isCurrent(kPeer, 100));
    CHECK(peers.observe(kPeer, 100, kStart) == IncarnationStatus::Known);
    CHECK(peers.isCurrent(kPeer, 100));
    CHECK(peers.size() == 1);
}

TEST_CASE("peer incarnations: a later one is new and replaces the earlier one") {
    PeerIncarnations peers;
    peers.observe(kPeer, 100, kStart);
    CHECK(peers.observe(kPeer, 200, kStart) == IncarnationStatus::New);
    CHECK(peers.observe(kPeer, 200, kStart) == IncarnationStatus::Known);
    CHECK(!peers.isCurrent(kPeer, 100));
    CHECK(peers.size() == 1);
}

TEST_CASE("peer incarnations: an earlier one is stale for 10 s after the later one was last seen") {
    PeerIncarnations peers;
    peers.observe(kPeer, 200, kStart);
    const Micros end = kStart + PeerIncarnations::kStaleIncarnationPeriod;
    CHECK(peers.observe(kPeer, 100, end - 1) == IncarnationStatus::Stale);
    CHECK(peers.isCurrent(kPeer, 200));
    CHECK(peers.observe(kPeer, 100, end) == IncarnationStatus::New);
    CHECK(peers.isCurrent(kPeer, 100));
}

TEST_CASE("peer incarnations: those of different peers are independent") {
    PeerIncarnations peers;
    peers.observe(kPeer, 200, kStart);
    CHECK(peers.observe(kPeer.next(), 100, kStart) == IncarnationStatus::Known);
    CHECK(peers.size() == 2);
}
