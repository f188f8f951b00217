// Guards against an overload of a node in slow start by the sum of six processes that learn of it at once. A
// faulty version had two allowances that were not charged to each other: a part of the budget, and a credit
// of 1.75 budgets, divided by the demand learned by gossip, so that a process that had heard of little had
// all of it. Debts beyond one request were forgiven, and a restarted process got its part again. It sent the
// node 4 to 30 requests more per window than it tolerates if gossip failed and the node was silent, or if
// processes restarted; 320 to 470 if it failed requests at once (one process: 165 units; budget of all: 51).
#include "support/fleet_support.h"
#include "support/slow_start_budget_check.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

constexpr std::size_t kFronts = 6;
constexpr std::chrono::milliseconds kRequestInterval{8};  // between requests to one front
constexpr int kMaxUnits = 6;
const std::string kNodeStartedLongAgo = R"("startedAtMs":0)";
// Shorter than the configured ones, so that a test covers several windows of one slow start.
const std::string kConfiguredSlowStart = R"("fallUs":3000000,"startCapacity":0.28,"warmAfterUs":15000000)";
const std::string kTestSlowStart = R"("fallUs":1000000,"startCapacity":0.28,"warmAfterUs":6000000)";

/// A fleet whose only node has just started, under a load of more requests than the node tolerates.
class StartingNodeLoad {
public:
    using Clock = std::chrono::steady_clock;

    explicit StartingNodeLoad(std::uint64_t seed) : fleet_(kFronts, seed), random_(seed) {
        fleet_.fixture.node().onConnection = [](TestConnection&) {};
        fleet_.fixture.node().connections.clear();
        settings_ = config::parseConfig(configOf(0, 1)).settings;
    }
    /// Starts all fronts. The node counts as started at the same moment.
    void start() {
        startedAt_ = Clock::now();
        startedAtMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
        for (std::size_t i = 0; i < kFronts; ++i) {
            fleet_.folders[i].write(kConfigFile, configOf(i, startedAtMs_));
            fleet_.start(i);
        }
    }
    /// The node answers its requests one after another, at the speed that the settings promise of any node.
    void answerAtPromisedSpeed() { answersAtPromisedSpeed_ = true; }
    /// The node answers each request at once with this response and does none of the work.
    void answerAtOnceWith(std::string response) { immediateResponse_ = std::move(response); }
    /// Sends requests to all fronts for this time.
    void runFor(std::chrono::milliseconds duration) {
        const auto end = Clock::now() + duration;
        auto nextRequestAt = Clock::now();
        fleet_.fixture.waitUntil(
            [&] {
                observeNode();
                for (; Clock::now() >= nextRequestAt; nextRequestAt += kRequestInterval)
                    sendToAll();
                return Clock::now() >= end;
            },
            "the time is over");
    }
    /// Kills all fronts at once and starts them again.
    void restartAll() {
        for (auto& front : fleet_.fronts)
            front->signal(SIGKILL);
        for (std::size_t i = 0; i < kFronts; ++i) {
            fleet_.fixture.waitUntil([&] { return !fleet_.fronts[i]->running(); }, "the front is dead");
            fleet_.start(i);
        }
    }
    /// By how many requests of mean work the fullest window exceeded what the node tolerates; below 0 if none
    /// did.
    double largestExcess() const { return record_.largestExcess(settings_, 0); }
    std::size_t arrivals() const { return record_.size(); }
    Fleet& fleet() { return fleet_; }

private:
    std::string configOf(std::size_t front, std::int64_t nodeStartedAtMs) {
        auto json = replaced(fleet_.config(front, kFronts), kConfiguredSlowStart, kTestSlowStart);
        return replaced(json, kNodeStartedLongAgo, fmt::format(R"("startedAtMs":{})", nodeStartedAtMs));
    }
    Micros sinceStart() const {
        return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - startedAt_).count();
    }
    void sendToAll() {
        for (std::size_t i = 0; i < kFronts; ++i) {
            if (!fleet_.fronts[i] || !fleet_.fronts[i]->running()) continue;
            const PlatformRequest request{.id = fmt::format("{:016x}", ++lastId_),
                                          .tier = "prioritario",
                                          .units = double(1 + random_() % kMaxUnits)};
            unitsById_[request.id] = request.units;
            clients_.push_back(fleet_.client(i));
            clients_.back()->send(replaced(request.text(), "hosts=1", fmt::format("hosts={}", kFronts)));
        }
        std::erase_if(clients_,
                      [](const TestConnectionPtr& client) { return client->hasReceived("\r\n\r\n"); });
    }
    /// Records the requests that arrived at the node, and sends the responses that are due.
    void observeNode() {
        for (const auto& connection : fleet_.fixture.node().connections) {
            if (!connection->hasReceived("\r\n\r\n")) continue;
            const auto id = connection->received.find("Req-Id: ");
            if (id != std::string::npos) {
                const double units = unitsById_.at(connection->received.substr(id + 8, 16));
                record_.record(units, sinceStart());
                const double speed = slowStartBudget(settings_, 0) * 1e6 /
                                     double(settings_.slowStartWindowUs) / settings_.slowStartOverloadFactor;
                idleAt_ = std::max(idleAt_, Clock::now()) + std::chrono::duration_cast<Clock::duration>(
                                                                std::chrono::duration<double>(units / speed));
                if (answersAtPromisedSpeed_) due_.push_back({idleAt_, connection});
                if (!immediateResponse_.empty()) connection->send(immediateResponse_);
            }
            connection->clearReceived();
        }
        while (!due_.empty() && due_.front().at <= Clock::now()) {
            due_.front().connection->send(ok("x"));
            due_.pop_front();
        }
    }

    struct DueAnswer {
        Clock::time_point at;
        TestConnectionPtr connection;
    };
    Fleet fleet_;
    std::mt19937_64 random_;
    Settings settings_;
    Clock::time_point startedAt_{};
    std::int64_t startedAtMs_ = 0;
    ArrivalRecord record_;
    std::map<std::string, double> unitsById_;
    std::vector<TestConnectionPtr> clients_;
    std::uint64_t lastId_ = 0;
    bool answersAtPromisedSpeed_ = false;
    std::string immediateResponse_;
    Clock::time_point idleAt_{};
    std::deque<DueAnswer> due_;
};

constexpr Link kCutLink{0, 0, std::chrono::milliseconds(0), std::chrono::milliseconds(0), true};
constexpr std::chrono::milliseconds kRunTime{3'500};

}  // namespace

TEST_CASE("slow start processes: six processes together do not overload a node, however it answers") {
    StartingNodeLoad load(11);
    SUBCASE("it does not answer") {}
    SUBCASE("it does not answer, and the processes do not receive each other's datagrams") {
        load.fleet().relay->setAllLinks(kCutLink);
    }
    SUBCASE("it answers at the speed that its settings promise") { load.answerAtPromisedSpeed(); }
    SUBCASE("it declines") { load.answerAtOnceWith(status(503, "Srv-Declined: 1\r\n")); }
    SUBCASE("it fails") { load.answerAtOnceWith(status(500)); }
    load.start();
    load.runFor(kRunTime);
    CHECK(load.arrivals() > 0);
    CHECK(load.largestExcess() <= 0);
}

TEST_CASE("slow start processes: restarted processes do not spend the budget of a window again") {
    StartingNodeLoad load(14);
    load.start();
    for (int restart = 0; restart < 2; ++restart) {
        load.runFor(std::chrono::milliseconds(400));
        load.restartAll();
    }
    load.runFor(kRunTime);
    CHECK(load.arrivals() > 0);
    CHECK(load.largestExcess() <= 0);
}
