/// \file
/// Case 3: a chunk server sends some answers twice, the second time some milliseconds late, if nothing else waits on the
/// connection by then. Does each client get the answer that was made for its request?
#include <random>

#include "stand_ins.h"

namespace {

using namespace review;

constexpr double kRunsFor = 20;
constexpr int kClients = 3;
constexpr double kWork = 0.002;
constexpr int kOneTwiceIn = 3;
/// "Some milliseconds".
constexpr double kLeastLate = 0.001;
constexpr double kMostLate = 0.009;
/// How long bytes are on the way between the front and the chunk server: `same_ms` of the site file is 0.13 to 0.3.
constexpr double kOnTheWay = 0.00025;

std::atomic<int> twice{0};

void sleepUntil(double when) {
    // A timer's sleep overshoots by some 0.05 ms: the rest is waited for.
    if (when - now() > 0.0003) sleepFor(when - now() - 0.0002);
    while (now() < when) {}
}

/// A chunk server, as the front sees it through a network: what the front writes reaches it kOnTheWay later, and what it
/// writes at some time is sent here kOnTheWay after that.
void serveNode(const Socket& connection, int number, bool sendsTwice) {
    std::mt19937 random(std::uint32_t(number * 7919 + ::getpid()));
    std::uniform_real_distribution<double> late(kLeastLate, kMostLate);
    Reader reader(connection);
    while (const auto head = reader.head()) {
        const std::string id = head->field("Req-Id");
        const std::string text = answer(200, id.empty() ? "queue=0" : id);
        sleepFor(kWork + 2 * kOnTheWay);
        if (!connection.sendAll(text)) return;
        const double sentAt = now();
        if (id.empty() || !sendsTwice || random() % kOneTwiceIn != 0) continue;
        const double writtenAgainAt = sentAt + late(random);
        // At writtenAgainAt - kOnTheWay the chunk server looks at what has reached it: what the front had written
        // kOnTheWay before that.
        sleepUntil(writtenAgainAt - 2 * kOnTheWay);
        if (connection.isReadableWithin(0)) continue;
        sleepUntil(writtenAgainAt);
        if (!connection.sendAll(text)) return;
        ++twice;
    }
}

struct Totals {
    std::atomic<int> served{0};
    std::atomic<int> other{0};
    std::atomic<int> foreign{0};
};

void runClient(std::uint16_t port, double until, Totals& totals) {
    std::optional<Socket> socket;
    while (now() < until) {
        if (!socket && !(socket = connectTo(port))) return;
        const std::string id = freshId();
        Reader reader(*socket);
        std::string body;
        const bool sent = socket->sendAll(ClientRequest{id}.head());
        const auto head = sent ? reader.head() : std::optional<Head>();
        if (!head || !reader.body(*head, body)) {
            socket.reset();
            continue;
        }
        if (head->status() != 200) {
            ++totals.other;
            sleepFor(0.05);
        } else if (body == id) {
            ++totals.served;
        } else if (++totals.foreign <= 20) {
            record.line("client: %s is answered 200 with the answer that was made for %s", id.c_str(), body.c_str());
        }
        if (head->field("Connection") == "close") socket.reset();
    }
}

int runCase(const Arguments& arguments) {
    const Listening node;
    std::atomic<int> connections{0};
    node.serve([&connections, sendsTwice = arguments.withTrouble](const Socket& connection) {
        serveNode(connection, ++connections, sendsTwice);
    });
    const std::vector<Listed> servers{{"s-5be2a07c", node.port, 0}};
    const Listening discovery;
    serveDiscovery(discovery, servers);
    const std::uint16_t port = freePort();
    const std::string config = arguments.writeFile("config.json", configuration(port, discovery.port, servers, 1));
    Front front(arguments.run, {"PROXY_CONFIG=" + config, "TMPDIR=" + arguments.temporary},
                arguments.temporary + "/front.log");
    if (!waitUntilOk(port, "/up", 30)) couldNotRun("the front does not answer /up");
    record.line("platform: the front is in use");
    Totals totals;
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i)
        clients.emplace_back([&, until = now() + kRunsFor] { runClient(port, until, totals); });
    for (std::thread& client : clients)
        client.join();
    if (!front.isRunning()) couldNotRun("the front ended");
    if (totals.served == 0) couldNotRun("no request was served");
    record.line("node: %d connections, %d answers sent twice", connections.load(), twice.load());
    record.line("client: %d served with their own answer, %d refused or failed, %d served with another request's",
                totals.served.load(), totals.other.load(), totals.foreign.load());
    return conclude(totals.foreign, "a client is served with the answer that a chunk server made for its request");
}

}  // namespace

int main(int count, char** values) {
    const int code = runCase(Arguments(count, values));
    std::fflush(nullptr);
    ::_exit(code);
}
