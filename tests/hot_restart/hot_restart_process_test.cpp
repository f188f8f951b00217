// Hot restart of real processes under load: the platform starts a successor while the old process serves,
// ends the old process with SIGTERM, and no request is lost.
#include <string>
#include <vector>

#include "support/policy_support.h"
#include "support/process_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

constexpr const char* kTakenOver = "taken over after";
constexpr const char* kTransferred = "service transferred to the successor";
constexpr const char* kOneDrained = R"("out_of_rotation":1)";
constexpr const char* kNoneDrained = R"("out_of_rotation":0)";

/// Generates Req-Ids that are unique within a test.
class RequestIds {
public:
    std::string next() { return fmt::format("{:016x}", ++last_); }

private:
    int last_ = 0;
};

/// Makes the node answer each request at once.
void answerAll(Platform& platform) {
    platform.fixture.node().onConnection = [](TestConnection& connection) {
        connection.autoResponse = ok("x");
    };
}

std::string vars(Platform& platform, const Process& process) {
    return platform.call(process, "GET /_vars HTTP/1.1\r\n\r\n");
}

bool detach(Platform& platform, const Process& process) {
    return platform.post(process, "/_chunk-servers/detach", "s-0").starts_with("HTTP/1.1 200");
}

void waitUntilEnded(Platform& platform, Process& process) {
    platform.fixture.waitUntil([&] { return !process.running(); }, "the process ends");
}

void kill(Platform& platform, Process& process) {
    process.signal(SIGKILL);
    waitUntilEnded(platform, process);
}

/// An old process that has served a request on `connection`, and a successor that waits to take over.
struct Upgrade {
    Platform platform;
    RequestIds ids;
    Process& old = startServing();
    TestConnectionPtr connection = serveOne();
    Process& next = platform.startReady();

    /// Sends SIGTERM to the old process and waits until the successor has taken over.
    void transfer() {
        old.signal(SIGTERM);
        platform.waitUntilLogged(next, kTakenOver);
    }
    void serve(const TestConnectionPtr& client) { platform.serve(client, ids.next()); }
    void serveNewClient() { serve(platform.client()); }
    void checkOldExitsCleanly() {
        waitUntilEnded(platform, old);
        CHECK(old.status == 0);
    }

private:
    Process& startServing() {
        answerAll(platform);
        return platform.startReady();
    }
    TestConnectionPtr serveOne() {
        auto client = platform.client();
        serve(client);
        return client;
    }
};

}  // namespace

TEST_CASE("upgrade: the old process serves new clients until SIGTERM, and the successor from then on") {
    Upgrade upgrade;
    upgrade.serveNewClient();
    CHECK(!upgrade.next.hasLogged(kTakenOver));
    upgrade.transfer();
    upgrade.serveNewClient();
    upgrade.checkOldExitsCleanly();
    upgrade.serveNewClient();
    CHECK(upgrade.old.hasLogged(kTransferred));
}

TEST_CASE("upgrade: the old process answers one more request on an open connection, and closes it") {
    Upgrade upgrade;
    upgrade.transfer();
    upgrade.serve(upgrade.connection);
    CHECK(upgrade.connection->hasReceived("Connection: close"));
    upgrade.checkOldExitsCleanly();
}

// Guards against answers that SIGKILL cuts off: a client that rests on the old process is served by the new
// one.
TEST_CASE("upgrade: the old process closes resting connections within 0.7 s after SIGTERM and ends") {
    Upgrade upgrade;
    const auto signalledAt = std::chrono::steady_clock::now();
    upgrade.transfer();
    upgrade.platform.fixture.waitUntil([&] { return upgrade.connection->ended; });
    CHECK(std::chrono::steady_clock::now() - signalledAt < std::chrono::milliseconds(700));
    CHECK(upgrade.connection->endedWith == asio::error::eof);
    upgrade.checkOldExitsCleanly();
    CHECK(std::chrono::steady_clock::now() - signalledAt < std::chrono::seconds(2));
    upgrade.serveNewClient();
}

TEST_CASE("upgrade: two in a row under requests, and a node that was drained in between stays drained") {
    Platform platform;
    answerAll(platform);
    RequestIds ids;
    auto* serving = &platform.startReady();
    for (int upgrade = 0; upgrade < 2; ++upgrade) {
        const auto connection = platform.client();
        platform.serve(connection, ids.next());
        auto& next = platform.startReady();
        platform.serve(platform.client(), ids.next());  // by the old process
        if (upgrade == 1) CHECK(detach(platform, *serving));
        serving->signal(SIGTERM);
        platform.waitUntilLogged(next, kTakenOver);
        if (upgrade == 0) {
            platform.serve(connection, ids.next());
            CHECK(connection->hasReceived("Connection: close"));
            platform.serve(platform.client(), ids.next());
        }
        waitUntilEnded(platform, *serving);
        CHECK(serving->status == 0);
        serving = &next;
    }
    const auto seen = vars(platform, *serving);
    CHECK(seen.find(kOneDrained) != std::string::npos);
    CHECK(seen.find(R"("registry_entries":1)") != std::string::npos);
}

TEST_CASE(
    "upgrade: an admin request that the old process receives after the transfer reaches the successor") {
    Upgrade upgrade;  // its connection keeps the old process running
    auto& platform = upgrade.platform;
    upgrade.old.signal(SIGTERM);
    platform.waitUntilLogged(upgrade.old, kTransferred);
    CHECK(detach(platform, upgrade.old));
    platform.fixture.waitUntil(
        [&] { return vars(platform, upgrade.next).find(kOneDrained) != std::string::npos; });
}

TEST_CASE("upgrade: if the successor dies before the transfer, the old process shuts down as without one") {
    Platform platform;
    answerAll(platform);
    auto& old = platform.startReady();
    kill(platform, platform.startReady());
    old.signal(SIGTERM);
    platform.waitUntilLogged(old, "stopping");
    platform.serve(platform.client(), "0000000000000001");  // still accepted, as in any shutdown
    waitUntilEnded(platform, old);
    CHECK(old.status == 0);
    CHECK(!old.hasLogged(kTransferred));
}

TEST_CASE("upgrade: a successor that receives SIGTERM before the transfer stops without having served") {
    Upgrade upgrade;
    upgrade.next.signal(SIGTERM);
    waitUntilEnded(upgrade.platform, upgrade.next);
    CHECK(upgrade.next.status == 0);
    CHECK(upgrade.next.hasLogged("stopped: 0 requests taken since SIGTERM"));
    upgrade.serveNewClient();
}

TEST_CASE(
    "upgrade: the successor of a process that was killed serves at once, and rejects an incomplete "
    "snapshot") {
    Platform platform;
    answerAll(platform);
    auto& old = platform.startReady();
    auto& next = platform.startReady();
    platform.folder.write("wingproxy.snapshot", "WPS1 half");
    old.signal(SIGKILL);
    platform.waitUntilLogged(next, "snapshot rejected, truncated");
    platform.serve(platform.client(), "0000000000000001");
}

TEST_CASE("upgrade: the old process completes long bodies in flight in both directions") {
    Platform platform;
    auto& fixture = platform.fixture;
    auto& old = platform.startReady();
    const std::string body(200'000, 'b');
    constexpr std::size_t kBodyBytesSentLater = 60'000;
    constexpr std::size_t kResponseBytesSentFirst = 120'000;
    const auto uploading = platform.client();
    const auto downloading = platform.client();
    const auto put =
        PlatformRequest{.id = "00000000000000b1", .kind = "alta", .body = body, .deadlineMs = 3000}.text();
    uploading->send(put.substr(0, put.size() - kBodyBytesSentLater));
    const auto uploadNode = fixture.waitForNodeToReceive("00000000000000b1");
    downloading->send(PlatformRequest{.id = "00000000000000b2"}.text());
    const auto downloadNode = fixture.waitForNodeToReceive("00000000000000b2");
    const auto response = ok(body);
    downloadNode->send(response.substr(0, kResponseBytesSentFirst));
    fixture.waitUntil([&] { return downloading->received.size() > 100'000; });
    auto& next = platform.startReady();
    old.signal(SIGTERM);
    platform.waitUntilLogged(next, kTakenOver);
    uploading->send(put.substr(put.size() - kBodyBytesSentLater));
    downloadNode->send(response.substr(kResponseBytesSentFirst));
    fixture.waitUntil([&] { return downloading->hasReceived(body); }, "the response is complete");
    fixture.waitUntil([&] { return uploadNode->hasReceived(body); }, "the request body is complete");
    uploadNode->send(ok("hecho"));
    fixture.waitUntil([&] { return uploading->hasReceived("hecho"); });
    const auto newClient = platform.client();
    newClient->send(PlatformRequest{.id = "00000000000000b3"}.text());
    fixture.waitForNodeToReceive("00000000000000b3")->send(ok("nuevo"));
    fixture.waitUntil([&] { return newClient->hasReceived("nuevo"); });
    waitUntilEnded(platform, old);
    CHECK(old.status == 0);
}

// SIGHUP reaches the old process immediately before SIGTERM: it performs both the reload and the transfer.
// The successor has read the file at its own start.
TEST_CASE(
    "upgrade: a reload at the time of the transfer is performed too, and requests are served throughout") {
    Upgrade upgrade;
    auto& platform = upgrade.platform;
    upgrade.old.signal(SIGHUP);
    upgrade.transfer();
    upgrade.serve(upgrade.connection);
    upgrade.serveNewClient();
    upgrade.next.signal(SIGHUP);  // a reload of a successor that has just taken over
    platform.waitUntilLogged(upgrade.next, "reloaded: discovery at");
    upgrade.serveNewClient();
    upgrade.checkOldExitsCleanly();
    CHECK(upgrade.old.hasLogged("reloaded: discovery at"));
    CHECK(upgrade.old.hasLogged(kTransferred));
}

namespace {

/// Sends an admin request and SIGTERM together, with requests in flight, and checks that each has a final
/// answer and that the successor acts on the admin request.
void checkAdminRequestDuringTransfer(Platform& platform, RequestIds& ids, Process& serving, Process& next,
                                     const std::string& call) {
    std::vector<TestConnectionPtr> clients;
    for (int i = 0; i < 12; ++i) {
        clients.push_back(platform.client());
        clients.back()->send(PlatformRequest{.id = ids.next()}.text());
    }
    const auto admin = platform.fixture.connect(serving.mgmt);
    admin->send(fmt::format("POST /_chunk-servers/{} HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-0", call));
    serving.signal(SIGTERM);
    platform.fixture.waitUntil([&] { return admin->ended; }, "the admin request is answered");
    CHECK(admin->received.starts_with("HTTP/1.1 200 "));
    platform.waitUntilLogged(next, kTakenOver);
    const std::string expected = call == "detach" ? kOneDrained : kNoneDrained;
    platform.fixture.waitUntil([&] { return vars(platform, next).find(expected) != std::string::npos; },
                               expected.c_str());
    for (const auto& client : clients)
        platform.fixture.waitUntil(
            [&] { return client->hasReceived("HTTP/1.1 200 ") || client->hasReceived("HTTP/1.1 503 "); },
            "each request is answered");
}

}  // namespace

// The successor applies the drain, whether the old process handles the admin request or SIGTERM first.
TEST_CASE("upgrade: a node that is drained at the time of the transfer is drained at the successor") {
    Platform platform;
    answerAll(platform);
    RequestIds ids;
    auto* serving = &platform.startReady();
    for (const std::string call : {"detach", "attach", "detach"}) {
        auto& next = platform.startReady();
        checkAdminRequestDuringTransfer(platform, ids, *serving, next, call);
        waitUntilEnded(platform, *serving);
        CHECK(serving->status == 0);
        serving = &next;
    }
}

// The lock on the service is free once the successor has died, so that the next process acquires it at once,
// although the old process still finishes its requests.
TEST_CASE("upgrade: after a successor that died while it served, the next process serves at once") {
    Upgrade upgrade;
    auto& platform = upgrade.platform;
    upgrade.transfer();
    kill(platform, upgrade.next);
    // No process accepts now, so this connection waits in the listener's queue.
    const auto waiting = platform.client();
    waiting->send(PlatformRequest{.id = upgrade.ids.next()}.text());
    auto& third = platform.startReady();
    platform.fixture.waitUntil([&] { return waiting->hasReceived("HTTP/1.1 200 "); }, "served by the third");
    CHECK(third.hasLogged("n0 listens on"));
    upgrade.serve(upgrade.connection);  // the old process still serves its connections
    upgrade.checkOldExitsCleanly();
}
