// Requests that are served, and connections that are reused.
#include "http/http_test_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

TEST_CASE("requests are forwarded unchanged, and both connections are reused") {
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
    client->drop();
    node->drop();
    client->say(Ask{.id = "00000000000000b2"}.text());
    CHECK(rig.nodeHas("00000000000000b2") == node);  // no second connection, on either side
    node->say(ok("otra"));
    rig.until([&] { return client->has("otra"); });
    CHECK(rig.front.sessionManager().accepted() == 1);
    CHECK(rig.pool.opened() == 1);
}

TEST_CASE("the longest buffered body and a response in parts pass through buffers of every size") {
    for (const auto ring : {net::kMaxRingBytes, net::kMinRingBytes}) {
        Rig rig(testConfig(), 1, 64, ring);
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

TEST_CASE("pipelined requests are not served, and the response closes the connection") {
    Rig rig;
    const auto client = rig.client(), blank = rig.client();
    client->say(Ask{.id = id(1)}.text() + Ask{.id = id(2)}.text());
    const auto node = rig.nodeHas(id(1));
    client->say(Ask{.id = id(3)}.text());
    node->say(ok("uno"));
    rig.until([&] { return client->has("uno") && client->ended; });
    CHECK(rig.engine.counters().received == 1);
    CHECK(rig.front.counters().pipelined == 1);
    blank->say(Ask{.kind = "alta", .body = "x"}.text() + "\r\n");  // old clients' habit
    rig.nodeHas("Idempotency-Key")->say(ok("dos"));
    rig.until([&] { return blank->has("dos"); });
    CHECK(!blank->has("Connection: close"));
    CHECK(rig.front.counters().pipelined == 1);
}

TEST_CASE("the readiness path is answered for a request that arrives in two parts") {
    Rig rig;
    const auto client = rig.client();
    client->say("GET /up HT");
    client->say("TP/1.1\r\nHost: x\r\n\r\n");
    rig.until([&] { return client->has("200"); });
}
