// A process and its successor together exceed neither limits nor the slow start budget over a transfer.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <optional>

#include "support/policy_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

constexpr double kRequestUnits = 2;

/// Pseudorandom numbers that are the same on every machine (a linear congruential generator).
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

/// A host that takes over from another one at `transferAt`, under more requests than the volume's limit
/// allows. Counts the units that both send.
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

/// A node that has just started, and the old host that sends to it. Counts the units that all hosts send.
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
    "transfer: both processes together keep the limit, whenever it comes and whichever gets more requests") {
    Random random(7);
    for (int round = 0; round < 40; ++round) {
        TransferUnderLoad load(random, kStart + Micros(random.below(3'000)) * kMs);
        for (Micros now = kStart; now < kStart + 6 * kSecond; now += 10 * kMs) {
            load.runTo(now);
            REQUIRE(load.unitsSent <= load.unitsAllowed(now));
        }
        CHECK(load.unitsSent > load.settings.plans[0].limit * 3);  // over half of 6 s at the limit
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

TEST_CASE("transfer: a node that is warming up gets no more from both processes than one may send it") {
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
