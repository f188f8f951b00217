/// \file
/// A small deterministic cluster that speaks the simulator's text protocol: clients, storage nodes, the
/// endpoint list and the network between the hosts. Its input to the hosts depends only on its seed and on
/// their actions.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "golden/golden_file.h"
#include "golden/step_scheduler.h"
#include "simulated_hosts.h"

namespace wingproxy::test {

/// The parameters of a scenario.
struct SimulationSettings {
    std::string name;
    std::uint64_t seed = 0;
    int hosts = 4;
    Micros duration = 0;
    bool mayCheckHealth = true;
    bool mayCancel = true;
    bool hasRetryBudget = true;
    /// Whether hosts poll the endpoint list; otherwise changes are pushed to them.
    bool pollsEndpointList = false;
    /// Mean time between two requests at normal load.
    Micros arrivalGap = 4'000;
    /// Time that a node needs for one unit, and the percentage by which it varies in both directions.
    Micros serviceTime = 9'000;
    std::int64_t serviceJitterPercent = 40;
    /// Requests that a node serves at the same time.
    int workers = 4;
    /// Percentage of requests for new objects, which any cell may serve.
    std::int64_t newObjectPercent = 30;
    /// Number of volumes of each plan besides the busy one.
    std::int64_t quietVolumes = 8;
    /// Whether the request classes have a latency objective.
    bool classesHaveObjectives = true;
};

/// One line of a reply: the name of an action and its fields.
struct ReplyLine {
    explicit ReplyLine(std::string_view text);
    /// \throws std::out_of_range if the field is missing
    std::int64_t integer(const std::string& key) const { return std::stoll(fields.at(key)); }

    std::string name;
    std::map<std::string, std::string> fields;
};

/// The simulated cluster and its clock.
class WireSimulation {
public:
    explicit WireSimulation(const SimulationSettings& settings);

    /// Runs the simulation to its end.
    /// \param onBatch called with the complete reply to each batch
    /// \throws std::runtime_error if the hosts report an exception or send an invalid action
    void run(const std::function<void(const std::string& reply)>& onBatch);

    std::uint64_t batches() const { return batches_; }
    std::uint64_t inputLines() const { return inputLines_; }
    const std::map<std::string, std::uint64_t>& inputKinds() const { return inputKinds_; }
    const std::map<std::string, std::uint64_t>& actionKinds() const { return actionKinds_; }

private:
    struct Host {
        bool up = false;
        /// Number of its starts so far. Events for an earlier start are dropped.
        int startCount = 0;
    };
    struct Node {
        std::string id;
        std::string zone;
        int cell = 0;
        std::string readiness = "Ready";
        Micros startedAt = 0;
        Micros drainsUntil = 0;
        std::vector<Micros> workerFreeAt;
        int waiting = 0;
        std::int64_t slowdownPercent = 100;
        std::int64_t errorPercent = 0;
        std::int64_t fullPercent = 0;
        std::int64_t lossPercent = 0;
        bool unreachable = false;
        Micros pausedUntil = 0;
    };
    struct Request {
        int host = 0;
        /// The host's startCount when the request was submitted.
        int hostStartCount = 0;
        std::string qos;
        Micros deadline = 0;
        std::int64_t units = 1;
        std::string line;
        int attempts = 0;
        std::set<int> openAttempts;
        bool finished = false;
    };
    struct Attempt {
        std::uint64_t request = 0;
        int number = 0;
        std::string node;
        Micros sentAt = 0;
    };

    void at(Micros time, std::function<void()> step);
    void addLine(const std::string& line);
    void addMessage(int host, const std::string& name, const std::string& fields);
    std::string hostName(int host) const { return "head/" + std::to_string(host); }

    void startHost(int host);
    void stopHost(int host);
    std::string settingsOf(int host) const;

    void scheduleNodeScript(Micros from);
    void scheduleNodeFaults(Micros from);
    void scheduleNodeRestarts(Micros from);
    void scheduleHostRestarts(Micros from);
    void changeNodeAt(Micros time, int index, std::function<void(Node&)> change);
    void drainNodeAt(Micros time, int index);
    void restartNodeAt(Micros time, int index);
    void schedulePartition(Micros from);
    Node& node(const std::string& id);
    [[nodiscard]] bool isInSlowStart(const Node& node) const;
    void changeNode(const std::string& id, const std::string& readiness);
    void restartNode(const std::string& id);
    void announceChange(const std::vector<std::string>& changed);
    int addEndpointList(const std::vector<const Node*>& nodes);
    void sendWholeList(int host, const std::string& how);
    void answerPoll(int host);

    void scheduleArrival();
    void submitNewRequest();
    void submit(int host, std::uint64_t id, const std::string& line, Request request);
    void scheduleCancellation(std::uint64_t id);
    Micros nextArrivalGap();

    void perform(const ReplyLine& action);
    void forwardRequest(int host, const ReplyLine& action);
    void arriveAtNode(const Attempt& attempt);
    void serve(const Attempt& attempt, Node& node);
    void startResponse(const Attempt& attempt);
    void endAttempt(const Attempt& attempt, const std::string& code);
    void onRejected(const ReplyLine& action);
    void passPeerMessage(int host, const ReplyLine& action);
    void corrupt(std::string& bytes);
    void schedulePeerMessage(int from, int to, const std::string& bytes);
    void deliverPeerMessage(int from, int to, const std::string& base64);
    void checkHealth(int host, const ReplyLine& action);

    SimulationSettings settings_;
    SeededRandom random_;
    wire::SimulatedHosts simulatedHosts_;
    StepScheduler scheduler_;
    std::vector<Host> hosts_;
    std::vector<Node> nodes_;
    std::map<std::uint64_t, Request> requests_;
    std::string batch_;
    Micros now_ = 0;
    Micros end_ = 0;
    std::uint64_t lastRequest_ = 0;
    std::int64_t listVersion_ = 0;
    int lastListId_ = -1;
    std::uint64_t batches_ = 0;
    std::uint64_t inputLines_ = 0;
    bool partitioned_ = false;
    std::map<std::string, std::uint64_t> inputKinds_;
    std::map<std::string, std::uint64_t> actionKinds_;
};

}  // namespace wingproxy::test
