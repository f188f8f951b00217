// Requests whose clients disconnect.
#include "http/http_test_support.h"
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;
using std::chrono::milliseconds;

namespace {

// A client that disconnects while its request is queued must be detected within this time.
constexpr milliseconds kDisconnectNoticed{100};

// A node with as many requests in flight as the policy allows, so that the front queues further ones.
struct SaturatedNode {
    static constexpr int kCapacity = 3;
    SaturatedNode() : fixture(config()) {
        for (int i = 0; i < kCapacity; ++i) {
            clients.push_back(fixture.client());
            clients.back()->send(PlatformRequest{.id = id(i), .deadlineMs = 30'000}.text());
            fixture.waitForNodeToReceive(id(i));
        }
    }
    static config::Config config() {
        auto config = testConfig();
        for (auto& c : config.settings.classes)
            c.latencyObjectiveUs = 20'000'000;
        return config;
    }
    // Opens a connection whose request is queued; `text` may end with pipelined requests or a part of a body.
    std::shared_ptr<tcp::socket> queue(const std::string& text, std::size_t requests = 1) {
        const auto before = fixture.engine.counters().received;
        const auto socket = std::make_shared<tcp::socket>(fixture.io);
        socket->connect(net::tcpEndpoint(fixture.front.sessionManager().address()));
        asio::write(*socket, asio::buffer(text));
        fixture.waitUntil([&] { return fixture.engine.counters().received == before + requests; },
                          "the request is queued");
        return socket;
    }
    // The node responds, and a later request of another client reaches it: the queued request, if it had been
    // kept, would have reached the node before.
    void expectNothingSentOf(int disconnected) {
        for (int i = 0; i < kCapacity; ++i)
            fixture.waitForNodeToReceive(id(i))->send(ok("hecho"));
        for (const auto& client : clients)
            fixture.waitUntil([&] { return client->hasReceived("hecho"); });
        const auto last = fixture.client();
        last->send(PlatformRequest{.id = id(999)}.text());
        fixture.waitForNodeToReceive(id(999));
        for (const auto& connection : fixture.node().connections)
            CHECK(!connection->hasReceived(id(disconnected)));
        CHECK(fixture.engine.counters().received == kCapacity + 2);
    }
    GatewayFixture fixture;
    std::vector<TestConnectionPtr> clients;
};

void resetConnection(tcp::socket& socket) {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
}

// An address to which connections stay pending, as its accept queue is full.
struct Unreachable {
    explicit Unreachable(asio::io_context& io) : acceptor(io) {
        acceptor.open(tcp::v4());
        acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
        acceptor.listen(0);
        for (int i = 0; i < 8; ++i) {
            fillers.emplace_back(io);
            fillers.back().async_connect(acceptor.local_endpoint(), [](auto) {});
        }
    }
    config::Endpoint address() const { return {"127.0.0.1", acceptor.local_endpoint().port()}; }
    tcp::acceptor acceptor;
    std::deque<tcp::socket> fillers;
};

const std::string kPipelinedFlood = [] {
    std::string all;
    for (int i = 0; i < 300; ++i)
        all += PlatformRequest{.id = id(100 + i), .deadlineMs = 30'000}.text();
    return all;
}();
// A part of a long body that fills the receive buffer, and more that stays in the kernel's buffer.
const std::string kPartialBody =
    streamedPut("Content-Length: 1000000\r\n", id(100), 30'000) + std::string(3 * net::kMaxRingBytes, 'x');

}  // namespace

TEST_CASE("a queued request is dropped within 100 ms when its client disconnects by FIN or RST") {
    const struct {
        const char* what;
        std::string text;
        bool reset;
    } cases[] = {
        {"FIN", PlatformRequest{.id = id(100), .deadlineMs = 30'000}.text(), false},
        {"RST", PlatformRequest{.id = id(100), .deadlineMs = 30'000}.text(), true},
        {"hundreds of requests at once, then FIN", kPipelinedFlood, false},
        {"hundreds of requests at once, then RST", kPipelinedFlood, true},
        {"a full receive buffer, then FIN", kPartialBody, false},
        {"a full receive buffer, then RST", kPartialBody, true},
    };
    for (const auto& c : cases) {
        CAPTURE(c.what);
        SaturatedNode saturated;
        auto& fixture = saturated.fixture;
        const auto disconnecting = saturated.queue(c.text);
        const auto since = std::chrono::steady_clock::now();
        if (c.reset)
            resetConnection(*disconnecting);
        else
            disconnecting->close();
        fixture.waitUntil([&] { return fixture.engine.counters().disconnected == 1; }, c.what);
        CHECK(std::chrono::steady_clock::now() - since < kDisconnectNoticed);
        CHECK(fixture.engine.openRequests() == SaturatedNode::kCapacity);
        saturated.expectNothingSentOf(100);
        CHECK(fixture.front.counters().pipelined == (c.text == kPipelinedFlood ? 1 : 0));
        CHECK(fixture.front.sessionManager().detectedDisconnects() == (c.text == kPartialBody ? 1 : 0));
    }
}

TEST_CASE("a request whose client disconnects while the node connection is being opened is not sent") {
    for (const bool reset : {false, true}) {
        auto config = testConfig();
        config.settings.connectTimeoutUs = 10'000'000;
        config.settings.drainGraceUs = 0;
        GatewayFixture fixture(std::move(config));
        Unreachable node(fixture.io);
        fixture.engine.endpointListReceived(
            {{EndpointListKind::Delta, 2, {{"s-0", "z", CellIndex(0), 1, NodeState::Ready, 1}}},
             {node.address()}});
        const auto client = fixture.client();
        client->send(PlatformRequest{.deadlineMs = 30'000}.text());
        fixture.waitUntil([&] { return fixture.engine.counters().attempts == 1; });
        REQUIRE(fixture.pool.openConnections() == 1);
        if (reset)
            client->reset();
        else
            client->close();
        fixture.waitUntil([&] { return fixture.engine.counters().disconnected == 1; });
        CHECK(fixture.engine.counters().cancelledBeforeSent == 1);
        fixture.waitUntil(
            [&] { return fixture.pool.openConnections() == 0; });  // closed, so nothing can be written on it
        CHECK(fixture.outcomes(Outcome::Cancelled) == 1);
        CHECK(fixture.engine.counters().requestsSent == 0);
    }
}

TEST_CASE("a request in flight is closed when its client disconnects") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    client->send(PlatformRequest{}.text());
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    client->close();
    fixture.waitUntil([&] { return fixture.engine.counters().disconnected == 1; });
    CHECK(fixture.engine.openRequests() == 0);
    node->send(ok("para nadie"));
    fixture.waitUntil([&] { return fixture.outcomes(Outcome::Ok) == 1; });
}

// Guards against requests of a client that has long left: its close is read only behind all that it sent.
TEST_CASE("a request that is read after its client has left is not sent to a node") {
    GatewayFixture fixture;
    {
        tcp::socket client(fixture.io);
        client.connect(net::tcpEndpoint(fixture.front.sessionManager().address()));
        const std::string text =
            PlatformRequest{.kind = "alta", .body = "x"}.text() + std::string(100'000, 'y');
        asio::write(client, asio::buffer(text));
    }
    fixture.waitUntil([&] { return fixture.front.counters().disconnected == 1; });
    fixture.waitUntil([&] { return fixture.front.sessionManager().activeConnections() == 0; });
    CHECK(fixture.engine.counters().received == 0);
    CHECK(fixture.node().connections.empty());
}

// Guards against a write that runs twice: the node of the client that left may still run it.
TEST_CASE("the Req-Id of a client that left is refused while a node may run its request") {
    auto config = testConfig();
    for (auto& info : config.settings.classes) {
        info.deadlineUs = 300'000;
        info.keyWindowUs = 200'000;
    }
    GatewayFixture fixture(std::move(config));
    const std::string text = PlatformRequest{.kind = "alta", .body = "x", .deadlineMs = 300}.text();
    const auto first = fixture.client();
    first->send(text);
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    first->close();
    fixture.waitUntil([&] { return fixture.engine.openRequests() == 0; });
    node->send(ok("too late"));  // the request has run
    fixture.waitUntil([&] { return fixture.outcomes(Outcome::Ok) == 1; });
    const auto answerTo = [&](const std::string& message) {
        const auto client = fixture.client();
        client->send(message);
        fixture.waitUntil([&] { return client->hasReceived("\r\n\r\n"); });
        return client->received.substr(0, 12);
    };
    CHECK(answerTo(text) == "HTTP/1.1 409");
    CHECK(fixture.front.counters().repeated == 1);
    fixture.node().onConnection = [](TestConnection& connection) { connection.autoResponse = ok("x"); };
    fixture.waitUntil([&] { return answerTo(text) == "HTTP/1.1 200"; }, "the id is free again");
}

TEST_CASE("the Req-Id of a client that left before any attempt is free at once") {
    auto config = testConfig();
    config.cachedEndpoints.list.nodes.clear();
    GatewayFixture fixture(std::move(config), 0);
    const std::string text = PlatformRequest{}.text();
    const auto first = fixture.client();
    first->send(text);
    fixture.waitUntil([&] { return fixture.engine.openRequests() == 1; });
    first->close();
    fixture.waitUntil([&] { return fixture.engine.openRequests() == 0; });
    const auto second = fixture.client();
    second->send(text);
    fixture.waitUntil([&] { return fixture.engine.openRequests() == 1; });
    CHECK(fixture.front.counters().repeated == 0);
}
