/// \file
/// The fleet of a soak: real processes of the front, stand-in nodes behind proxies, discovery for each front.
#pragma once

#include "soak/fault_control_file.h"
#include "soak/reference_queue.h"
#include "soak/soak_clients.h"

namespace wingproxy::soak {

/// One front with its stand-in discovery and the state of its process.
struct Front {
    Front(asio::io_context& io, Observations& observations, std::size_t number)
        : index(number),
          discovery(io, observations, number),
          listening(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          faults(folder.file("faults")) {}
    std::size_t index;
    test::TemporaryFolder folder;
    StandInDiscovery discovery;
    tcp::acceptor listening;
    FaultControlFile faults;
    std::unique_ptr<test::Process> process;
    int starts = 0;
    FrontState state;
    std::optional<Clock::time_point> acceptsUntil;  ///< after SIGTERM
    std::optional<Clock::time_point> killAt;        ///< likewise
    std::optional<Clock::time_point> restartAt;
    bool isReady = false;
    Clock::time_point heldUpUntil{};  ///< when its process last went on after a stop
    std::deque<test::TestConnectionPtr> crowd;

    /// Whether signals reach a process that serves.
    [[nodiscard]] bool serves() const { return process && isReady; }
};

/// A node, the proxy on its way, and what the list says of it.
struct Node {
    Node(asio::io_context& io, Observations& observations, const ObservedNode& observed,
         const Settings& settings, bool dropsAbandoned)
        : server(io, observations, observed, settings, dropsAbandoned), proxy(io, server.endpoint()) {}
    StandInNode server;
    FaultProxy proxy;
    ReferenceQueue reference;
    int cell = 0;
    std::int64_t startedAtMs = 0;
    bool isListed = true;
    bool isSilent = false;    ///< its proxy passes nothing
    bool misbehaves = false;  ///< it does anything but serve
};

/// Starts and ends the processes, keeps the list of nodes, and says what could be answered.
class Fleet {
public:
    /// \param result gets what the fleet counts
    Fleet(const SoakPlan& plan, SoakResult& result);

    /// Looks after processes, discovery and nodes; to be called in each turn of the loop.
    void poll(const std::function<std::string(std::size_t front)>& requestWaitingAt);
    /// The run is over.
    void finish();

    // ---- what faults do

    void kill(Front& front);
    void terminate(Front& front, bool twice);
    void replaceNode(Node& old);
    void unlist(Node& node);
    /// The node's process dies; a new one is there at once, and the list tells of it with `tellList`.
    void crashNode(Node& node);
    void tellList();
    void setBehaviour(Node& node, StandInNode::Behaviour behaviour);
    void setSilent(Node& node, bool isSilent);

    /// A request is asked for: gives it to the node that would answer it first, if one would in time.
    void offer(const OfferedRequest& request);

    [[nodiscard]] std::vector<std::unique_ptr<Front>>& fronts() { return fronts_; }
    /// The nodes that are listed and do not drain.
    [[nodiscard]] std::vector<Node*> listedNodes();
    [[nodiscard]] test::Relay& relay() { return *relay_; }
    [[nodiscard]] asio::io_context& io() { return io_; }
    [[nodiscard]] Observations& observations() { return observations_; }
    /// Units a second that all nodes together do when they are warm.
    [[nodiscard]] double capacity() const;

private:
    std::string baseConfig() const;
    std::string configOf(std::size_t index);
    void startProcess(Front& front);
    void poll(Front& front, const std::string& waitingRequest);
    void noteReady(Front& front);
    void onKillTime(Front& front, const std::string& waitingRequest);
    void onExit(Front& front);
    void takeDown(Front& front);
    Node& addNode(int cell, bool isStarting);
    bool mayUse(const Front& front, Node& node) const;
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
