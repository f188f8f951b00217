/// \file
/// Case 3: during an upgrade an operator takes chunk servers out, and the old process says yes to each call. Does the
/// ban hold once that process has left?
#include "stand_ins.h"

namespace {

using namespace review;

constexpr int kServers = 40;
constexpr int kClients = 10;
constexpr double kBetweenCalls = 0.004;
constexpr double kCallerWaits = 1;
/// drainGraceUs, and "every time limit is 50 ms longer".
constexpr double kGrace = 1.0 + 0.05;
constexpr double kWatchedFor = 3;  // after the end of the last grace
constexpr double kKillAfter = 3.0 + 0.7;

struct Server {
    std::string id;
    int cell = 0;
    std::atomic<double> outSince{0};  ///< when the front said yes to the call out; 0: it did not
    std::atomic<int> received{0};
    std::atomic<int> receivedInBan{0};
    std::atomic<double> lastReceived{0};
    Listening listening;
};

void serveNode(const Socket& connection, Server& server) {
    Reader reader(connection);
    while (const auto head = reader.head()) {
        const std::string id = head->field("Req-Id");
        if (!id.empty()) {
            ++server.received;
            server.lastReceived = now();
            const double outSince = server.outSince;
            if (outSince > 0 && now() > outSince + kGrace && server.receivedInBan++ == 0)
                record.line("node: %s gets %s, %.3f s after the front said yes to taking it out", server.id.c_str(),
                            id.c_str(), now() - outSince);
        }
        if (!connection.sendAll(answer(200, id.empty() ? "queue=0" : id))) return;
    }
}

/// Calls an operator's address; the status, or 0 without an answer.
int call(std::uint16_t port, const std::string& path, const std::string& body) {
    const auto socket = connectTo(port);
    if (!socket) return 0;
    Reader reader(*socket);
    const std::string text = "POST " + path + " HTTP/1.1\r\nHost: front\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!socket->sendAll(text) || !socket->isReadableWithin(kCallerWaits)) return 0;
    const auto head = reader.head();
    return head ? head->status() : 0;
}

/// One client's connection; it connects anew when the front has closed.
class Client {
public:
    explicit Client(std::uint16_t port) : port_(port) {}
    int request(int cell) {
        for (int tries = 0; tries < 2; ++tries) {
            if (!socket_.isOpen()) {
                auto connected = connectTo(port_);
                if (!connected) return 0;
                socket_ = std::move(*connected);
            }
            Reader reader(socket_);
            ClientRequest request{freshId()};
            request.shard = cell;
            std::string body;
            const bool sent = socket_.sendAll(request.head());
            const auto head = sent ? reader.head() : std::optional<Head>();
            if (head && reader.body(*head, body)) {
                if (head->field("Connection") == "close") socket_.close();
                return head->status();
            }
            socket_.close();
        }
        return 0;
    }
    void close() { socket_.close(); }

private:
    std::uint16_t port_;
    Socket socket_;
};

/// Clients ask for the data of each chunk server in turn.
/// \return the number of answers by status
std::map<int, int> requestUntil(double end, std::uint16_t port) {
    std::map<int, int> answers;
    std::mutex mutex;
    std::vector<std::thread> clients;
    for (int first = 0; first < kClients; ++first)
        clients.emplace_back([&, first] {
            Client client(port);
            for (int cell = first; now() < end; cell = cell + kClients < kServers ? cell + kClients : first) {
                const int status = client.request(cell);
                sleepFor(0.02);
                const std::lock_guard<std::mutex> lock(mutex);
                ++answers[status];
            }
        });
    for (std::thread& client : clients)
        client.join();
    return answers;
}

int runCase(const Arguments& arguments) {
    std::vector<Server> servers(kServers);
    std::vector<Listed> listed;
    for (int i = 0; i < kServers; ++i) {
        Server& server = servers[std::size_t(i)];
        server.id = "s-5be2a0" + std::to_string(10 + i);
        server.cell = i;
        server.listening.serve([&server](const Socket& connection) { serveNode(connection, server); });
        listed.push_back({server.id, server.listening.port, i});
    }
    const Listening discovery;
    serveDiscovery(discovery, listed);
    const Listening clients;  // the platform holds the clients' listening socket
    const std::string config =
        arguments.writeFile("config.json", configuration(clients.port, discovery.port, listed, kServers));
    const std::string shared = arguments.temporary + "/shared";
    ::mkdir(shared.c_str(), 0700);
    const auto variables = [&](std::uint16_t operators) {
        return std::vector<std::string>{"PROXY_CONFIG=" + config, "TMPDIR=" + shared, "PROXY_FD=7",
                                        "PROXY_MGMT=127.0.0.1:" + std::to_string(operators)};
    };
    const std::uint16_t oldOperators = freePort();
    Front old(arguments.run, variables(oldOperators), arguments.temporary + "/old.log", clients.socket.get());
    if (!waitUntilOk(oldOperators, "/_ready", 30)) couldNotRun("the first process does not get ready");
    record.line("platform: the first process is ready");
    Client resting(clients.port);
    for (int i = 0; i < kServers; ++i)
        if (resting.request(i) != 200) couldNotRun("the first process does not serve");

    std::optional<Front> successor;
    if (arguments.withTrouble) {
        const std::uint16_t newOperators = freePort();
        successor.emplace(arguments.run, variables(newOperators), arguments.temporary + "/new.log", clients.socket.get());
        if (!waitUntilOk(newOperators, "/_ready", 6)) couldNotRun("the second process does not get ready within 6 s");
        record.line("platform: the second process says yes; SIGTERM to the first");
        old.signal(SIGTERM);
    }
    const double terminatedAt = now();
    sleepFor(0.3);
    Client client(clients.port);
    if (client.request(0) != 200) couldNotRun("clients are not served after the upgrade");
    resting.close();
    record.line("client: the last one that rested on its connection closes it");

    // The operator takes chunk servers out one after another, and stops when nobody answers at the address.
    int yes = 0;
    for (Server& server : servers) {
        const int status = call(oldOperators, "/_chunk-servers/detach", server.id);
        if (status == 0) break;
        if (status / 100 == 2) {
            server.outSince = now();
            ++yes;
        }
        record.line("operator: detach %s: %d", server.id.c_str(), status);
        sleepFor(kBetweenCalls);
    }
    const double lastCall = now();
    if (arguments.withTrouble) {
        while (old.isRunning() && now() < terminatedAt + kKillAfter)
            sleepFor(0.001);
        record.line("platform: the first process %s", old.isRunning() ? "is killed, its time is over" : "has left by itself");
        if (old.isRunning()) old.signal(SIGKILL);
    }
    if (yes == 0) couldNotRun("the front said yes to no call");

    const std::map<int, int> answers = requestUntil(lastCall + kGrace + kWatchedFor, clients.port);
    int broken = 0;
    for (const Server& server : servers) {
        if (server.receivedInBan == 0) continue;
        ++broken;
        record.line("node: %s got %d requests after the grace, the last one %.3f s after the yes", server.id.c_str(),
                    server.receivedInBan.load(), server.lastReceived - server.outSince);
    }
    for (const auto& [status, count] : answers)
        record.line("client: %d answers %d", count, status);
    record.line("platform: %d chunk servers taken out with a yes, %d of them got new requests after the grace", yes, broken);
    return conclude(broken, "a chunk server that an operator took out gets nothing new, also over an upgrade");
}

}  // namespace

int main(int count, char** values) {
    const int code = runCase(Arguments(count, values));
    std::fflush(nullptr);
    ::_exit(code);
}
