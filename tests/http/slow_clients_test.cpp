// Clients that send slowly or not at all.
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;
using std::chrono::milliseconds;

TEST_CASE("silent connections and partial requests are closed within 3 s") {
    Rig rig;
    const auto since = std::chrono::steady_clock::now();
    const auto silent = rig.client(), partial = rig.client(), body = rig.client(), used = rig.client();
    partial->say("GET /api HTTP/1.1\r\nReq-Id: ");
    body->say(Ask{.kind = "alta", .body = std::string(60'000, 'x')}.text().substr(0, 50'000));  // truncated
    used->say("GET /up HTTP/1.1\r\n\r\n");
    rig.until([&] { return silent->ended; });
    CHECK(std::chrono::steady_clock::now() - since < std::chrono::seconds(3));
    CHECK(!partial->ended);  // the slowest clients take 2 s for a head
    rig.until([&] { return partial->ended && body->ended; });
    CHECK(std::chrono::steady_clock::now() - since < std::chrono::seconds(3));
    CHECK(body->has("HTTP/1.1 408 "));
    CHECK(rig.engine.counters().received == 0);
    CHECK(silent->got.empty());
    CHECK(partial->has("HTTP/1.1 408 "));
    CHECK(rig.front.counters().silent == 1);
    CHECK(rig.front.counters().slow == 2);
    CHECK(used->has(" 200 "));
    CHECK(!used->ended);  // kept between requests
}

TEST_CASE("the time for a request's head runs from its first byte") {
    Rig rig;
    const auto client = rig.client();
    const auto since = std::chrono::steady_clock::now();
    const auto passed = [&](milliseconds span) {  // the client's own pace
        rig.until([&] { return std::chrono::steady_clock::now() - since > span; });
    };
    passed(milliseconds(1'500));
    client->say("GET /up HT");
    passed(milliseconds(3'200));
    CHECK(!client->ended);
    client->say("TP/1.1\r\n\r\n");
    rig.until([&] { return client->has("HTTP/1.1 200 "); });
    CHECK(rig.front.counters().slow == 0);
}
