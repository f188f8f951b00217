// Streamed request and response bodies, and how their ends are marked.
#include <fstream>

#include "http/http_test_support.h"
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

// The peak resident memory of this process, in MiB.
double peakMemoryMb() {
    std::ifstream in("/proc/self/status");
    std::string word;
    double kb = 0;
    while (in >> word)
        if (word == "VmHWM:") in >> kb;
    return kb / 1024;
}

// Sends a number of bytes as fast as the peer reads them, and counts received bytes without storing them.
struct ByteStream : std::enable_shared_from_this<ByteStream> {
    explicit ByteStream(tcp::socket s) : socket(std::move(s)) {}
    void count() {
        socket.async_read_some(asio::buffer(in), [self = shared_from_this()](auto error, std::size_t n) {
            self->received += n;
            if (error)
                self->ended = true;
            else
                self->count();
        });
    }
    void send(std::size_t bytes) {
        left = bytes;
        sendNext();
    }
    void sendNext() {
        if (left == 0) return;
        socket.async_write_some(asio::buffer(out, std::min(left, out.size())),
                                [self = shared_from_this()](auto error, std::size_t n) {
                                    self->left -= std::min(self->left, n);
                                    if (!error) self->sendNext();
                                });
    }
    tcp::socket socket;
    std::array<char, 16384> in{}, out{};
    std::size_t left = 0, received = 0;
    bool ended = false;
};

std::string chunked(const std::string& body, std::size_t piece) {
    std::string out;
    for (std::size_t at = 0; at < body.size(); at += piece) {
        const auto part = body.substr(at, piece);
        out += fmt::format("{:x};x=y\r\n{}\r\n", part.size(), part);
    }
    return out + "0\r\nX-Trailer: t\r\n\r\n";
}

// The body of a complete chunked message.
std::string unchunked(const std::string& message) {
    std::string body;
    for (auto at = message.find("\r\n\r\n") + 4;;) {
        const auto size = std::stoul(message.substr(at), nullptr, 16);
        if (size == 0) return body;
        at = message.find("\r\n", at) + 2;
        body += message.substr(at, size);
        at += size + 2;
    }
}

}  // namespace

// A 40 MB request and a 40 MB response, with a memory limit of 48 MB.
TEST_CASE("bodies beyond the memory budget are streamed in both directions while small requests are served") {
    auto config = testConfig();
    config.memoryMb = 48;
    GatewayFixture fixture(std::move(config), 2);
    constexpr std::size_t kBytes = 40'000'000;
    fixture.node(1).onConnection = [](TestConnection& connection) { connection.autoResponse = ok("x"); };
    const auto before = peakMemoryMb();
    // The upload: the node counts the bytes it receives.
    tcp::socket up(fixture.io), down(fixture.io);
    up.connect(net::tcpEndpoint(fixture.front.sessionManager().address()));
    const auto uploader = std::make_shared<ByteStream>(std::move(up));
    const auto head = streamedPut(fmt::format("Content-Length: {}\r\n", kBytes), "a1a1a1a1a1a1a1a1", 60'000);
    asio::write(uploader->socket, asio::buffer(head));
    // A node that stores nothing: the stub server's reader would buffer the whole body.
    std::shared_ptr<ByteStream> receivingNode, sendingNode;
    tcp::acceptor plain(fixture.io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    auto list = config::AddressedEndpointList{
        {EndpointListKind::Delta, 2, {{"s-0", "z", CellIndex(0), 1, NodeState::Ready, 1}}},
        {{"127.0.0.1", plain.local_endpoint().port()}}};
    fixture.engine.endpointListReceived(std::move(list));
    plain.async_accept([&](auto, tcp::socket socket) {
        receivingNode = std::make_shared<ByteStream>(std::move(socket));
        receivingNode->count();
        plain.async_accept(
            [&](auto, tcp::socket second) { sendingNode = std::make_shared<ByteStream>(std::move(second)); });
    });
    fixture.waitUntil([&] { return receivingNode != nullptr; });
    uploader->send(kBytes);
    // The download: the same node sends.
    down.connect(net::tcpEndpoint(fixture.front.sessionManager().address()));
    const auto reader = std::make_shared<ByteStream>(std::move(down));
    asio::write(reader->socket, asio::buffer(PlatformRequest{.id = "a2a2a2a2a2a2a2a2"}.text()));
    fixture.waitUntil([&] { return sendingNode != nullptr; });
    const auto answer = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", kBytes);
    asio::write(sendingNode->socket, asio::buffer(answer));
    sendingNode->send(kBytes);
    reader->count();
    const auto small = fixture.client();
    for (int i = 0; i < 300; ++i) {
        small->clearReceived();
        small->send(PlatformRequest{.id = fmt::format("{:016x}", i + 1), .shard = 1}.text());
        fixture.waitUntil([&] { return small->hasReceived("\r\n\r\nx"); }, "a small answer");
        CHECK(small->hasReceived(" 200 "));
    }
    fixture.waitUntil([&] { return reader->received > kBytes && receivingNode->received > kBytes; },
                      "both long bodies");
    CHECK(receivingNode->received < kBytes + 1000);
    asio::write(receivingNode->socket, asio::buffer(ok("hecho")));
    uploader->count();
    fixture.waitUntil([&] { return uploader->received > 0 && fixture.engine.openRequests() == 0; });
    CHECK(peakMemoryMb() - before < 24);
    CHECK(fixture.engine.bodyBudget().reservedBytes() == 0);
    CHECK(fixture.engine.counters().byClass[1].delivered == 1);
}

TEST_CASE("a long request body reaches the node unchanged in every framing, and gets one response") {
    const struct {
        std::string text;
        bool expects = false;
    } cases[] = {
        {streamedPut(fmt::format("Content-Length: {}\r\n", kLongBody.size())) + kLongBody},
        {streamedPut("Transfer-Encoding: chunked\r\n") + chunked(kLongBody, 50'000)},
        {streamedPut("transfer-encoding: CHUNKED\r\n") + chunked(kLongBody, 777)},
        {streamedPut(fmt::format("Content-Length: {}\r\n", kLongBody.size()), "9b1f03aa5c7e2d41", 3000, "",
                     "1.0") +
         kLongBody},
        {streamedPut(fmt::format("Content-Length: {}\r\n", kLongBody.size()), "9b1f03aa5c7e2d41", 3000,
                     "Expect: 100-continue\r\n") +
             kLongBody,
         true},
    };
    for (const auto& c : cases) {
        GatewayFixture fixture;
        const auto client = fixture.client();
        const auto body = c.text.find("\r\n\r\n") + 4;
        client->send(c.text.substr(0, body));
        if (c.expects)
            fixture.waitUntil([&] { return client->hasReceived("HTTP/1.1 100 Continue\r\n\r\n"); });
        client->send(c.text.substr(body));
        fixture.waitUntil([&] { return fixture.engine.counters().requestsSent == 1; },
                          c.text.substr(0, 200).c_str());
        const auto node = fixture.waitForNodeToReceive("Req-Id");
        const bool inChunks = node->hasReceived("Transfer-Encoding: chunked\r\n");
        fixture.waitUntil([&] {
            return inChunks ? node->received.ends_with("\r\n0\r\n\r\n") : node->received.ends_with(kLongBody);
        });
        CHECK(inChunks == (c.text.find("Content-Length") == std::string::npos));
        CHECK((inChunks ? unchunked(node->received)
                        : node->received.substr(node->received.find("\r\n\r\n") + 4)) == kLongBody);
        CHECK(!node->hasReceived("Expect"));
        node->send(ok("hecho"));
        fixture.waitUntil([&] { return client->hasReceived("hecho"); });
        CHECK(client->hasReceived("HTTP/1.1 200 "));
    }
}

TEST_CASE("a long response reaches the client unchanged in every framing, with a recognizable end") {
    const struct {
        std::string answer;
        const char* version;
        bool closes, chunks;
    } cases[] = {
        {ok(kLongBody), "1.1", false, false},
        {ok(kLongBody), "1.0", true, false},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(kLongBody, 9'000), "1.1", false,
         true},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(kLongBody, 9'000), "1.0", true,
         false},
        {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + kLongBody, "1.1", false, true},
        {"HTTP/1.0 200 OK\r\n\r\n" + kLongBody, "1.1", false, true},
    };
    for (const auto& c : cases) {
        GatewayFixture fixture;
        const auto client = fixture.client();
        auto text = PlatformRequest{}.text();
        text.replace(text.find("HTTP/1.1"), 8, std::string("HTTP/") + c.version);
        client->send(text);
        const auto node = fixture.waitForNodeToReceive("Req-Id");
        node->send(c.answer.substr(0, 100));
        node->send(c.answer.substr(100));
        const bool hasFraming = c.answer.find("Content-Length") != std::string::npos ||
                                c.answer.find("chunked") != std::string::npos;
        if (!hasFraming) {
            fixture.waitUntil([&] {
                return fixture.front.sessionManager().activeConnections() == 1 &&
                       client->received.size() > 100'000;
            });
            node->socket.shutdown(tcp::socket::shutdown_send);
        }
        fixture.waitUntil(
            [&] {
                if (c.closes) return client->ended;
                return c.chunks ? client->received.ends_with("\r\n0\r\n\r\n")
                                : client->received.ends_with(kLongBody);
            },
            c.answer.substr(0, 60).c_str());
        CHECK((c.chunks ? unchunked(client->received)
                        : client->received.substr(client->received.find("\r\n\r\n") + 4)) == kLongBody);
        fixture.waitUntil([&] { return fixture.engine.openRequests() == 0; });
        CHECK(fixture.engine.counters().total().delivered == 1);
        if (c.closes) continue;
        client->clearReceived();  // the connection is reused
        client->send("GET /up HTTP/1.1\r\n\r\n");
        fixture.waitUntil([&] { return client->hasReceived("up\n"); });
    }
}

// The front reads from the node only as much as the client reads.
TEST_CASE("a slow reader applies back-pressure to its own node only, and its response is not buffered") {
    GatewayFixture fixture(testConfig(), 2);
    fixture.node(1).onConnection = [](TestConnection& connection) { connection.autoResponse = ok("x"); };
    tcp::socket slow(fixture.io);
    slow.open(tcp::v4());
    slow.set_option(asio::socket_base::receive_buffer_size(4096));
    slow.connect(net::tcpEndpoint(fixture.front.sessionManager().address()));
    asio::write(slow, asio::buffer(PlatformRequest{}.text()));
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    const auto sendingNode = std::make_shared<ByteStream>(std::move(node->socket));
    constexpr std::size_t kBytes = 32'000'000;
    asio::write(sendingNode->socket,
                asio::buffer(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", kBytes)));
    sendingNode->send(kBytes);
    char byte = 0;
    for (int i = 0; i < 50; ++i) {
        fixture.waitUntil([&] { return slow.available() > 0; });
        asio::read(slow, asio::buffer(&byte, 1));
        const auto other = fixture.client();
        other->send(PlatformRequest{.id = fmt::format("{:016x}", i + 10), .shard = 1}.text());
        fixture.waitUntil([&] { return other->hasReceived("\r\n\r\nx"); });
    }
    CHECK(sendingNode->left > kBytes / 2);  // unsent at the node, except for what the kernel's buffers hold
    fixture.waitUntil([&] { return fixture.engine.bodyBudget().reservedBytes() == 0; });
    CHECK(fixture.engine.openRequests() == 1);
    // When the client disconnects during the response, its node connection is closed.
    slow.close();
    fixture.waitUntil([&] {
        return fixture.engine.openRequests() == 0 && fixture.pool.openConnections() == 1;
    });  // the other node's connection is kept
    CHECK(fixture.engine.counters().disconnected == 1);
}

TEST_CASE("a truncated streamed response closes the client's connection before the announced length") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    client->send(PlatformRequest{}.text());
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    node->send(ok(kLongBody).substr(0, 150'000));
    fixture.waitUntil([&] { return client->received.size() > 140'000; });
    node->close();
    fixture.waitUntil([&] { return client->ended; });
    CHECK(client->received.size() < kLongBody.size());
    CHECK(fixture.engine.counters().attempts == 1);
    CHECK(fixture.engine.counters().total().failed == 1);
}

TEST_CASE("a response without a length ends with the node's FIN, in HTTP/1.0 and 1.1") {
    for (const auto* head : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"}) {
        CAPTURE(head);
        GatewayFixture fixture;
        const auto client = fixture.client();
        client->send(PlatformRequest{}.text());
        const auto node = fixture.waitForNodeToReceive("Req-Id");
        node->send(std::string(head) + "hasta el fin");
        node->socket.shutdown(tcp::socket::shutdown_send);
        fixture.waitUntil([&] { return client->hasReceived("hasta el fin"); });
        CHECK(client->hasReceived("HTTP/1.1 200 "));
        CHECK(client->hasReceived("Content-Length: 12\r\n"));
        CHECK(fixture.node().connections.size() == 1);
        fixture.waitUntil([&] { return node->ended; });  // the connection is not reused
    }
}
