// Tests that all hosts together keep to the budget of a node in slow start, for different numbers of hosts,
// behaviours of the node, and with or without gossip between the hosts. Time is simulated.
#include <gtest/gtest.h>

#include <array>
#include <random>
#include <sstream>

#include "policy/policy_test_support.h"
#include "support/slow_start_budget_check.h"

namespace wingproxy::test {
namespace {

constexpr Micros kStep = 10 * kMs;
constexpr Micros kNodeStart = kStart + 2 * kSecond;
constexpr Micros kSlowStart = 4 * kSecond;
constexpr double kMeanUnits = 2;
const std::string kWarmNode = "warm";
const std::string kStartingNode = "starting";

/// How the node responds to requests.
enum class NodeBehaviour {
    Silent,           ///< no answers
    Errors,           ///< an error status at once
    Declines,         ///< declines at once
    GuaranteedSpeed,  ///< serves one after another, at the speed that the settings promise of any node
};

constexpr std::array kAllBehaviours{NodeBehaviour::Silent, NodeBehaviour::Errors, NodeBehaviour::Declines,
                                    NodeBehaviour::GuaranteedSpeed};

/// One case of the simulation.
struct Scenario {
    int hosts = 6;
    double budget = 51;  ///< units that a node tolerates in one window when it starts
    NodeBehaviour behaviour = NodeBehaviour::Silent;
    bool gossips = true;       ///< whether the hosts receive each other's messages
    bool demandBefore = true;  ///< another node served the same demand before; false: it starts with the node
    bool skewed = false;       ///< one host in three gets most of the requests
    Micros restartEvery = 0;   ///< interval at which all hosts restart; 0: they don't
    double overload = 3;       ///< demand as a multiple of the budget
    std::uint64_t seed = 1;
};

std::string describe(const Scenario& scenario) {
    std::ostringstream text;
    text << scenario.hosts << " hosts, budget " << scenario.budget << ", gossips " << scenario.gossips
         << ", demand before " << scenario.demandBefore << ", skewed " << scenario.skewed << ", behaviour "
         << int(scenario.behaviour) << ", restart every " << scenario.restartEvery;
    return text.str();
}

/// A fleet of hosts with demand for one cell, which has one node.
class SlowStartFleet {
public:
    explicit SlowStartFleet(const Scenario& scenario) : scenario_(scenario), random_(scenario.seed) {
        members_.resize(std::size_t(scenario.hosts));
        startAllHosts();
        for (Member& member : members_)
            member.accruedRequests = double(random_() % 1000) / 1000;
    }
    /// Runs to the end of the scenario.
    /// \return requests of mean work by which the fullest window exceeded what the node tolerates
    double run() {
        for (Micros now = kStart + kStep; now < kNodeStart + kSlowStart; now += kStep) {
            now_ = now;
            if (now == kNodeStart) replaceNode();
            if (isRestartDue()) startAllHosts();
            deliverAnswers(now);
            for (int host = 0; host < scenario_.hosts; ++host)
                stepHost(host, now);
        }
        return arrivals_.largestExcess(settingsOf(0), kNodeStart);
    }
    double unitsSent() const { return arrivals_.units(); }

private:
    struct Member {
        std::unique_ptr<Host> host;
        std::map<RequestId, double> unitsById;
        std::map<RequestId, int> attempts;
        std::vector<AnyEvent> inbox;
        double accruedRequests = 0;
    };
    Settings settingsOf(int host) const {
        Settings s = settings(host, scenario_.hosts);
        s.slowStartUnits = scenario_.budget;
        s.slowStartWindowUs = kSecond;
        s.slowStartOverloadFactor = 2.5;
        s.slowStartCapacity = 0.28;
        s.slowStartDurationUs = kSlowStart;
        s.meanUnits = kMeanUnits;
        s.maxUnits = 6;
        return s;
    }
    void startAllHosts() {
        for (int host = 0; host < scenario_.hosts; ++host)
            startHost(host);
    }
    void startHost(int index) {
        Settings s = settingsOf(index);
        s.seed += std::uint64_t(incarnations_++) * 1000;
        Member& member = members_[std::size_t(index)];
        const double accrued = member.accruedRequests;
        member = Member();
        member.accruedRequests = accrued;
        member.host = std::make_unique<Host>(s, now_);
        member.host->batch({nodes(listedNodes())});
    }
    std::vector<NodeInfo> listedNodes() const {
        if (now_ < kNodeStart) return {node(kWarmNode, 0)};
        return {node(kStartingNode, 0, NodeState::Ready, kNodeStart)};
    }
    void replaceNode() {
        for (Member& member : members_)
            member.inbox.emplace_back(nodes(listedNodes()));
    }
    bool isRestartDue() const {
        return scenario_.restartEvery > 0 && now_ > kNodeStart &&
               (now_ - kNodeStart) % scenario_.restartEvery == 0;
    }
    double demandOf(int host) const {
        if (now_ < kNodeStart && !scenario_.demandBefore) return 0;
        const double requestsPerSecond = scenario_.overload * scenario_.budget / kMeanUnits;
        const double mean = requestsPerSecond / scenario_.hosts;
        if (!scenario_.skewed || scenario_.hosts < 3) return mean;
        return host % 3 == 0 ? 2.5 * mean : 0.25 * mean;
    }
    void stepHost(int index, Micros now) {
        Member& member = members_[std::size_t(index)];
        std::vector<AnyEvent> events = std::exchange(member.inbox, {});
        member.accruedRequests += demandOf(index) * double(kStep) / 1e6;
        for (; member.accruedRequests >= 1; --member.accruedRequests) {
            const RequestId id = ++lastId_;
            const double units = double(1 + random_() % 3);
            member.unitsById[id] = units;
            events.emplace_back(request(id, 0, 1, now, units, 0, scenario_.hosts));
        }
        perform(index, member.host->runTo(now), now);
        perform(index, member.host->batch(events), now);
    }
    void perform(int from, const std::vector<Action>& actions, Micros now) {
        for (const auto& action : actions) {
            if (const auto* forward = std::get_if<ForwardRequest>(&action)) arrive(from, *forward, now);
            if (const auto* message = std::get_if<SendPeerMessage>(&action)) deliver(from, *message);
        }
    }
    void deliver(int from, const SendPeerMessage& message) {
        if (!scenario_.gossips) return;
        for (int to = 0; to < scenario_.hosts; ++to) {
            if (to == from || (!message.to.isEveryPeer() && message.to.host() != HostIndex(to))) continue;
            members_[std::size_t(to)].inbox.emplace_back(PeerMessageReceived{HostIndex(from), message.bytes});
        }
    }
    void arrive(int host, const ForwardRequest& forward, Micros now) {
        Member& member = members_[std::size_t(host)];
        const RequestId id = forward.id;
        const double units = member.unitsById.at(id);
        const int attempt = member.attempts[id]++;
        const auto answer = [&](Outcome outcome) {
            member.inbox.emplace_back(ended(id, attempt, forward.node, outcome, kStep));
        };
        if (forward.node == kWarmNode) return answer(Outcome::Ok);
        arrivals_.record(units, now);
        switch (scenario_.behaviour) {
            case NodeBehaviour::Silent:
                return;
            case NodeBehaviour::Errors:
                return answer(Outcome::Error);
            case NodeBehaviour::Declines:
                return answer(Outcome::Rejected);
            case NodeBehaviour::GuaranteedSpeed:
                return serve({host, id, attempt}, units, now);
        }
    }

    struct ServedAttempt {
        int host = 0;
        RequestId id = 0;
        int attempt = 0;
        Micros took = 0;
    };
    void serve(ServedAttempt served, double units, Micros now) {
        const Settings s = settingsOf(0);
        const double unitsPerSecond = slowStartBudget(s, now - kNodeStart) * 1e6 /
                                      double(s.slowStartWindowUs) / s.slowStartOverloadFactor;
        nodeIdleAt_ = std::max(nodeIdleAt_, now) + Micros(units * 1e6 / unitsPerSecond);
        served.took = nodeIdleAt_ - now;
        served_.emplace(nodeIdleAt_, served);
    }
    void deliverAnswers(Micros now) {
        while (!served_.empty() && served_.begin()->first <= now) {
            const ServedAttempt served = served_.begin()->second;
            served_.erase(served_.begin());
            members_[std::size_t(served.host)].inbox.emplace_back(
                ended(served.id, served.attempt, kStartingNode, Outcome::Ok, served.took));
        }
    }
    Scenario scenario_;
    std::mt19937_64 random_;
    Micros now_ = kStart;
    int incarnations_ = 0;
    std::vector<Member> members_;
    ArrivalRecord arrivals_;
    Micros nodeIdleAt_ = 0;
    std::multimap<Micros, ServedAttempt> served_;  // by the time of the answer
    RequestId lastId_ = 0;
};

constexpr std::array kHostCounts{3, 6, 40, 300};
constexpr std::array kBudgets{5.0, 14.0, 51.0, 200.0};

// The scenario with this number among all combinations of fleet size, budget, node behaviour, gossip and
// demand.
Scenario scenarioOf(std::size_t number) {
    const auto choose = [&](const auto& choices) {
        const auto choice = choices[number % choices.size()];
        number /= choices.size();
        return choice;
    };
    constexpr std::array kEither{true, false};
    Scenario one;
    one.hosts = choose(kHostCounts);
    one.budget = choose(kBudgets);
    one.behaviour = choose(kAllBehaviours);
    one.gossips = choose(kEither);
    one.demandBefore = choose(kEither);
    one.skewed = choose(kEither);
    return one;
}
constexpr std::size_t kScenarios = kHostCounts.size() * kBudgets.size() * kAllBehaviours.size() * 2 * 2 * 2;

TEST(SlowStartFleet, AllHostsTogetherKeepToTheBudget) {
    for (std::size_t number = 0; number < kScenarios; ++number) {
        const Scenario scenario = scenarioOf(number);
        EXPECT_LE(SlowStartFleet(scenario).run(), 0) << describe(scenario);
    }
}

TEST(SlowStartFleet, HostsThatRestartKeepToTheBudget) {
    for (const int hosts : {3, 6, 40})
        for (const NodeBehaviour behaviour : kAllBehaviours) {
            Scenario scenario;
            scenario.hosts = hosts;
            scenario.behaviour = behaviour;
            scenario.restartEvery = 700 * kMs;
            EXPECT_LE(SlowStartFleet(scenario).run(), 0) << describe(scenario);
        }
}

// The budget must not be kept by sending too little: a node that is as fast as the settings promise must get
// most of what it can serve.
TEST(SlowStartFleet, AStartingNodeIsUsed) {
    constexpr double kMeanGrowth = (1 + 1 / 0.28) / 2;
    constexpr double kUsedFraction = 0.7;
    for (const int hosts : {3, 6, 40})
        for (const double budget : {51.0, 200.0}) {
            Scenario scenario;
            scenario.hosts = hosts;
            scenario.budget = budget;
            scenario.behaviour = NodeBehaviour::GuaranteedSpeed;
            SlowStartFleet fleet(scenario);
            fleet.run();
            const double capacity = budget / 2.5 * kMeanGrowth * double(kSlowStart) / double(kSecond);
            EXPECT_GE(fleet.unitsSent(), kUsedFraction * capacity) << describe(scenario);
        }
}

}  // namespace
}  // namespace wingproxy::test
