// What a process and its successor may send together: neither limits nor slow start are exceeded over a
// transfer.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <optional>

#include "support/policy_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

constexpr double kRequestUnits = 2;

/// Repeatable numbers, the same on every machine (a linear congruential generator).
class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    std::uint64_t below(std::uint64_t bound) {
        state_ = state_ * 6364136223846793005ull + 1442695040888963407ull;
        return (state_ >> 33) % bound;
    }

private:
    std::uint64_t state_;
};

/// A host that takes over the limited volume from another one at some moment, under more requests than the
/// limit allows. Counts the units that both send.
struct TransferUnderLoad {
    TransferUnderLoad(Random& random, Micros transferAt) : random(random), transferAt(transferAt) {
        old.batch({nodes({node("a", 0), node("b", 1)})});
    }
    void runTo(Micros now) {
        if (!successor && now >= transferAt) transfer(now);
        sendAt(old, now, !successor || random.below(3) == 0);
        if (successor) sendAt(*successor, now, true);
    }
    void transfer(Micros now) {
        const auto bytes = old.policy.takeSnapshot(now);
        successor.emplace(settings, now);
        REQUIRE(successor->policy.restore(bytes));
        successor->batch({nodes({node("a", 0), node("b", 1)}, EndpointListKind::Cached)});
    }
    void sendAt(Host& host, Micros now, bool getsRequest) {
        if (!getsRequest) return;
        auto actions = host.runTo(now);
        for (auto& action : host.batch({request(++lastId, 0, 0, now, kRequestUnits, int(random.below(2)))}))
            actions.push_back(action);
        for (const auto& forward : only<ForwardRequest>(actions)) {
            unitsSent += kRequestUnits;
            host.batch({ended(forward.id, 0, forward.node, Outcome::Ok)});
        }
    }
    [[nodiscard]] double unitsAllowed(Micros now) const {
        const auto& plan = settings.plans[0];
        return plan.limitBurst + plan.limitSlack + plan.limit * double(now - kStart) / double(kSecond);
    }

    Random& random;
    Micros transferAt;
    Settings settings = test::settings();
    Host old{settings, kStart};
    std::optional<Host> successor;
    RequestId lastId = 0;
    double unitsSent = 0;
};

/// Hosts that send to one node which has just started.
struct WarmingNode {
    WarmingNode() { old.batch({nodes({warmingNode()})}); }
    static NodeInfo warmingNode() { return node("a", 0, NodeState::Ready, kStart); }
    void sendRequests(Host& host, int count) {
        for (int i = 0; i < count; ++i) {
            const auto actions = host.batch({request(++lastId, 0, 1, host.now)});
            unitsSent += kRequestUnits * double(only<ForwardRequest>(actions).size());
        }
    }

    Settings settings = test::settings();
    Host old{settings, kStart};
    RequestId lastId = 0;
    double unitsSent = 0;
};

}  // namespace

TEST_CASE(
    "transfer: no unit of a limit is spent by both processes, whenever it comes and whoever gets more "
    "requests") {
    Random random(7);
    for (int round = 0; round < 40; ++round) {
        TransferUnderLoad load(random, kStart + Micros(random.below(3'000)) * kMs);
        for (Micros now = kStart; now < kStart + 6 * kSecond; now += 10 * kMs) {
            load.runTo(now);
            REQUIRE(load.unitsSent <= load.unitsAllowed(now));
        }
        CHECK(load.unitsSent > load.settings.plans[0].limit * 3);  // and the limit is used
    }
}

TEST_CASE("transfer: the old process sends nothing more to a node that is warming up") {
    WarmingNode warming;
    warming.sendRequests(warming.old, 3);
    const double before = warming.unitsSent;
    CHECK(before > 0);
    warming.old.policy.takeSnapshot(kStart);
    warming.sendRequests(warming.old, 20);
    CHECK(warming.unitsSent == before);
}

TEST_CASE("transfer: a node that is warming up gets no more from both processes than it may get from one") {
    WarmingNode warming;
    warming.sendRequests(warming.old, 3);
    const auto bytes = warming.old.policy.takeSnapshot(kStart);
    warming.sendRequests(warming.old, 20);
    Host successor(warming.settings, kStart);
    REQUIRE(successor.policy.restore(bytes));
    successor.batch({nodes({WarmingNode::warmingNode()}, EndpointListKind::Cached)});
    warming.sendRequests(successor, 40);
    CHECK(warming.unitsSent <= warming.settings.slowStartUnits);
}
