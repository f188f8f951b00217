// The platform's front on real sockets: one test a rule.
#include "fleet/restart_recovery.h"
#include "health/health.h"
#include "http/node_attempt.h"
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

TEST_CASE("a served request: passed through unchanged, answered once, connections kept") {
    Rig rig;
    const auto client = rig.client();
    client->say(Ask{.kind = "alta", .body = "datos"}.text());
    const auto node = rig.nodeHas("datos");
    CHECK(node->has("PUT /api?x=1 HTTP/1.1\r\n"));
    CHECK(node->has("Req-Id: 9b1f03aa5c7e2d41\r\n"));
    CHECK(node->has("Idempotency-Key: k-1\r\n"));
    node->say(ok("hecho", "Volume-Load: 10\r\nSrv-Load: queue=2\r\n"));
    rig.until([&] { return client->has("hecho"); });
    CHECK(client->has("HTTP/1.1 200 "));
    client->drop(), node->drop();
    client->say(Ask{.id = "00000000000000b2"}.text());
    CHECK(rig.nodeHas("00000000000000b2") == node);  // no second connection, on either side
    node->say(ok("otra"));
    rig.until([&] { return client->has("otra"); });
    CHECK(rig.front.sessionManager().accepted() == 1);
    CHECK(rig.pool.opened() == 1);
}

TEST_CASE("an answer in pieces and a body as long as the platform allows, through large and small rings") {
    for (const auto ring : {net::kMostRing, net::kLeastRing}) {
        Rig rig(baseConfig(), 1, 64, ring);
        const auto client = rig.client();
        const std::string body(64 * 1024, 'x');
        client->say(Ask{.kind = "alta", .body = body}.text());
        const auto node = rig.nodeHas(body);
        const auto answer = ok(body);
        node->say(answer.substr(0, 30));
        node->say(answer.substr(30));
        rig.until([&] { return client->has(body); });
        client->drop();
        client->say("GET / HTTP/1.1\r\nX: " + std::string(ring, 'a'));  // a head that never ends
        rig.until([&] { return client->has("HTTP/1.1 431 ") && client->ended; });
    }
}

// The memory limit is kept whatever clients and nodes send at one time.
TEST_CASE("bodies that do not fit into the memory: a request is refused, an answer is a reset") {
    auto config = baseConfig();
    config.memoryMb = 16;
    Rig rig(std::move(config));
    auto rest = rig.engine.bodies().take(6 * 1024 * 1024 - 1000);
    REQUIRE(rest);
    CHECK(!rig.engine.bodies().take(1001));
    const auto writer = rig.client(), reader = rig.client();
    writer->say(Ask{.kind = "alta", .body = std::string(2000, 'x')}.text());
    rig.until([&] { return writer->has("HTTP/1.1 503 ") && writer->has("Retry-After: ") && writer->ended; });
    CHECK(rig.node().wires.empty());
    CHECK(rig.front.counters().noMemory == 1);
    reader->say(Ask{}.text());
    const auto node = rig.nodeHas("Req-Id");
    node->drop(), node->say(ok(std::string(2000, 'y')));
    rig.until([&] { return node->ended && rig.outcomes(Outcome::Reset) == 1; });
    const auto second = rig.nodeHas("Req-Id");
    rest = nullptr;
    second->say(ok(std::string(2000, 'z')));
    rig.until([&] { return reader->has("zzz"); });
    rig.until([&] { return rig.engine.bodies().held() == 0; });
}

TEST_CASE("malformed requests get their status, and nothing reaches a node") {
    const struct {
        std::string text;
        const char *status, *names;
        bool closes;
    } cases[] = {
        {"nonsense\r\n\r\n", "400", "", true},
        {"GET /api HTTP/1.1\r\nHost: x\r\n\r\n", "400", "Req-Id", false},
        {"GET /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400", "", true},
        {"GET /api HTTP/1.1\r\nX: " + std::string(9000, 'a') + "\r\n\r\n", "431", "", true},
        {"PUT /api HTTP/1.1\r\nContent-Length: 70000000\r\n\r\n", "413", "", true},
        // With the first bytes of the body right behind the head: the length alone is enough.
        {"PUT /api HTTP/1.1\r\nContent-Length: 80000000\r\n\r\n" + std::string(1000, 'a'), "413", "", true},
        // Two lengths, either way round, may hide a second request.
        {"PUT /api HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
             Ask{}.text(),
         "400", "", true},
        {"PUT /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" +
             Ask{}.text(),
         "400", "", true},
        {"PUT /api HTTP/1.1\r\nTransfer-Encoding: x\r\nContent-Length: 0\r\n\r\n" + Ask{}.text(), "400", "",
         true},
        {"PUT /api HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + Ask{}.text(), "400", "", true},
        {"PUT /api HTTP/1.1\r\nContent-Length: -4\r\n\r\n", "400", "", true},
        {"PUT /api HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "501", "Transfer-Encoding", true},
    };
    Rig rig;
    for (const auto& c : cases) {
        const auto client = rig.client();
        client->say(c.text);
        rig.until([&] { return client->has("\r\n\r\n") && client->has(c.names); }, c.status);
        CHECK_MESSAGE(client->has(std::string("HTTP/1.1 ") + c.status), client->got);
        if (c.closes)
            rig.until([&] { return client->ended; });
        else
            CHECK(!client->ended);
    }
    CHECK(rig.node().wires.empty());
    CHECK(rig.engine.counters().taken == 0);
}

TEST_CASE("silent connections end within 3 s of connecting, half-sent requests too") {
    Rig rig;
    const auto since = std::chrono::steady_clock::now();
    const auto silent = rig.client(), half = rig.client(), body = rig.client(), used = rig.client();
    half->say("GET /api HTTP/1.1\r\nReq-Id: ");
    body->say(Ask{.kind = "alta", .body = std::string(60'000, 'x')}.text().substr(0, 50'000));  // truncated
    used->say("GET /up HTTP/1.1\r\n\r\n");
    rig.until([&] { return silent->ended; });
    CHECK(std::chrono::steady_clock::now() - since < std::chrono::seconds(3));
    CHECK(!half->ended);  // the slowest clients take 2 s for a head
    rig.until([&] { return half->ended && body->ended; });
    CHECK(std::chrono::steady_clock::now() - since < std::chrono::seconds(3));
    CHECK(body->has("HTTP/1.1 408 "));
    CHECK(rig.engine.counters().taken == 0);
    CHECK(silent->got.empty());
    CHECK(half->has("HTTP/1.1 408 "));
    CHECK(rig.front.counters().silent == 1);
    CHECK(rig.front.counters().slow == 2);
    CHECK(used->has(" 200 "));
    CHECK(!used->ended);  // kept between requests
}

// Clients hold a part of the descriptors; what asks once and stays must not be all of it.
TEST_CASE("a connection that asked and is idle stays in an empty house and ends after 2 s in a crowded one") {
    Rig rig(baseConfig(), 1, 12);
    std::vector<WirePtr> stayed;
    for (int i = 0; i < 4; ++i) {
        stayed.push_back(rig.client());
        stayed.back()->say("GET /up HTTP/1.1\r\n\r\n");
        rig.until([&] { return stayed.back()->has(" 200 "); });
    }
    const auto silent = rig.client();  // ends after 2 s in any case; one of the four makes it a quarter again
    const auto count = [&] {
        return std::count_if(stayed.begin(), stayed.end(), [](auto& w) { return w->ended; });
    };
    rig.until([&] { return silent->ended && count() >= 1; });
    CHECK(count() < 4);
    CHECK(rig.front.sessionManager().connections() <= 3);
}

TEST_CASE("in a house more than half full answers end their connections, but not while the front stops") {
    Rig rig(baseConfig(), 1, 4);
    const auto first = rig.client(), second = rig.client(), third = rig.client();
    rig.until([&] { return rig.front.sessionManager().connections() == 3; });
    first->say("GET /up HTTP/1.1\r\n\r\n");
    rig.until([&] { return first->has(" 200 ") && first->ended; });
    CHECK(first->has("Connection: close\r\n"));
    rig.front.setResponseDeadline(rig.engine.now() + 1'000'000);
    const auto fourth = rig.client();
    rig.until([&] { return rig.front.sessionManager().connections() >= 3; });
    second->say("GET /up HTTP/1.1\r\n\r\n");
    rig.until([&] { return second->has(" 200 "); });
    CHECK(!second->has("Connection: close\r\n"));
}

// Clients that find every connection busy where no new one comes take the front for dead.
TEST_CASE("a stopping front keeps connections free: what only waits is refused, what is at a node is not") {
    auto config = baseConfig();
    for (auto& c : config.settings.classes)
        c.latencyObjectiveUs = 20'000'000;
    Rig rig(std::move(config));
    std::vector<WirePtr> clients;
    for (int i = 0; i < 6; ++i)
        clients.push_back(rig.client());
    rig.until([&] { return rig.front.sessionManager().connections() == 6; });
    rig.front.expectNoNewConnections();
    for (int i = 0; i < 4; ++i) {  // the last has no place at the node
        clients[i]->say(Ask{.id = fmt::format("{:016x}", i), .deadlineMs = 30'000}.text());
        rig.until([&] { return rig.front.counters().requests == std::uint64_t(i + 1); });
    }
    rig.until([&] { return clients[3]->has("HTTP/1.1 503 ") && clients[3]->has("Retry-After: "); });
    CHECK(!clients[3]->has("Connection: close"));
    CHECK(rig.front.counters().crowded >= 1);
    CHECK(rig.engine.openRequests() == 3);
    rig.nodeHas(fmt::format("{:016x}", 0))->say(ok("hecho"));
    rig.until([&] { return clients[0]->has("hecho"); });
}

TEST_CASE("half-sent requests do not hold the places of others") {
    Rig rig(baseConfig(), 1, 2);
    const auto since = std::chrono::steady_clock::now();
    const auto first = rig.client(), second = rig.client();
    first->say("GET "), second->say("GET ");
    rig.until([&] { return rig.front.sessionManager().connections() == 2; });
    const auto third = rig.client();
    third->say("GET /up HTTP/1.1\r\n\r\n");
    rig.until([&] { return third->has(" 200 "); });
    CHECK(std::chrono::steady_clock::now() - since < std::chrono::seconds(1));
}

// A close with bytes unread resets the connection, and what the client had not read yet is gone.
TEST_CASE("a client that goes on sending a body that is too long still gets its answer") {
    Rig rig;
    tcp::socket client(rig.io);
    client.connect(net::tcpEndpoint(rig.front.sessionManager().address()));
    const std::string head = "PUT /api HTTP/1.1\r\nContent-Length: 80000000\r\n\r\n", piece(64 * 1024, 'x');
    asio::write(client, asio::buffer(head));
    asio::steady_timer pace(rig.io);
    int sent = 0;
    boost::system::error_code broken;
    const std::function<void()> more = [&] {  // for longer than a quiet connection would linger
        pace.expires_after(std::chrono::milliseconds(50));
        pace.async_wait([&](auto) {
            asio::write(client, asio::buffer(piece), broken);
            if (++sent < 16 && !broken) more();
        });
    };
    more();
    rig.until([&] { return sent == 16 || broken; });
    CHECK(!broken);
    std::string answer;
    client.shutdown(tcp::socket::shutdown_send, broken);
    asio::async_read(client, asio::dynamic_buffer(answer),
                     [&](const auto& error, std::size_t) { broken = error; });
    rig.until([&] { return bool(broken); });
    CHECK(broken == asio::error::eof);
    CHECK(answer.find("HTTP/1.1 413 ") == 0);
}

TEST_CASE("the id of a request that is open is not taken a second time") {
    Rig rig;
    const auto client = rig.client(), copy = rig.client();
    client->say(Ask{}.text());
    const auto node = rig.nodeHas("Req-Id");
    copy->say(Ask{.kind = "alta"}.text());
    rig.until([&] { return copy->has("HTTP/1.1 409 "); });
    node->say(ok("propia"));
    rig.until([&] { return client->has("propia"); });
    CHECK(rig.front.counters().repeated == 1);
    CHECK(rig.engine.counters().taken == 1);
    copy->drop(), node->drop();
    copy->say(Ask{}.text());  // it is free again
    rig.nodeHas("Req-Id")->say(ok("otra"));
    rig.until([&] { return copy->has("otra"); });
}

TEST_CASE("other methods, and a client that waits to be told to send its body") {
    Rig rig;
    const auto other = rig.client(), client = rig.client();
    other->say("DELETE /api HTTP/1.1\r\n\r\n");
    rig.until([&] { return other->has("405") && other->has("Allow: GET, PUT\r\n"); });
    auto text = Ask{.kind = "alta", .body = "datos"}.text();
    text.insert(text.find("Req-Id"), "Expect: 100-continue\r\n");
    client->say(text.substr(0, text.size() - 5));
    rig.until([&] { return client->has("HTTP/1.1 100 Continue\r\n\r\n"); });
    CHECK(rig.node().wires.empty());
    client->say("datos");
    const auto node = rig.nodeHas("datos");
    CHECK(!node->has("Expect"));
    node->say(ok("hecho"));
    rig.until([&] { return client->has("hecho"); });
}

TEST_CASE("the ready path, and a request in two pieces") {
    Rig rig;
    const auto client = rig.client();
    client->say("GET /up HT");
    client->say("TP/1.1\r\nHost: x\r\n\r\n");
    rig.until([&] { return client->has("200"); });
}

TEST_CASE("a node that turns a request away never ran it: it is tried again") {
    Rig rig;
    const auto client = rig.client();
    client->say(Ask{.kind = "alta"}.text());
    const auto node = rig.nodeHas("Req-Id");
    node->drop();
    node->say(status(503, "Srv-Declined: 1\r\n"));
    rig.nodeHas("Req-Id")->say(ok("al fin"));
    rig.until([&] { return client->has("al fin"); });
    CHECK(rig.outcomes(Outcome::Rejected) == 1);
}

TEST_CASE("a connection that breaks after the last byte is a reset, and a read is tried again on a new one") {
    Rig rig;
    const auto client = rig.client();
    client->say(Ask{}.text());
    rig.nodeHas("Req-Id")->reset();
    rig.until([&] { return rig.node().wires.size() == 2; });
    rig.node().wires[1]->say(ok("bien"));
    rig.until([&] { return client->has("bien"); });
    CHECK(rig.outcomes(Outcome::Reset) == 1);
    CHECK(rig.outcomes(Outcome::ConnectFailed) == 0);
}

// One such answer once filled the front's memory in under a second.
TEST_CASE("an answer said to hold 3 GB is a reset as soon as its head is read") {
    Rig rig;
    const auto client = rig.client();
    client->say(Ask{}.text());
    const auto node = rig.nodeHas("Req-Id");
    node->say("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + std::string(2000, 'x'));
    rig.until([&] { return node->ended && rig.node().wires.size() == 2; });
    rig.node().wires[1]->say(ok("bien"));
    rig.until([&] { return client->has("bien"); });
    CHECK(rig.outcomes(Outcome::Reset) == 1);
}

TEST_CASE("spoilt answers: each is a reset, its connection is closed, the next attempt's answer is served") {
    const char* cases[] = {
        "\x10\x91\x85 noise \r\n\r\n",
        "ICY 200 OK\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nno length, and the connection stays",
    };
    Rig rig;
    std::uint64_t resets = 0;
    for (const auto* spoilt : cases) {
        const auto client = rig.client();
        client->say(Ask{}.text());
        const auto node = rig.nodeHas("Req-Id");
        node->drop(), node->say(spoilt);
        ++resets;
        rig.until([&] { return node->ended && rig.outcomes(Outcome::Reset) == resets; }, spoilt);
        const auto second = rig.nodeHas("Req-Id");
        second->drop(), second->say(ok("bien", "Connection: close\r\n"));
        rig.until([&] { return client->has("bien"); }, spoilt);
    }
}

TEST_CASE("an answer that stops half way is a reset long before the deadline") {
    for (const std::string begun :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", "HTTP/1.1 200 OK\r\nX: "}) {
        Rig rig;
        const auto client = rig.client();
        client->say(Ask{.deadlineMs = 60'000}.text());
        const auto node = rig.nodeHas("Req-Id");
        node->drop(), node->say(begun);
        rig.until([&] { return node->ended; }, begun.c_str());
        CHECK(rig.outcomes(Outcome::Reset) == 1);
    }
}

// With short aims a fixed patience of 250 ms left no time for another attempt.
TEST_CASE(
    "where aims are short, an answer that stops half way is a reset sooner, and the next one is served") {
    auto config = baseConfig();
    for (auto& c : config.settings.classes)
        c.latencyObjectiveUs = 100'000;
    Rig rig(std::move(config));
    const auto client = rig.client();
    client->say(Ask{}.text());
    const auto node = rig.nodeHas("Req-Id");
    const auto since = std::chrono::steady_clock::now();
    node->drop(), node->say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort");
    const auto second = rig.nodeHas("Req-Id");
    CHECK(std::chrono::steady_clock::now() - since < net::Exchange::kStall);
    second->say(ok("bien"));
    rig.until([&] { return client->has("bien"); });
}

// A busy core must not take its own pause for the node's.
TEST_CASE("an answer whose next part waits in the system is not taken for one that stopped") {
    Rig rig;
    std::shared_ptr<net::Connection> connection;
    const auto ticket = rig.pool.acquire(rig.node().address(), [&](auto c) { connection = c; });
    rig.until([&] { return connection && !rig.node().wires.empty(); });
    std::optional<net::Exchange::Result> result;
    const auto exchange = std::make_shared<net::Exchange>(
        connection, "GET /api HTTP/1.1\r\n\r\n", 100, [&](auto how, const auto&) { result = how; },
        std::chrono::milliseconds(50));
    exchange->start();
    auto& node = rig.node().wires[0]->socket;
    asio::write(node,
                asio::buffer("HTTP/1.1 200", 12));  // the first line stays in the ring until it is whole
    rig.until([&] { return connection->in.size() == 12; });
    asio::write(node, asio::buffer(" O", 2));
    for (const auto since = std::chrono::steady_clock::now();
         std::chrono::steady_clock::now() - since < std::chrono::milliseconds(60);) {
    }  // the loop stands still
    rig.until([&] { return result || connection->in.size() == 14; });
    REQUIRE(!result);
    asio::write(node, asio::buffer("K\r\nContent-Length: 0\r\n\r\n", 24));
    rig.until([&] { return result.has_value(); });
    CHECK(*result == net::Exchange::Result::Answered);
}

// What stands in front of an answer or cannot be read beside it takes nothing from the answer; what comes
// behind it belongs to no request.
TEST_CASE("good answers with more than belongs to them are served, and nothing of it serves another") {
    Rig rig;
    const auto client = rig.client();
    client->say(Ask{}.text());
    const auto node = rig.nodeHas("Req-Id");
    node->say("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" +
              ok("uno", "Srv-Load: =,=\r\nVolume-Load: -\r\nOther-Hosts: nan\r\n") + ok("uno"));
    rig.until([&] { return client->has("uno"); });
    CHECK(rig.outcomes(Outcome::Ok) == 1);
    client->say(Ask{.id = "00000000000000b2"}.text());
    const auto second = rig.nodeHas("00000000000000b2");
    CHECK(second != node);
    second->say(ok("dos"));
    rig.until([&] { return client->has("dos"); });
    // Between the choice of an idle connection and the first byte on it something came: another one is used.
    std::shared_ptr<net::Connection> got;
    const auto ticket = rig.pool.acquire(rig.node().address(), [&](auto connection) { got = connection; });
    boost::asio::write(second->socket, boost::asio::buffer(ok("dos")));
    rig.until([&] { return got != nullptr; });
    CHECK(rig.pool.opened() == 3);
}

TEST_CASE("a node that refuses connections never ran the request") {
    Rig rig;
    rig.node().acceptor.close();
    const auto client = rig.client();
    client->say(Ask{.kind = "alta", .deadlineMs = 400}.text());
    rig.until([&] { return client->has("\r\n\r\n"); });
    CHECK(client->has("HTTP/1.1 503 "));  // nothing ran, so it may be refused
    CHECK(client->has("Retry-After: "));
    CHECK(rig.outcomes(Outcome::ConnectFailed) >= 1);
    CHECK(rig.outcomes(Outcome::Reset) == 0);
}

TEST_CASE("a pooled connection that the node closed is not used") {
    Rig rig;
    const auto client = rig.client();
    client->say(Ask{}.text());
    const auto first = rig.nodeHas("Req-Id");
    first->say(ok("uno"));
    rig.until([&] { return client->has("uno"); });
    first->close();
    client->say(Ask{.id = "00000000000000b2"}.text());
    const auto second = rig.nodeHas("00000000000000b2");
    CHECK(second != first);
    second->say(ok("dos"));
    rig.until([&] { return client->has("dos"); });
    CHECK(rig.outcomes(Outcome::Reset) == 0);
}

TEST_CASE("the deadline: answered in time, the attempt's connection closed, a late answer reaches nobody") {
    Rig rig;
    const auto client = rig.client();
    const auto since = std::chrono::steady_clock::now();
    client->say(Ask{.deadlineMs = 150}.text());
    const auto node = rig.nodeHas("Req-Id");
    rig.until([&] { return client->has("\r\n\r\n"); });
    CHECK(std::chrono::steady_clock::now() - since < std::chrono::seconds(1));
    CHECK(!client->has(" 200 "));
    rig.until([&] { return node->ended; });
    node->say(ok("tarde"));
    client->drop();
    client->say(Ask{.id = "00000000000000b2"}.text());
    rig.nodeHas("00000000000000b2")->say(ok("propia"));
    rig.until([&] { return client->has("propia"); });
    CHECK(!client->has("tarde"));
}

TEST_CASE("a client that closes is gone, and its request is owed nothing") {
    Rig rig;
    const auto client = rig.client();
    client->say(Ask{}.text());
    const auto node = rig.nodeHas("Req-Id");
    client->close();
    rig.until([&] { return rig.engine.counters().disconnected == 1; });
    CHECK(rig.engine.openRequests() == 0);
    node->say(ok("para nadie"));
    rig.until([&] { return rig.outcomes(Outcome::Ok) == 1; });
}

TEST_CASE("nothing new goes to a node after it was told to drain, and what is out may end") {
    auto config = baseConfig();
    config.settings.drainGraceUs = 0;
    Rig rig(std::move(config));
    const auto client = rig.client(), other = rig.client();
    client->say(Ask{}.text());
    const auto node = rig.nodeHas("Req-Id");
    rig.tellState("s-0", "draining");
    other->say(Ask{.id = "00000000000000b2", .deadlineMs = 300}.text());
    node->say(ok("de antes"));
    rig.until([&] { return client->has("de antes") && other->has("\r\n\r\n"); });
    CHECK(other->has("HTTP/1.1 503 "));
    CHECK(!node->has("00000000000000b2"));
    CHECK(rig.node().wires.size() == 1);
}

TEST_CASE("an attempt that took too long to connect writes no byte") {
    auto config = baseConfig();
    Rig rig(std::move(config));
    const auto message = std::make_shared<http::RequestMessage>(boost::beast::http::verb::get, "/api", 11);
    // Its time is over already when the connection is up: the node may be draining by now.
    const auto attempt = std::make_shared<http::NodeAttempt>(
        rig.engine, rig.pool,
        net::AttemptParams{9, 0, rig.node().address(), rig.engine.now() - 1, rig.engine.now() + 1'000'000},
        message, std::nullopt, std::weak_ptr<http::Downstream>(),
        [](int, http::ResponseMessage, net::ByteBudget::Hold) {});
    attempt->start();
    rig.until([&] { return rig.engine.counters().late == 1 && rig.node().wires.size() == 1; });
    CHECK(rig.node().wires[0]->got.empty());
}

TEST_CASE("the limit of a plan holds: the store is spent once, the rest is refused with when to come back") {
    Rig rig;
    Spending spent(rig);
    std::vector<WirePtr> clients;
    for (int i = 0; i < 30; ++i) {  // six times what a second fills
        clients.push_back(rig.client());
        clients.back()->say(Spending::ask(100 + i).text());
    }
    rig.until([&] {
        return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->has("\r\n\r\n"); });
    });
    for (const auto& client : clients) {
        spent.units += client->has(" 200 ") ? Spending::kUnits : 0;
        CHECK((client->has(" 200 ") || (client->has("HTTP/1.1 503 ") && client->has("Retry-After: "))));
    }
    CHECK(spent.units < Spending::kUnits * 38);
    CHECK(spent.units <= spent.allowed());
}

TEST_CASE("a full house: an idle connection makes room for a new client") {
    Rig rig(baseConfig(), 1, 2);
    const auto first = rig.client(), second = rig.client();
    rig.until([&] { return rig.front.sessionManager().connections() == 2; });
    const auto third = rig.client();
    third->say("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    rig.until([&] { return third->has("200") && first->ended; });
    CHECK(!second->ended);
}

TEST_CASE("stopping: what waits is taken, answers end their connections, idle ones are closed") {
    Rig rig;
    const auto busy = rig.client(), idle = rig.client();
    busy->say(Ask{}.text());
    const auto node = rig.nodeHas("Req-Id");
    rig.until([&] { return rig.front.sessionManager().connections() == 2; });
    rig.front.startDraining();
    const auto late = rig.client();  // accepted by the system, not yet by the program
    late->say(Ask{.id = "00000000000000b2"}.text());
    rig.front.sessionManager().closeListener();
    node->say(ok("hecho"));
    const auto second = rig.nodeHas("00000000000000b2");
    second->say(ok("tambien"));
    rig.until([&] { return busy->has("hecho") && late->has("tambien") && busy->ended; });
    rig.front.sessionManager().closeIdleGracefully();
    rig.until([&] { return idle->ended; });
    CHECK(busy->has("Connection: close"));
    rig.until(
        [&] { return rig.front.sessionManager().connections() == 0 && rig.engine.openRequests() == 0; });
}

TEST_CASE("discovery: the next watch follows the answer, and bad lists are counted and dropped") {
    Rig rig;
    rig.tellState("s-0", "draining");
    rig.until([&] { return rig.discoveryServer.wires.back()->has("after=2&wait_ms="); });
    const auto wire = rig.discoveryServer.wires.back();
    wire->say(ok("{\"generation\":3,\"instances\":7}"));
    rig.until([&] { return rig.discovery.counters().malformed == 1; });
    CHECK(rig.discovery.counters().failed == 1);  // which the module hears as a call that was lost
    rig.until([&] { return rig.discovery.counters().calls == 3; });  // and it asks again
    CHECK(rig.engine.listVersion() == 2);
}

// Discovery may take a call and say nothing: the list stays old until the call is missed. A call anew may
// wait behind those of hundreds of fronts: left early, it is worked off there all the same and delays the
// others. A watch that goes on waits behind nobody and is missed sooner.
TEST_CASE("discovery: a watch that is not answered is missed and asked again, with more patience anew") {
    using std::chrono::milliseconds;
    const net::WatchTiming watches{milliseconds(40), milliseconds(40), milliseconds(300)};
    const auto start = std::chrono::steady_clock::now();
    Rig rig(baseConfig(), 1, 64, net::kMostRing, watches);
    const auto& counters = rig.discovery.counters();
    rig.until([&] { return counters.failed == 2 && counters.calls == 3; });
    CHECK(std::chrono::steady_clock::now() - start >= milliseconds(2 * (40 + 300)));
    const auto& wires = rig.discoveryServer.wires;
    rig.until([&] { return wires.size() == 3 && wires.back()->has("&wait_ms=40 "); });
    rig.tellState("s-0", "draining");
    CHECK(counters.calls == 4);  // it goes on, and is not answered
    const auto goesOn = std::chrono::steady_clock::now();
    rig.until([&] { return counters.failed == 3; });
    CHECK(std::chrono::steady_clock::now() - goesOn < milliseconds(40 + 300));
}

// After SIGHUP the old address takes no more calls; what the new one has to tell counts soon.
TEST_CASE(
    "discovery moves: the old call is abandoned, the new address asked for all, nodes and requests stay") {
    Rig rig;
    rig.until(
        [&] { return !rig.discoveryServer.wires.empty() && rig.discoveryServer.wires[0]->has("after="); });
    const auto client = rig.client(), other = rig.client();
    client->say(Ask{}.text());
    const auto node = rig.nodeHas("Req-Id");
    StandIn next(rig.io);
    rig.discovery.moveTo(next.address());
    rig.until([&] { return rig.discoveryServer.wires[0]->ended && next.wires.size() == 1; });
    rig.until([&] { return next.wires[0]->has("GET /discovery/hosts HTTP/1.1\r\n"); });
    CHECK(rig.discovery.counters().failed == 0);
    node->say(ok("de antes")), other->say(Ask{.id = "00000000000000b2"}.text());  // by the list it has
    rig.nodeHas("00000000000000b2")->say(ok("con la lista vieja"));
    rig.until([&] { return client->has("de antes") && other->has("con la lista vieja"); });
    next.wires[0]->drop();
    next.wires[0]->say(ok(R"({"generation":7,"reset":true,"instances":[]})"));
    rig.until([&] { return next.wires[0]->has("after=7&wait_ms="); });
    CHECK(rig.engine.listVersion() == 7);
    CHECK(rig.discoveryServer.wires.size() == 1);
}

TEST_CASE("datagrams: only from the peers, only of up to 256 bytes") {
    auto config = baseConfig();
    asio::io_context probeIo;
    asio::ip::udp::socket peer(probeIo, {asio::ip::make_address_v4("127.0.0.1"), 0});
    asio::ip::udp::socket stranger(probeIo, {asio::ip::make_address_v4("127.0.0.1"), 0});
    asio::ip::udp::socket own(probeIo, {asio::ip::make_address_v4("127.0.0.1"), 0});
    const auto port = own.local_endpoint().port();
    own.close();
    config.peerListen = {"127.0.0.1", port};
    config.peers = {config.peerListen, {"127.0.0.1", peer.local_endpoint().port()}};
    config.settings.hostCount = 2;
    config.settings.mayGossip = true;
    Rig rig(std::move(config));
    const asio::ip::udp::endpoint to{asio::ip::make_address_v4("127.0.0.1"), port};
    peer.send_to(asio::buffer(std::string(200, 'a')), to);  // not a message of the module's: it ignores it
    peer.send_to(asio::buffer(std::string(257, 'a')), to);
    stranger.send_to(asio::buffer(std::string(20, 'a')), to);
    rig.until([&] {
        const auto& c = rig.peers.counters();
        return c.received == 1 && c.oversize == 1 && c.unknown == 1;
    });
    CHECK(rig.engine.recovery().counters().malformed == 1);  // the one that was received
    rig.until(
        [&] { return rig.peers.counters().sent > 0; });  // the module's own words, from the same address
    std::array<char, 512> bytes{};
    asio::ip::udp::endpoint from;
    CHECK(peer.receive_from(asio::buffer(bytes), from) <= 256);
    CHECK(from == to);
    const auto unsent = rig.peers.counters().unsent;
    rig.peers.send(1, std::string(257, 'b'));
    CHECK(rig.peers.counters().unsent == unsent + 1);
}

TEST_CASE("where the settings push the list, the front watches by itself and again after a failure") {
    auto config = baseConfig();
    config.settings.pollsEndpointList = false;
    Rig rig(std::move(config));
    rig.until([&] { return rig.discoveryServer.wires.size() == 1; });
    rig.discoveryServer.wires[0]->reset();
    rig.until([&] { return rig.discovery.counters().calls == 2 && rig.discoveryServer.wires.size() == 2; });
    rig.tellState("s-0", "draining");
}

TEST_CASE("checks of balancers: the agent speaks first, the HTTP check answers and closes") {
    Rig rig;
    health::Report report{true, false, 0.5};
    const auto ask = [&] { return report; };
    const auto agent = health::agentServer(rig.io, {"127.0.0.1", 0}, ask);
    const auto http = health::httpServer(rig.io, {"127.0.0.1", 0}, ask);
    const auto up = rig.connect(agent->address()), ready = rig.connect(http->address());
    ready->say("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    rig.until([&] { return up->ended && ready->ended; });
    CHECK(up->got == "ready up 50%\n");
    CHECK(ready->has("HTTP/1.1 200 OK\r\n"));
    report.draining = true;
    const auto drain = rig.connect(agent->address()), not_ready = rig.connect(http->address());
    not_ready->say("GET /ready HTTP/1.1\r\n\r\n");
    rig.until([&] { return drain->ended && not_ready->ended; });
    CHECK(drain->got == "drain\n");
    CHECK(not_ready->has("HTTP/1.1 503 "));
    for (auto* sessionManager : {agent.get(), http.get()})
        sessionManager->closeListener(), sessionManager->stop();
}
