/// \file
/// The fleet of a soak: real processes of the front, fake nodes behind proxies, and a fake discovery service
/// for each front.
#pragma once

#include "soak/fault_control_file.h"
#include "soak/reference_queue.h"
#include "soak/soak_clients.h"

namespace wingproxy::soak {

/// One front with its discovery service and the state of its process.
struct Front {
    Front(asio::io_context& io, Observations& observations, std::size_t number)
        : index(number),
          discovery(io, observations, number),
          listener(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          faults(folder.file("faults")) {}
    std::size_t index;
    test::TemporaryFolder folder;
    FakeDiscovery discovery;
    tcp::acceptor listener;
    FaultControlFile faults;
    std::unique_ptr<test::Process> process;
    int starts = 0;
    FrontState state;
    std::optional<Clock::time_point> acceptsUntil;  ///< after SIGTERM: when clients stop opening connections
    std::optional<Clock::time_point> killAt;        ///< after SIGTERM: when SIGKILL follows
    std::optional<Clock::time_point> restartAt;
    bool isReady = false;
    Clock::time_point pausedUntil{};  ///< end of the last pause of its process
    std::deque<test::TestConnectionPtr> flood;

    /// Whether its process is running and has logged that it listens.
    [[nodiscard]] bool serves() const { return process && isReady; }
};

/// A node, the proxy in front of it, its reference model and its entry in the endpoint list.
struct Node {
    Node(asio::io_context& io, Observations& observations, const ObservedNode& observed,
         const Settings& settings, bool dropsAbandoned)
        : server(io, observations, observed, settings, dropsAbandoned), proxy(io, server.endpoint()) {}
    FakeNode server;
    FaultProxy proxy;
    ReferenceQueue reference;
    int cell = 0;
    std::int64_t startedAtMs = 0;
    bool isListed = true;
    bool isSilent = false;    ///< its proxy forwards nothing
    bool misbehaves = false;  ///< its behaviour is any but `Serve`
};

/// Starts and ends the processes, publishes the endpoint list, and maintains the reference model.
class Fleet {
public:
    /// \param result receives the counts of the fleet
    Fleet(const SoakPlan& plan, SoakResult& result);

    /// Serves processes, discovery and nodes; to be called in each iteration of the loop.
    /// \param requestWaitingAt the id of an unanswered request at a front; empty if there is none
    void poll(const std::function<std::string(std::size_t front)>& requestWaitingAt);
    /// Ends the run: adds the final counts to the result.
    void finish();

    // ---- actions of faults

    void kill(Front& front);
    void terminate(Front& front, bool twice);
    void replaceNode(Node& old);
    void unlist(Node& node);
    /// The node's process crashes and is replaced at once; `publishEndpointList` must announce that.
    void crashNode(Node& node);
    void publishEndpointList();
    void setBehaviour(Node& node, FakeNode::Behaviour behaviour);
    void setSilent(Node& node, bool isSilent);

    /// A client sent a request: the reference model gives it to the node that would answer first, if one
    /// would in time.
    void offer(const OfferedRequest& request);

    [[nodiscard]] std::vector<std::unique_ptr<Front>>& fronts() { return fronts_; }
    /// The nodes that are listed and not draining.
    [[nodiscard]] std::vector<Node*> listedNodes();
    [[nodiscard]] test::Relay& relay() { return *relay_; }
    [[nodiscard]] asio::io_context& io() { return io_; }
    [[nodiscard]] Observations& observations() { return observations_; }
    /// Units per second that all nodes together serve at present.
    [[nodiscard]] double capacity() const;

private:
    std::string baseConfig() const;
    std::string configOf(std::size_t index);
    void startProcess(Front& front);
    void poll(Front& front, const std::string& waitingRequest);
    void checkReady(Front& front);
    void onKillDeadline(Front& front, const std::string& waitingRequest);
    void onExit(Front& front);
    void onProcessGone(Front& front);
    Node& addNode(int cell, bool isStarting);
    bool isUsable(const Front& front, Node& node) const;
    static void updateReference(Node& node);

    SoakPlan plan_;
    SoakResult& result_;
    std::mt19937_64 random_;
    Settings settings_;
    Observations observations_;
    asio::io_context io_;
    std::unique_ptr<test::Relay> relay_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<std::unique_ptr<Front>> fronts_;
    std::int64_t version_ = 0;
};

}  // namespace wingproxy::soak
