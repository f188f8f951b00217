// Which shutdown notices a notice holder stores for its peers, and to which incarnations it returns them.
#include "fleet/shutdown_notice_store.h"

#include <doctest/doctest.h>

using namespace wingproxy::fleet;

namespace {

constexpr wingproxy::HostIndex kPeer{3};
constexpr Incarnation kWriter = 100;
constexpr ShutdownNotice kNotice{5'000, 7'000};
constexpr ShutdownNotice kLaterNotice{5'500, 7'000};

/// The store of a host that received `kNotice` of `kPeer`.
ShutdownNoticeStore storeWithNotice() {
    ShutdownNoticeStore notices;
    notices.store(kPeer, kWriter, kNotice);
    return notices;
}

}  // namespace

TEST_CASE("shutdown notice store: the next incarnation of the writer gets the notice") {
    const auto notices = storeWithNotice();
    CHECK(notices.size() == 1);
    CHECK(notices.findEarlier(kPeer, kWriter + 1) == EarlierNotice{kWriter, kNotice});
}

TEST_CASE("shutdown notice store: the writer itself and other peers get none") {
    const auto notices = storeWithNotice();
    CHECK(!notices.findEarlier(kPeer, kWriter));
    CHECK(!notices.findEarlier(kPeer.next(), kWriter + 1));
}

TEST_CASE("shutdown notice store: store returns true for the first notice of an incarnation only") {
    ShutdownNoticeStore notices;
    CHECK(notices.store(kPeer, kWriter, kNotice));
    CHECK(!notices.store(kPeer, kWriter, kLaterNotice));
    CHECK(notices.store(kPeer, kWriter + 1, kNotice));
    CHECK(notices.size() == 1);
}

TEST_CASE("shutdown notice store: a notice that arrives out of order does not replace the later one") {
    ShutdownNoticeStore notices;
    notices.store(kPeer, kWriter, kLaterNotice);
    notices.store(kPeer, kWriter, kNotice);
    CHECK(notices.findEarlier(kPeer, kWriter + 1) == EarlierNotice{kWriter, kLaterNotice});
}

TEST_CASE("shutdown notice store: a notice is dropped when the second incarnation after its writer is seen") {
    auto notices = storeWithNotice();
    notices.observeIncarnation(kPeer, kWriter);
    notices.observeIncarnation(kPeer, kWriter + 1);
    notices.observeIncarnation(kPeer, kWriter + 1);
    CHECK(notices.size() == 1);
    notices.observeIncarnation(kPeer, kWriter + 2);
    CHECK(notices.size() == 0);
    CHECK(!notices.findEarlier(kPeer, kWriter + 2));
}
