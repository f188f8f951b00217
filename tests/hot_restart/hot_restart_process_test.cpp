// Hot restart of whole processes under requests: a platform that starts the program again while it serves,
// ends the old process with SIGTERM, and sees no request lost.
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

/// A Req-Id that was not used yet in this test.
class RequestIds {
public:
    std::string next() { return fmt::format("{:016x}", ++last_); }

private:
    int last_ = 0;
};

/// The node answers each request at once.
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

/// A process that has served a request on `connection`, and the successor that waits for it.
struct Upgrade {
    Platform platform;
    RequestIds ids;
    Process& old = startServing();
    TestConnectionPtr connection = serveOne();
    Process& next = platform.startReady();

    /// SIGTERM to the old process, and the successor has the service.
    void transfer() {
        old.signal(SIGTERM);
        platform.waitUntilLogged(next, kTakenOver);
    }
    void serve(const TestConnectionPtr& client) { platform.serve(client, ids.next()); }
    void serveNewClient() { serve(platform.client()); }
    void checkOldEndsInOrder() {
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

TEST_CASE("upgrade: clients are the old process's until SIGTERM, and the successor's from then on") {
    Upgrade upgrade;
    upgrade.serveNewClient();
    CHECK(!upgrade.next.hasLogged(kTakenOver));
    upgrade.transfer();
    upgrade.serveNewClient();
    upgrade.checkOldEndsInOrder();
    upgrade.serveNewClient();
    CHECK(upgrade.old.hasLogged(kTransferred));
}

TEST_CASE("upgrade: the old process answers one more request on an open connection, and closes it") {
    Upgrade upgrade;
    upgrade.transfer();
    upgrade.serve(upgrade.connection);
    CHECK(upgrade.connection->hasReceived("Connection: close"));
    upgrade.checkOldEndsInOrder();
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
        platform.serve(platform.client(), ids.next());  // still the old one's
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

TEST_CASE("upgrade: a successor that dies before the transfer leaves an ordinary shutdown") {
    Platform platform;
    answerAll(platform);
    auto& old = platform.startReady();
    kill(platform, platform.startReady());
    old.signal(SIGTERM);
    platform.waitUntilLogged(old, "stopping");
    platform.serve(platform.client(), "0000000000000001");  // it accepts for a while, as at any shutdown
    waitUntilEnded(platform, old);
    CHECK(old.status == 0);
    CHECK(!old.hasLogged(kTransferred));
}

TEST_CASE("upgrade: a successor that is ended before the transfer stops without having served") {
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

TEST_CASE("upgrade: long bodies in flight both ways are completed by the old process") {
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

// The old process reads a file that moves discovery in the instant of the transfer: neither undoes the other,
// and the successor has read the new file at its own start.
TEST_CASE("upgrade: a reload in the instant of the transfer is done as well, and requests go on") {
    Upgrade upgrade;
    auto& platform = upgrade.platform;
    upgrade.old.signal(SIGHUP);
    upgrade.transfer();
    upgrade.serve(upgrade.connection);
    upgrade.serveNewClient();
    upgrade.next.signal(SIGHUP);  // and one that reaches the successor in its first moments
    platform.waitUntilLogged(upgrade.next, "reloaded: discovery at");
    upgrade.serveNewClient();
    upgrade.checkOldEndsInOrder();
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

// Whichever of the two the old process reads first, the order holds in both processes.
TEST_CASE("upgrade: a node that is drained in the instant of the transfer is drained at the successor") {
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

// The service is free again then: who starts next has it at once, though the old process still finishes
// requests.
TEST_CASE("upgrade: after a successor that died once it served, the next process serves at once") {
    Upgrade upgrade;
    auto& platform = upgrade.platform;
    upgrade.transfer();
    kill(platform, upgrade.next);
    const auto waiting = platform.client();  // nobody accepts now, it waits in the listener's queue
    waiting->send(PlatformRequest{.id = upgrade.ids.next()}.text());
    auto& third = platform.startReady();
    platform.fixture.waitUntil([&] { return waiting->hasReceived("HTTP/1.1 200 "); }, "served by the third");
    CHECK(third.hasLogged("n0 listens on"));
    upgrade.serve(upgrade.connection);  // what the old one accepted it still answers
    upgrade.checkOldEndsInOrder();
}
