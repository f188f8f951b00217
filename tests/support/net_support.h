// The one helper of the network tests: stand-ins and clients on the loop of the parts under test, all on
// loopback ports that the system gives. Nothing sleeps: a test runs the loop until what it waits for is
// there.
#pragma once

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "config/config.h"
#include "config/operator_config.h"
#include "http/front.h"
#include "net/discovery.h"
#include "net/peers.h"
#include "rsync/front.h"

namespace wingproxy::test {

namespace asio = boost::asio;
using asio::ip::tcp;

// One end of a connection, driven by the test: what came is in `got`.
struct Wire : std::enable_shared_from_this<Wire> {
    explicit Wire(tcp::socket s) : socket(std::move(s)) {}
    void start() {
        socket.async_read_some(
            asio::buffer(chunk),
            [self = shared_from_this()](const boost::system::error_code& error, std::size_t n) {
                self->got.append(self->chunk.data(), n);
                if (error)
                    self->ended = true;
                else
                    self->start();
                // A whole request without a body, where the test wants it answered by itself.
                if (!self->reply.empty() && self->has("\r\n\r\n")) {
                    self->drop();
                    self->say(self->reply);
                }
            });
    }
    void say(std::string text) {
        const auto held = std::make_shared<std::string>(std::move(text));
        asio::async_write(socket, asio::buffer(*held), [held, self = shared_from_this()](auto, auto) {});
    }
    void close() {
        boost::system::error_code ignored;
        socket.close(ignored);
    }
    void reset() {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }
    bool has(std::string_view text) const { return got.find(text) != std::string::npos; }
    // Forgets what came up to and with the text; for requests after the first on a connection.
    void drop() { got.clear(); }
    tcp::socket socket;
    std::array<char, 4096> chunk{};
    std::string got, reply;
    bool ended = false;
};
using WirePtr = std::shared_ptr<Wire>;

// A server that does nothing by itself: the test answers on its connections.
struct StandIn {
    explicit StandIn(asio::io_context& io, const std::string& address = "127.0.0.1", std::uint16_t port = 0)
        : acceptor(io, tcp::endpoint(asio::ip::make_address(address), port)) {
        accept();
    }
    void accept() {
        acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (error) return;
            wires.push_back(std::make_shared<Wire>(std::move(socket)));
            wires.back()->start();
            if (greets) greets(*wires.back());
            accept();
        });
    }
    config::Endpoint address() const {
        const auto bound = acceptor.local_endpoint();
        return {bound.address().to_string(), bound.port()};
    }
    tcp::acceptor acceptor;
    std::deque<WirePtr> wires;
    std::function<void(Wire&)> greets;
};

// Runs the loop until it is so; a test that waits in vain fails after this bound and does not hang.
inline void runUntil(asio::io_context& io, const std::function<bool()>& so,
                     const char* what = "what the test waits for") {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(15);
    while (!so() && std::chrono::steady_clock::now() < end)
        io.run_one_for(std::chrono::milliseconds(50));
    REQUIRE_MESSAGE(so(), std::string(what));
}

inline config::Config baseConfig() {
    return config::parseConfig(
        config::readFile(std::string(WINGPROXY_SOURCE) + "/tests/support/config.json"));
}

// The stand-in for discovery answers no watch by itself: none is missed while a test runs.
constexpr net::WatchTiming kLongWatches{std::chrono::seconds(60), std::chrono::seconds(1),
                                        std::chrono::seconds(1)};

// A whole front but for the process: everything that main.cpp wires, on this loop.
struct Rig {
    explicit Rig(config::Config c = baseConfig(), std::size_t nodeCount = 1, std::size_t mostClients = 64,
                 std::size_t ring = net::kMostRing, net::WatchTiming watches = kLongWatches)
        : discoveryServer(io),
          config(prepare(std::move(c), nodeCount)),
          engine(io, config, logger),
          pool(io, {64, std::chrono::microseconds(config.connectTimeoutUs), std::chrono::seconds(15), ring}),
          rsyncPool(io, {16, std::chrono::microseconds(config.connectTimeoutUs), std::chrono::seconds(0)}),
          discovery(engine, config.discovery, watches),
          peers(engine, config),
          front(engine, pool, config.listen, mostClients, ring),
          rsync(engine, rsyncPool, rsyncConfig(), 16) {
        engine.setEffectHandlers(
            {[this](PeerRecipient to, const std::string& bytes) { peers.send(to, bytes); },
             [this](bool on) { discovery.setWatching(on); },
             [this](const std::string& id, const config::Endpoint& at) {
                 http::probe(engine, pool, id, at);
             }});
        engine.start();
    }
    ~Rig() {
        engine.stop();
        front.sessionManager().closeListener(), front.sessionManager().stop();
        rsync.sessionManager().closeListener(), rsync.sessionManager().stop();
        discovery.stop(), peers.stop(), pool.clear(), rsyncPool.clear();
    }
    void until(const std::function<bool()>& so, const char* what = "what the test waits for") {
        runUntil(io, so, what);
    }
    WirePtr connect(const config::Endpoint& to) {
        tcp::socket socket(io);
        socket.connect(net::tcpEndpoint(to));
        const auto wire = std::make_shared<Wire>(std::move(socket));
        wire->start();
        return wire;
    }
    WirePtr client() { return connect(front.sessionManager().address()); }
    WirePtr rsyncClient() { return connect(rsync.sessionManager().address()); }
    StandIn& node(std::size_t i = 0) { return *nodes.at(i); }
    // The connection on which a node got this text, once it has.
    WirePtr nodeHas(std::string_view text, std::size_t i = 0) {
        WirePtr found;
        until([&] {
            for (const auto& wire : node(i).wires)
                if (wire->has(text)) found = wire;
            return found != nullptr;
        });
        return found;
    }
    // Discovery answers the watch that is open with a change of one node's state.
    void tellState(const std::string& id, const std::string& state) {
        until(
            [&] { return !discoveryServer.wires.empty() && discoveryServer.wires.back()->has("\r\n\r\n"); });
        const auto& wire = discoveryServer.wires.back();
        wire->drop();
        const auto& at = nodes.at(std::size_t(id.back() - '0'))->address();
        const auto body = fmt::format(
            R"({{"generation":{},"reset":false,"instances":[{{"instanceId":"{}","hostPort":"{}:{}","zone":"z","cell":{},"lifecycle":"{}","weight":1.0,"startedAtMs":0}}]}})",
            ++generation, id, at.host, at.port, id.back() - '0', state);
        const auto answers = discovery.counters().answers;
        wire->say(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body));
        until([&] { return discovery.counters().answers > answers; });
    }
    std::uint64_t outcomes(Outcome o) const { return engine.counters().outcomes[std::size_t(o)]; }

    config::Config prepare(config::Config c, std::size_t nodeCount) {
        c.discovery = discoveryServer.address();
        for (std::size_t i = 0; i < nodeCount; ++i) {
            nodes.push_back(std::make_unique<StandIn>(io));
            c.cachedEndpoints.list.nodes.push_back(
                {fmt::format("s-{}", i), "z", CellIndex::ofPosition(i), 1, NodeState::Ready, 0});
            c.cachedEndpoints.addresses.push_back(nodes.back()->address());
        }
        return c;
    }
    static config::RsyncFront rsyncConfig() {
        config::RsyncModule m;
        m.name = "manuales";
        m.comment = "bundles";
        m.nodeModule = "bodega";
        m.volume = "00000000000000aa";
        m.plan = PlanIndex(0);
        m.pullClass = ClassIndex(0);
        m.pushClass = ClassIndex(1);
        m.units = 2;
        m.deadlineUs = 2'000'000;
        auto quick = m, large = m, readOnly = m;
        quick.name = "breve", quick.deadlineUs = 600'000;
        readOnly.name = "lectura", readOnly.pushClass = ClassIndex();
        large.name = "grande", large.units = 6;
        return {{"127.0.0.1", 0}, 0, "", {m, quick, readOnly, large}};
    }

    asio::io_context io;
    log::Logger logger{log::Level::Error};
    std::vector<std::unique_ptr<StandIn>> nodes;
    StandIn discoveryServer;
    std::int64_t generation = 1;
    config::Config config;
    net::Engine engine;
    net::NodePool pool, rsyncPool;
    net::Discovery discovery;
    net::Peers peers;
    http::Front front;
    rsync::Front rsync;
};

struct Ask {
    std::string id = "9b1f03aa5c7e2d41", kind = "lectura", tier = "prioritario", volume = "00000003b4d60021",
                body = "";
    int deadlineMs = 1500, shard = 0;
    double units = 2;
    std::string text() const {
        return fmt::format(
            "{} /api?x=1 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {}\r\nReq-Kind: {}\r\nTier: {}\r\n"
            "Cookie: key=7f3a9c21e0b4d655\r\nReq-Deadline-Ms: {}\r\nContent-Length: {}\r\n{}"
            "IO-Info: volume={},units={},shard={},hosts=1\r\n\r\n{}",
            kind == "alta" ? "PUT" : "GET", id, kind, tier, deadlineMs, body.size(),
            kind == "alta" ? "Idempotency-Key: k-1\r\n" : "", volume, units, shard, body);
    }
};
inline std::string ok(std::string_view body, std::string_view fields = "") {
    return fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}", fields, body.size(), body);
}
inline std::string status(int code, std::string_view fields = "") {
    return fmt::format("HTTP/1.1 {} x\r\n{}Content-Length: 0\r\n\r\n", code, fields);
}

// Spends the store of a limited volume through the platform's front, and keeps account of what the limit
// allows.
struct Spending {
    static constexpr double kUnits = 6;
    static Ask ask(int i) {
        return {
            .id = fmt::format("{:016x}", i), .tier = "basico", .volume = "00000000000000aa", .units = kUnits};
    }
    explicit Spending(Rig& rig) : rig(rig), since(std::chrono::steady_clock::now()) {
        rig.node().greets = [](Wire& wire) { wire.reply = ok("x"); };
        const auto client = rig.client();
        for (int i = 0; i < 8; ++i, client->drop()) {
            client->say(ask(i).text());
            rig.until([&] { return client->has("\r\n\r\n"); });
            CHECK(client->has(" 200 "));
            units += kUnits;
        }
    }
    double allowed() const {
        const auto& plan = rig.config.settings.plans[0];
        const std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - since;
        return plan.limitBurst + plan.limitSlack + plan.limit * seconds.count();
    }
    Rig& rig;
    std::chrono::steady_clock::time_point since;
    double units = 0;
};

}  // namespace wingproxy::test
