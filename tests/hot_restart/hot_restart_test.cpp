// From one process of a front to the next: the bytes, what the rules allow both together, and whole
// processes.
#include "hot_restart/hot_restart.h"

#include <cstring>

#include "support/policy_support.h"
#include "support/process_support.h"

using namespace wingproxy;
using namespace wingproxy::test;
using namespace wingproxy::hot_restart;

namespace {

Snapshot someSnapshot(Rig& rig) {
    rig.engine.setAdminDrain("s-0", true);
    return {"n0", rig.engine.now(), rig.engine.takeSnapshot(), {"0000000000000001"}};
}

}  // namespace

// A snapshot that is not whole must never be half believed.
TEST_CASE("a snapshot cut at every byte, changed in any, of another front or old is refused") {
    Rig rig(baseConfig(), 3);
    const auto snapshot = someSnapshot(rig);
    const auto bytes = encode(snapshot);
    const auto now = snapshot.takenAt;
    const auto refused = [&](std::string_view b, std::string_view front = "n0", Micros at = 0) {
        return std::holds_alternative<Refused>(decode(b, front, at ? at : now));
    };
    CHECK(!refused(bytes));
    for (std::size_t n = 0; n < bytes.size(); ++n)
        REQUIRE(refused(std::string_view(bytes).substr(0, n)));
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        auto changed = bytes;
        changed[n] = char(changed[n] ^ 0x20);
        REQUIRE(refused(changed));
    }
    CHECK(refused(bytes + "x"));
    CHECK(refused(bytes, "n1"));
    CHECK(refused(bytes, "n0", now + kFresh + 1));
    const auto read = std::get<Snapshot>(decode(bytes, "n0", now));
    CHECK(read.engine.core.listed.size() == 3);
    CHECK(read.engine.addresses[2] == rig.node(2).address());
    CHECK(read.openRequestIds == snapshot.openRequestIds);
    // The module's own part is refused by a host of other settings, or where it is cut.
    Policy same(rig.config.settings, now), other(test::settings(0, 2), now);
    CHECK(same.restore(read.engine.core.module));
    CHECK(!other.restore(read.engine.core.module));
    for (std::size_t n = 0; n < read.engine.core.module.size(); n += 7)
        CHECK(!other.restore(read.engine.core.module.substr(0, n)));
    // Nor is one that a version with other fields wrote: its number stands behind the archive's own byte and
    // a length. (Host 1, so that it is that number and not the host's that is looked at.)
    auto before = Policy(test::settings(1, 3), now).takeSnapshot(now);
    const double older = 1;
    std::memcpy(before.data() + 1 + 8, &older, sizeof older);
    CHECK(!Policy(test::settings(1, 3), now).restore(before));
}

TEST_CASE("operators' overrides: of each node the newest, in whatever order they are merged") {
    const core::AdminOverrides a{{"x", {true, 1}}, {"y", {false, 5}}}, b{{"x", {false, 2}}, {"z", {true, 3}}},
        c{{"y", {true, 4}}, {"z", {false, 3}}};
    const auto all = merge(merge(a, b), c);
    CHECK(all == merge(merge(c, b), a));
    CHECK(all == merge(a, merge(b, c)));
    CHECK(all == merge(all, all));
    CHECK(all == core::AdminOverrides{{"x", {false, 2}}, {"y", {false, 5}}, {"z", {true, 3}}});
    const auto bytes = encodeOverrides(all);
    CHECK(std::get<core::AdminOverrides>(decodeOverrides(bytes)) == all);
    for (std::size_t n = 0; n < bytes.size(); ++n)
        CHECK(std::holds_alternative<Refused>(decodeOverrides(std::string_view(bytes).substr(0, n))));
}

// Rule 5 over an upgrade: what both processes send together never passes burst, slack and rate, whenever the
// hand-over comes and whichever of the two is asked more.
TEST_CASE("no unit of a limit is spent twice by a process and its successor") {
    std::uint64_t state = 7;
    const auto draw = [&](std::uint64_t below) {
        state = state * 6364136223846793005ull + 1442695040888963407ull;
        return (state >> 33) % below;
    };
    for (int round = 0; round < 40; ++round) {
        const auto settings = test::settings();
        const auto& plan = settings.plans[0];
        Host old(settings, kStart);
        old.batch({nodes({node("a", 0), node("b", 1)})});
        double sent = 0;
        RequestId id = 0;
        std::optional<Host> fresh;
        const auto passAt = kStart + Micros(draw(3'000)) * kMs;
        for (Micros t = kStart; t < kStart + 6 * kSecond; t += 10 * kMs) {
            if (!fresh && t >= passAt) {
                const auto bytes = old.policy.takeSnapshot(t);
                fresh.emplace(settings, t);
                REQUIRE(fresh->policy.restore(bytes));
                fresh->batch({nodes({node("a", 0), node("b", 1)}, EndpointListKind::Cached)});
            }
            for (Host* h : {&old, fresh ? &*fresh : nullptr}) {
                if (!h || (h == &old && fresh && draw(3) > 0)) continue;
                auto actions = h->runTo(t);
                for (auto& a : h->batch({request(++id, 0, 0, t, 2, int(draw(2)))}))
                    actions.push_back(a);
                for (const auto& s : only<ForwardRequest>(actions)) {
                    sent += 2;
                    h->batch({ended(s.id, 0, s.node, Outcome::Ok)});
                }
            }
            const double allowed =
                plan.limitBurst + plan.limitSlack + plan.limit * double(t - kStart) / double(kSecond);
            REQUIRE(sent <= allowed);
        }
        CHECK(sent > plan.limit * 3);  // and the limit is used
    }
}

TEST_CASE(
    "after the hand-over the old process sends a cold node nothing new, and the new one no more than is "
    "left") {
    const auto settings = test::settings();
    Host old(settings, kStart);
    old.batch({nodes({node("a", 0, NodeState::Ready, kStart)})});
    double sent = 0;
    const auto ask = [&](Host& h, RequestId id) {
        for (const auto& s : only<ForwardRequest>(h.batch({request(id, 0, 1, h.now)})))
            sent += s.id > 0 ? 2 : 0;
    };
    for (RequestId id = 1; id < 4; ++id)
        ask(old, id);
    const auto before = sent;
    CHECK(before > 0);
    const auto bytes = old.policy.takeSnapshot(kStart);
    for (RequestId id = 10; id < 30; ++id)
        ask(old, id);
    CHECK(sent == before);
    Host fresh(settings, kStart);
    REQUIRE(fresh.policy.restore(bytes));
    fresh.batch({nodes({node("a", 0, NodeState::Ready, kStart)}, EndpointListKind::Cached)});
    for (RequestId id = 40; id < 80; ++id)
        ask(fresh, id);
    CHECK(sent <= settings.slowStartUnits);
}

TEST_CASE("two upgrades in a row under requests: each has its answer, and a node out by hand stays out") {
    Platform platform;
    platform.rig.node().greets = [](Wire& wire) { wire.reply = ok("x"); };
    auto* serving = &platform.startReady();
    int id = 0;
    for (int upgrade = 0; upgrade < 2; ++upgrade) {
        const auto kept = platform.client();
        platform.serve(kept, fmt::format("{:016x}", ++id));
        auto& next = platform.startReady();
        platform.serve(platform.client(), fmt::format("{:016x}", ++id));  // still the old one's
        if (upgrade == 1)
            CHECK(platform.post(*serving, "/_chunk-servers/detach", "s-0").starts_with("HTTP/1.1 200"));
        serving->signal(SIGTERM);
        platform.untilSaid(next, "taken over after");
        if (upgrade == 0) {
            platform.serve(kept,
                           fmt::format("{:016x}", ++id));  // the old one answers it, and ends the connection
            CHECK(kept->has("Connection: close"));
            platform.serve(platform.client(), fmt::format("{:016x}", ++id));
        }
        platform.rig.until([&] { return !serving->running(); }, "the old process ends");
        CHECK(serving->status == 0);
        serving = &next;
    }
    const auto vars = platform.call(*serving, "GET /_vars HTTP/1.1\r\n\r\n");
    CHECK(vars.find(R"("out_of_rotation":1)") != std::string::npos);
    CHECK(vars.find(R"("registry_entries":1)") != std::string::npos);
}

TEST_CASE("a call that the old process hears after the hand-over reaches the new one") {
    Platform platform;
    platform.rig.node().greets = [](Wire& wire) { wire.reply = ok("x"); };
    auto& old = platform.startReady();
    const auto held = platform.client();  // keeps the old process here
    platform.serve(held, "0000000000000001");
    auto& next = platform.startReady();
    old.signal(SIGTERM);
    platform.untilSaid(old, "given to the other process");
    CHECK(platform.post(old, "/_chunk-servers/detach", "s-0").starts_with("HTTP/1.1 200"));
    platform.rig.until([&] {
        return platform.call(next, "GET /_vars HTTP/1.1\r\n\r\n").find(R"("out_of_rotation":1)") !=
               std::string::npos;
    });
}

TEST_CASE("a successor that dies before the hand-over leaves an ordinary stop") {
    Platform platform;
    platform.rig.node().greets = [](Wire& wire) { wire.reply = ok("x"); };
    auto& old = platform.startReady();
    {
        auto& next = platform.startReady();
        next.signal(SIGKILL);
        platform.rig.until([&] { return !next.running(); });
    }
    old.signal(SIGTERM);
    platform.untilSaid(old, "stopping");
    platform.serve(platform.client(), "0000000000000001");  // it accepts for a while, as at any stop
    platform.rig.until([&] { return !old.running(); });
    CHECK(old.status == 0);
    CHECK(!old.said("given to the other process"));
}

TEST_CASE(
    "a process that dies without a word is followed at once, and what it left half written is refused") {
    Platform platform;
    platform.rig.node().greets = [](Wire& wire) { wire.reply = ok("x"); };
    auto& old = platform.startReady();
    auto& next = platform.startReady();
    std::ofstream(platform.folder / "wingproxy.snapshot") << "WPS1 half";
    old.signal(SIGKILL);
    platform.untilSaid(next, "snapshot refused, cut short");
    platform.serve(platform.client(), "0000000000000001");
}

// What the old process took it finishes, however long its bytes go on; what comes meanwhile is the new one's.
TEST_CASE("an upgrade with long bodies in flight both ways: each comes whole") {
    Platform platform;
    auto& rig = platform.rig;
    auto& old = platform.startReady();
    const std::string body(200'000, 'b');
    const auto up = platform.client(), down = platform.client();
    auto put = Ask{.id = "00000000000000b1", .kind = "alta", .body = body, .deadlineMs = 3000}.text();
    up->say(put.substr(0, put.size() - 60'000));
    const auto taker = rig.nodeHas("00000000000000b1");
    down->say(Ask{.id = "00000000000000b2"}.text());
    const auto giver = rig.nodeHas("00000000000000b2");
    const auto answer = ok(body);
    giver->say(answer.substr(0, 120'000));
    rig.until([&] { return down->got.size() > 100'000; });
    auto& next = platform.startReady();
    old.signal(SIGTERM);
    platform.untilSaid(next, "taken over after");
    up->say(put.substr(put.size() - 60'000));
    giver->say(answer.substr(120'000));
    rig.until([&] { return down->has(body); }, "the answer is whole");
    rig.until([&] { return taker->has(body); }, "the body is whole");
    taker->say(ok("hecho"));
    rig.until([&] { return up->has("hecho"); });
    const auto meanwhile = platform.client();
    meanwhile->say(Ask{.id = "00000000000000b3"}.text());
    rig.nodeHas("00000000000000b3")->say(ok("nuevo"));
    rig.until([&] { return meanwhile->has("nuevo"); });
    rig.until([&] { return !old.running(); }, "the old process ends");
    CHECK(old.status == 0);
}

namespace {

// A process that has served a connection once, and the successor that waits for it.
struct Upgrade {
    Platform platform;
    Process& old = serving(platform);
    WirePtr held = served(platform);
    Process& next = platform.startReady();
    static Process& serving(Platform& platform) {
        platform.rig.node().greets = [](Wire& wire) { wire.reply = ok("x"); };
        return platform.startReady();
    }
    static WirePtr served(Platform& platform) {
        auto client = platform.client();
        platform.serve(client, "0000000000000001");
        return client;
    }
};

}  // namespace

// A file that moves discovery is read by the old process in the instant in which it hands over: neither
// undoes the other, and the successor has read the new file at its own start.
TEST_CASE("an upgrade during a reload: the old process does both, and requests go on") {
    Upgrade upgrade;
    auto& [platform, old, held, next] = upgrade;
    old.signal(SIGHUP);
    old.signal(SIGTERM);
    platform.untilSaid(next, "taken over after");
    platform.serve(held, "0000000000000002");  // the old one's last answer on it
    platform.serve(platform.client(), "0000000000000003");
    next.signal(SIGHUP);  // and one that reaches the successor in its first moments
    platform.untilSaid(next, "reloaded: discovery at");
    platform.serve(platform.client(), "0000000000000004");
    platform.rig.until([&] { return !old.running(); }, "the old process ends");
    CHECK(old.status == 0);
    CHECK(old.said("reloaded: discovery at"));
    CHECK(old.said("given to the other process"));
}

// The call and SIGTERM are on their way together: whichever the old process reads first, the word holds at
// both.
TEST_CASE(
    "detached in the very instant of a hand-over under requests: out at the successor, round after round") {
    Platform platform;
    platform.rig.node().greets = [](Wire& wire) { wire.reply = ok("x"); };
    auto* serving = &platform.startReady();
    const char* const calls[] = {"detach", "attach", "detach"};
    int id = 0;
    for (const std::string word : calls) {
        auto& next = platform.startReady();
        std::vector<WirePtr> asking;
        for (int i = 0; i < 12; ++i) {  // in flight while it passes: each has a final answer below
            asking.push_back(platform.client());
            asking.back()->say(Ask{.id = fmt::format("{:016x}", ++id)}.text());
        }
        tcp::socket socket(platform.rig.io);
        socket.connect(net::tcpEndpoint(serving->mgmt));
        const auto call = std::make_shared<Wire>(std::move(socket));
        call->start();
        call->say(fmt::format("POST /_chunk-servers/{} HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-0", word));
        serving->signal(SIGTERM);
        platform.rig.until([&] { return call->ended; }, "the call is answered");
        CHECK(call->got.starts_with("HTTP/1.1 200 "));
        platform.untilSaid(next, "taken over after");
        const auto out = word == "detach" ? R"("out_of_rotation":1)" : R"("out_of_rotation":0)";
        platform.rig.until(
            [&] { return platform.call(next, "GET /_vars HTTP/1.1\r\n\r\n").find(out) != std::string::npos; },
            out);
        for (const auto& client : asking)
            platform.rig.until([&] { return client->has("HTTP/1.1 200 ") || client->has("HTTP/1.1 503 "); },
                               "each is answered");
        asking.clear();
        platform.rig.until([&] { return !serving->running(); }, "the old process ends");
        CHECK(serving->status == 0);
        serving = &next;
    }
}

// The right to serve is free again then: who starts next has it at once, though the old one still drains.
TEST_CASE("a successor that dies after it took over: the next process serves at once, as after a crash") {
    Upgrade upgrade;
    auto& [platform, old, held, next] = upgrade;
    old.signal(SIGTERM);
    platform.untilSaid(next, "taken over after");
    next.signal(SIGKILL);
    platform.rig.until([&] { return !next.running(); });
    const auto waiting = platform.client();  // nobody accepts now; it waits in the socket's queue
    waiting->say(Ask{.id = "0000000000000002"}.text());
    auto& third = platform.startReady();
    platform.rig.until([&] { return waiting->has("HTTP/1.1 200 "); }, "served by the third");
    CHECK(third.said("n0 listens on"));
    platform.serve(held, "0000000000000003");  // what the old one took it still answers
    platform.rig.until([&] { return !old.running(); }, "the old process ends");
    CHECK(old.status == 0);
}
