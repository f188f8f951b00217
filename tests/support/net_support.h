/// \file
/// Fixtures for tests with sockets: a front with all its parts, servers that stand in for nodes and
/// discovery, and clients. All run on one event loop and on loopback ports that the system chooses. Nothing
/// sleeps: a test runs the loop until the condition that it waits for holds.
#pragma once

#include <doctest/doctest.h>

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "config/config.h"
#include "config/operator_config.h"
#include "http/front.h"
#include "net/discovery_client.h"
#include "net/peer_transport.h"
#include "rsync/front.h"
#include "support/test_config.h"

namespace wingproxy::test {

namespace asio = boost::asio;
using asio::ip::tcp;

/// One end of a connection that the test controls. It reads continuously; `received` holds the bytes that
/// arrived.
struct TestConnection : std::enable_shared_from_this<TestConnection> {
    explicit TestConnection(tcp::socket connected) : socket(std::move(connected)) {}
    void start() {
        socket.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](
                                                         const boost::system::error_code& error,
                                                         std::size_t count) { self->onRead(error, count); });
    }
    /// Starts to write the text, of which the operation keeps a copy.
    void send(std::string text) {
        const auto held = std::make_shared<std::string>(std::move(text));
        asio::async_write(socket, asio::buffer(*held), [held, self = shared_from_this()](auto, auto) {});
    }
    void close() {
        boost::system::error_code ignored;
        socket.close(ignored);
    }
    /// Closes the connection with a reset.
    void reset() {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }
    bool hasReceived(std::string_view text) const { return received.find(text) != std::string::npos; }
    /// Clears `received`, before the next message on the connection.
    void clearReceived() { received.clear(); }

    tcp::socket socket;
    std::string received;
    std::string autoResponse;             ///< unless empty: the response to each request without a body
    bool ended = false;                   ///< closed or reset by the other end, or closed here
    boost::system::error_code endedWith;  ///< eof after a FIN, or the error of a reset

private:
    void onRead(const boost::system::error_code& error, std::size_t count) {
        received.append(chunk_.data(), count);
        if (error) {
            ended = true;
            endedWith = error;
        } else {
            start();
        }
        if (autoResponse.empty() || !hasReceived("\r\n\r\n")) return;
        clearReceived();
        send(autoResponse);
    }

    std::array<char, 4096> chunk_{};
};
using TestConnectionPtr = std::shared_ptr<TestConnection>;

/// Makes a connection of a connected socket and starts to read from it.
inline TestConnectionPtr startConnection(tcp::socket socket) {
    auto connection = std::make_shared<TestConnection>(std::move(socket));
    connection->start();
    return connection;
}

/// Connects to a server that is listening already, and starts to read from the connection.
inline TestConnectionPtr connectTo(asio::io_context& io, const tcp::endpoint& server) {
    tcp::socket socket(io);
    socket.connect(server);
    return startConnection(std::move(socket));
}

/// A server that sends no responses by itself: the test sends them on its connections.
struct StubServer {
    explicit StubServer(asio::io_context& io, const std::string& address = "127.0.0.1",
                        std::uint16_t port = 0)
        : acceptor(io, tcp::endpoint(asio::ip::make_address(address), port)) {
        accept();
    }
    void accept() {
        acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (error) return;
            connections.push_back(startConnection(std::move(socket)));
            if (onConnection) onConnection(*connections.back());
            accept();
        });
    }
    config::Endpoint address() const {
        const auto bound = acceptor.local_endpoint();
        return {bound.address().to_string(), bound.port()};
    }

    tcp::acceptor acceptor;
    std::deque<TestConnectionPtr> connections;          ///< all accepted connections, the latest one last
    std::function<void(TestConnection&)> onConnection;  ///< unless empty: called with each new connection
};

/// Runs the loop until the condition holds. If it does not hold within 15 s, the test fails rather than
/// hangs.
/// \param what describes the condition in the failure message
inline void runUntil(asio::io_context& io, const std::function<bool()>& condition,
                     const char* what = "what the test waits for") {
    constexpr std::chrono::seconds kWaitTimeout{15};
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end)
        io.run_one_for(std::chrono::milliseconds(50));
    REQUIRE_MESSAGE(condition(), std::string(what));
}

/// So long that no watch request times out while a test runs: no server answers one unless the test does.
constexpr net::WatchTiming kLongWatchTiming{std::chrono::seconds(60), std::chrono::seconds(1),
                                            std::chrono::seconds(1)};

/// A complete front except for its process: the parts that src/app connects, with one server for each node
/// and one for discovery.
struct GatewayFixture {
    explicit GatewayFixture(config::Config base = testConfig(), std::size_t nodeCount = 1,
                            std::size_t maxClients = 64, std::size_t ringBytes = net::kMaxRingBytes,
                            net::WatchTiming watchTiming = kLongWatchTiming)
        : discoveryServer(io),
          config(prepare(std::move(base), nodeCount)),
          engine(io, config, logger),
          pool(io, {64, std::chrono::microseconds(config.settings.connectTimeoutUs), std::chrono::seconds(15),
                    ringBytes}),
          rsyncPool(
              io, {16, std::chrono::microseconds(config.settings.connectTimeoutUs), std::chrono::seconds(0)}),
          discovery(engine, config.discovery, watchTiming),
          peers(engine, config),
          front(engine, pool, config.listen, maxClients, ringBytes),
          rsync(engine, rsyncPool, rsyncConfig(), 16) {
        engine.setEffectHandlers(
            {[this](PeerRecipient to, const std::string& bytes) { peers.send(to, bytes); },
             [this](bool on) { discovery.setWatching(on); },
             [this](const std::string& id, const config::Endpoint& at) {
                 http::startHealthCheck(engine, pool, id, at);
             }});
        engine.start();
    }
    ~GatewayFixture() {
        engine.stop();
        for (auto* const sessionManager : {&front.sessionManager(), &rsync.sessionManager()}) {
            sessionManager->closeListener();
            sessionManager->stop();
        }
        discovery.stop();
        peers.stop();
        pool.clear();
        rsyncPool.clear();
    }
    GatewayFixture(const GatewayFixture&) = delete;
    GatewayFixture& operator=(const GatewayFixture&) = delete;

    void waitUntil(const std::function<bool()>& condition, const char* what = "what the test waits for") {
        runUntil(io, condition, what);
    }
    TestConnectionPtr connect(const config::Endpoint& to) { return connectTo(io, net::tcpEndpoint(to)); }
    TestConnectionPtr client() { return connect(front.sessionManager().address()); }
    TestConnectionPtr rsyncClient() { return connect(rsync.sessionManager().address()); }
    StubServer& node(std::size_t i = 0) { return *nodes.at(i); }
    /// Waits until a node has received this text, and returns the connection on which it did.
    TestConnectionPtr waitForNodeToReceive(std::string_view text, std::size_t i = 0) {
        TestConnectionPtr found;
        waitUntil([&] {
            for (const auto& connection : node(i).connections)
                if (connection->hasReceived(text)) found = connection;
            return found != nullptr;
        });
        return found;
    }
    /// Answers the pending watch request with a change of one node's state, and waits until the front has
    /// read it.
    /// \param id "s-" and the node's index
    void announceNodeState(const std::string& id, const std::string& state) {
        waitUntil([&] {
            return !discoveryServer.connections.empty() &&
                   discoveryServer.connections.back()->hasReceived("\r\n\r\n");
        });
        const auto& connection = discoveryServer.connections.back();
        connection->clearReceived();
        const int index = id.back() - '0';
        const auto address = node(static_cast<std::size_t>(index)).address();
        const auto body = fmt::format(
            R"({{"generation":{},"reset":false,"instances":[{{"instanceId":"{}","hostPort":"{}:{}",)"
            R"("zone":"z","cell":{},"lifecycle":"{}","weight":1.0,"startedAtMs":0}}]}})",
            ++generation, id, address.host, address.port, index, state);
        const auto answers = discovery.counters().answers;
        connection->send(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body));
        waitUntil([&] { return discovery.counters().answers > answers; });
    }
    std::uint64_t outcomes(Outcome outcome) const {
        return engine.counters().outcomes[static_cast<std::size_t>(outcome)];
    }

    /// Starts the nodes' servers, and enters their addresses and discovery's in the configuration. Node
    /// "s-0" is in cell 0, and so on.
    config::Config prepare(config::Config prepared, std::size_t nodeCount) {
        prepared.discovery = discoveryServer.address();
        auto& known = prepared.cachedEndpoints;
        for (std::size_t i = 0; i < nodeCount; ++i) {
            nodes.push_back(std::make_unique<StubServer>(io));
            known.list.nodes.push_back(
                {fmt::format("s-{}", i), "z", CellIndex::ofPosition(i), 1, NodeState::Ready, 0});
            known.addresses.push_back(nodes.back()->address());
        }
        return prepared;
    }
    /// Four modules: an ordinary one for pulls and pushes, one with a short deadline, one that is read-only,
    /// and one whose transfers are large.
    static config::RsyncFront rsyncConfig() {
        config::RsyncModule standard;
        standard.name = "manuales";
        standard.comment = "bundles";
        standard.nodeModule = "bodega";
        standard.volume = "00000000000000aa";
        standard.plan = PlanIndex(0);
        standard.pullClass = ClassIndex(0);
        standard.pushClass = ClassIndex(1);
        standard.units = 2;
        standard.deadlineUs = 2'000'000;
        auto shortDeadline = standard;
        shortDeadline.name = "breve";
        shortDeadline.deadlineUs = 600'000;
        auto readOnly = standard;
        readOnly.name = "lectura";
        readOnly.pushClass = ClassIndex();
        auto large = standard;
        large.name = "grande";
        large.units = 6;
        return {{"127.0.0.1", 0}, 0, "", {standard, shortDeadline, readOnly, large}};
    }

    asio::io_context io;
    log::Logger logger{log::Level::Error};
    std::vector<std::unique_ptr<StubServer>> nodes;
    StubServer discoveryServer;
    std::int64_t generation = 1;
    config::Config config;
    net::Engine engine;
    net::NodePool pool;
    net::NodePool rsyncPool;
    net::DiscoveryClient discovery;
    net::PeerTransport peers;
    http::Front front;
    rsync::Front rsync;
};

/// A request of a platform client. Class "lectura" is idempotent; class "alta" uses idempotency keys.
struct PlatformRequest {
    std::string id = "9b1f03aa5c7e2d41";
    std::string kind = "lectura";
    std::string tier = "prioritario";
    std::string volume = "00000003b4d60021";
    std::string body{};
    int deadlineMs = 1500;
    int shard = 0;
    double units = 2;

    /// The HTTP message: a PUT with an idempotency key for "alta", otherwise a GET.
    std::string text() const {
        return fmt::format(
            "{} /api?x=1 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {}\r\nReq-Kind: {}\r\nTier: {}\r\n"
            "Cookie: key=7f3a9c21e0b4d655\r\nReq-Deadline-Ms: {}\r\nContent-Length: {}\r\n{}"
            "IO-Info: volume={},units={},shard={},hosts=1\r\n\r\n{}",
            kind == "alta" ? "PUT" : "GET", id, kind, tier, deadlineMs, body.size(),
            kind == "alta" ? "Idempotency-Key: k-1\r\n" : "", volume, units, shard, body);
    }
};

/// A node's response with status 200.
/// \param fields complete lines, besides Content-Length
inline std::string ok(std::string_view body, std::string_view fields = "") {
    return fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}", fields, body.size(), body);
}
/// A node's response without a body.
/// \param fields complete lines, besides Content-Length
inline std::string status(int code, std::string_view fields = "") {
    return fmt::format("HTTP/1.1 {} x\r\n{}Content-Length: 0\r\n\r\n", code, fields);
}

/// Spends the burst of a rate-limited volume through the HTTP front, counts the units spent, and computes
/// what the limit allows.
struct LimitedVolumeLoad {
    static constexpr double kUnits = 6;  ///< units of each request
    static PlatformRequest request(int i) {
        return {
            .id = fmt::format("{:016x}", i), .tier = "basico", .volume = "00000000000000aa", .units = kUnits};
    }
    explicit LimitedVolumeLoad(GatewayFixture& fixture)
        : fixture(fixture), since(std::chrono::steady_clock::now()) {
        fixture.node().onConnection = [](TestConnection& connection) { connection.autoResponse = ok("x"); };
        const auto client = fixture.client();
        for (int i = 0; i < 8; ++i, client->clearReceived()) {
            client->send(request(i).text());
            fixture.waitUntil([&] { return client->hasReceived("\r\n\r\n"); });
            CHECK(client->hasReceived(" 200 "));
            units += kUnits;
        }
    }
    /// The units that the limit has allowed since the first request, including burst and slack.
    double allowed() const {
        const auto& plan = fixture.config.settings.plans[0];
        const std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - since;
        return plan.limitBurst + plan.limitSlack + plan.limit * seconds.count();
    }
    GatewayFixture& fixture;
    std::chrono::steady_clock::time_point since;
    double units = 0;  ///< units spent so far
};

}  // namespace wingproxy::test
