// Deadlines of requests, and the idempotency window of retries.
#include "http/request_attempt.h"
#include "support/net_support.h"
#include "support/policy_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

core::Effects step(core::FrontState& state, Micros now, core::Input input) {
    auto all = core::reduce(state, now, std::move(input));
    for (auto& e : core::reduce(state, now, core::BatchEnded{}))
        all.push_back(std::move(e));
    return all;
}

template <typename T>
std::vector<T> of(const core::Effects& effects) {
    std::vector<T> out;
    for (const auto& e : effects)
        if (const auto* t = std::get_if<T>(&e)) out.push_back(*t);
    return out;
}

}  // namespace

// A client's timeout starts with the last byte of its request. Until that byte has arrived, no deadline ends
// the request; afterwards the client's deadline does.
TEST_CASE("reducer: the deadline of a request with a streamed body runs from the body's end") {
    core::FrontState state(test::settings(), core::AttemptLimits{250 * kMs}, kStart);
    Micros now = kStart;
    const auto apply = [&](core::Input input) { return step(state, now, std::move(input)); };
    const auto count = [](const core::Effects& effects, auto kind) {
        return std::count_if(effects.begin(), effects.end(),
                             [](const auto& e) { return std::holds_alternative<decltype(kind)>(e); });
    };
    apply(EndpointListReceived{nodes({node("n0", 0)})});
    auto r = request(1, 1, 1, now);
    r.bodyIncomplete = true;
    CHECK(count(apply(RequestReceived{r}), core::StartAttempt{}) == 1);
    int ends = 0;
    const auto run = [&](Micros until) {
        while (state.nextWake() <= until) {
            now = std::max(now, state.nextWake());
            const auto effects = apply(core::TimerExpired{});
            ends += int(count(effects, core::StopAttempt{}) + count(effects, core::SendFailure{}) +
                        count(effects, core::SendRejection{}));
        }
        now = until;
    };
    run(kStart + 10 * kSecond);
    CHECK(ends == 0);
    CHECK(state.avoidedNodes() == 0);  // the node does not have the complete request yet
    apply(RequestBodyCompleted{1, now + kSecond});
    run(now + 900 * kMs);
    CHECK(ends == 0);
    run(now + 200 * kMs);
    CHECK(ends == 2);  // the attempt stops and the client gets its response: no retry can send the body
    CHECK(state.openRequests() == 0);
    CHECK(state.counters().attempts == 1);
}

// The idempotency key is valid for 1 s (keyWindowUs), and the first attempt fails 20 ms before its end.
TEST_CASE("reducer: a retry that is not sent within the idempotency window is stopped") {
    auto settings = test::settings();
    settings.classes[1].latencyObjectiveUs = 3 * kSecond;  // so that a retry is still worthwhile at that time
    const Micros window = settings.classes[1].keyWindowUs;
    for (const bool written : {false, true}) {
        core::FrontState state(settings, core::AttemptLimits{250 * kMs}, kStart);
        step(state, kStart, EndpointListReceived{nodes({node("n0", 0)})});
        auto asked = request(1, 1, 1, kStart);
        asked.deadlineUs = kStart + 4 * kSecond;
        const auto first = of<core::StartAttempt>(step(state, kStart, RequestReceived{asked}));
        REQUIRE(first.size() == 1);
        CHECK(first[0].lastByteBy == core::StartAttempt::kNever);
        step(state, kStart, core::AttemptRequestSent{1, AttemptIndex(0)});
        const Micros broke = kStart + window - 20 * kMs;
        const auto repeat = of<core::StartAttempt>(
            step(state, broke, core::AttemptFinished{1, AttemptIndex(0), Outcome::Reset, 0, 0, {}}));
        REQUIRE(repeat.size() == 1);
        CHECK(repeat[0].lastByteBy == kStart + window);
        CHECK(repeat[0].firstByteBy <= kStart + window);
        if (written) step(state, kStart + window - kMs, core::AttemptRequestSent{1, AttemptIndex(1)});
        const auto after = step(state, kStart + window, core::TimerExpired{});
        CHECK(of<core::StopAttempt>(after).size() == (written ? 0 : 1));
        // What was written may still wait in the system: the attempt is stopped unless the node has it all.
        CHECK(of<core::StopUndeliveredAttempt>(after).size() == (written ? 1 : 0));
        // The first attempt may have run, so the client gets a failure and no rejection.
        CHECK(of<core::SendFailure>(after).size() == (written ? 0 : 1));
        CHECK(state.counters().lastByteTimeouts == (written ? 0 : 1));
    }
}

TEST_CASE("an attempt past its idempotency window writes nothing on an open connection") {
    GatewayFixture fixture;
    const auto message = std::make_shared<http::RequestMessage>(boost::beast::http::verb::get, "/api", 11);
    const auto attempt = std::make_shared<http::RequestAttempt>(
        fixture.engine, fixture.pool,
        net::AttemptParams{9, AttemptIndex(0), fixture.node().address(), fixture.engine.now() + 1'000'000,
                           fixture.engine.now() + 1'000'000, fixture.engine.now() - 1},
        message, std::nullopt, std::weak_ptr<http::ClientStream>(),
        [](AttemptIndex, http::ResponseMessage, net::ByteBudget::Reservation) {});
    attempt->start();
    fixture.waitUntil(
        [&] { return fixture.node().connections.size() == 1 && fixture.node().connections[0]->ended; });
    CHECK(fixture.node().connections[0]->received.empty());
    CHECK(fixture.engine.counters().requestsSent == 0);
}

TEST_CASE("an attempt that took too long to connect writes nothing") {
    auto config = testConfig();
    GatewayFixture fixture(std::move(config));
    const auto message = std::make_shared<http::RequestMessage>(boost::beast::http::verb::get, "/api", 11);
    // The time for the first byte is over before the connection is open: the node may be draining by then.
    const auto attempt = std::make_shared<http::RequestAttempt>(
        fixture.engine, fixture.pool,
        net::AttemptParams{9, AttemptIndex(0), fixture.node().address(), fixture.engine.now() - 1,
                           fixture.engine.now() + 1'000'000},
        message, std::nullopt, std::weak_ptr<http::ClientStream>(),
        [](AttemptIndex, http::ResponseMessage, net::ByteBudget::Reservation) {});
    attempt->start();
    fixture.waitUntil(
        [&] { return fixture.engine.counters().lateResults == 1 && fixture.node().connections.size() == 1; });
    CHECK(fixture.node().connections[0]->received.empty());
}

TEST_CASE(
    "at the deadline the client is answered, the attempt's connection is closed, and a late response is "
    "dropped") {
    GatewayFixture fixture;
    const auto client = fixture.client();
    const auto since = std::chrono::steady_clock::now();
    client->send(PlatformRequest{.deadlineMs = 150}.text());
    const auto node = fixture.waitForNodeToReceive("Req-Id");
    fixture.waitUntil([&] { return client->hasReceived("\r\n\r\n"); });
    CHECK(std::chrono::steady_clock::now() - since < std::chrono::seconds(1));
    CHECK(!client->hasReceived(" 200 "));
    fixture.waitUntil([&] { return node->ended; });
    node->send(ok("tarde"));
    client->clearReceived();
    client->send(PlatformRequest{.id = "00000000000000b2"}.text());
    fixture.waitForNodeToReceive("00000000000000b2")->send(ok("propia"));
    fixture.waitUntil([&] { return client->hasReceived("propia"); });
    CHECK(!client->hasReceived("tarde"));
}
