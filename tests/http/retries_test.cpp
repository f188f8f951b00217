// Which failures of an attempt are retried, on real sockets.
#include "http/http_test_support.h"
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

TEST_CASE(
    "a request whose streamed body was partly sent is rejected instead of retried when the node breaks off") {
    Rig rig;
    const auto client = rig.client();
    client->say(streamedPut(fmt::format("Content-Length: {}\r\n", kLongBody.size())) +
                kLongBody.substr(0, 100'000));
    rig.nodeHas("xxxx")->reset();
    rig.until([&] { return client->has("HTTP/1.1 503 "); });
    client->say(kLongBody.substr(100'000));  // it may go on sending, and has its answer
    rig.until([&] { return client->ended; });
    CHECK(rig.engine.counters().attempts == 1);
    // Before a byte of it went anywhere another attempt can have it.
    CHECK(rig.outcomes(Outcome::ConnectFailed) == 1);
}

TEST_CASE("a declined 504 is neither retried nor counted against the node") {
    Rig rig;
    const auto client = rig.client();
    for (int i = 1; i < 4; ++i) {
        client->drop();
        client->say(Ask{.id = fmt::format("{:016x}", i)}.text());
        const auto node = rig.nodeHas("Req-Id");
        node->drop();
        node->say(i == 2 ? ok("x") : status(504, "Srv-Declined: 1\r\n"));
        rig.until([&] { return client->has(i == 2 ? " 200 " : " 503 "); });
        // The next try names the right node: it need not wait, as it meets no backlog.
        CHECK(client->has("Retry-After: 0.001\r\n") == (i != 2));
    }
    CHECK(rig.engine.counters().attempts == 3);
    CHECK(rig.engine.avoidedNodes() == 0);
}

TEST_CASE("a response without a length that is reset is incomplete, and the read is retried") {
    for (const auto* head : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"}) {
        CAPTURE(head);
        auto config = testConfig();
        for (auto& c : config.settings.classes)
            c.latencyObjectiveUs = 20'000'000;  // patience with a pause: 250 ms
        Rig rig(std::move(config));
        const auto client = rig.client();
        client->say(Ask{.deadlineMs = 30'000}.text());
        const auto node = rig.nodeHas("Req-Id");
        asio::write(node->socket, asio::buffer(std::string(head) + "a medias"));
        node->reset();
        rig.until([&] { return rig.outcomes(Outcome::Reset) == 1; }, "a reset");
        rig.until([&] { return rig.node().wires.size() == 2; }, "another attempt");
        rig.node().wires[1]->say(ok("entera"));
        rig.until([&] { return client->has("entera"); });
        CHECK(!client->has("a medias"));
    }
}

TEST_CASE("a declined 503 is retried, as the node did not run the request") {
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

TEST_CASE(
    "a connection that breaks after the request was sent is a reset, and a read is retried on a new one") {
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

TEST_CASE("a request whose node refuses connections is rejected with Retry-After") {
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
