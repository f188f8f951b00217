/// \file
/// Case 3: clients keep using the connections that they have to the old process of an upgrade, and ask for
/// long answers that take their chunk server some seconds. Does each of them get its answer whole, although
/// the platform kills the old process when its time is over?
#include "stand_ins.h"

namespace {

using namespace review;

/// When the clients ask, in seconds after SIGTERM. All of these are more than 0.7 s after it.
constexpr double kAskAt[] = {1.0, 1.4, 1.8, 2.2, 2.6, 3.0};
/// SIGKILL comes no earlier: the longest deadline, "counted as 3 s where it is longer", and 0.7 s.
constexpr double kKillAfter = 3.0 + 0.7;
constexpr int kDeadlineMs = 5000;
constexpr int kPieces = 8;
constexpr std::size_t kPieceBytes = std::size_t{16} * 1024;
constexpr double kFirstByte = 0.02;
constexpr double kBetweenPieces = 0.5;
/// A client gives up on an answer of which nothing more comes for this long.
constexpr int kClientWaits = 10;

std::string longAnswer(const std::string& id) {
    std::string text;
    for (int i = 0; i < kPieces; ++i) {
        const std::string mark = id + ":" + std::to_string(i) + ":";
        text += mark + std::string(kPieceBytes - mark.size(), 'a');
    }
    return text;
}

/// A chunk server: answers `lectura` at once, and writes the long answer to `exportacion` in pieces.
void serveNode(const Socket& connection) {
    Reader reader(connection);
    while (const auto head = reader.head()) {
        const std::string id = head->field("Req-Id");
        if (head->field("Req-Kind") != "exportacion") {
            if (!connection.sendAll(answer(200, id.empty() ? "queue=0" : id))) return;
            continue;
        }
        record.line("node: runs %s", id.c_str());
        const std::string body = longAnswer(id);
        sleepFor(kFirstByte);
        bool open = connection.sendAll("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                       "\r\n\r\n");
        for (int i = 0; i < kPieces && open; ++i) {
            if (i > 0 && connection.isReadableWithin(kBetweenPieces)) open = false;
            open = open && connection.sendAll(
                               std::string_view(body).substr(std::size_t(i) * kPieceBytes, kPieceBytes));
            if (!open) record.line("node: %s: cut off after piece %d of %d", id.c_str(), i, kPieces);
        }
        if (!open) return;
        record.line("node: %s: the answer is written whole", id.c_str());
    }
}

struct Result {
    std::string id = freshId();
    double askedAt = 0;
    int status = 0;
    std::size_t bytes = 0;
    bool isWhole = false;
    bool wasSentAgain = false;
};

/// A client with a connection of its own, which it keeps.
class Client {
public:
    explicit Client(std::uint16_t port) : port_(port) { connect(); }

    bool readQuickly() {
        Reader reader(socket_);
        std::string body;
        if (!socket_.sendAll(ClientRequest{freshId()}.head())) return false;
        const auto head = reader.head();
        return head && head->status() == 200 && reader.body(*head, body);
    }
    /// Asks for a long answer. If the front ended the connection without a byte of an answer, the request may
    /// have crossed that end: it is sent once more on a new connection.
    void ask(Result& result) {
        result.askedAt = now();
        for (int tries = 0; tries < 2; ++tries) {
            Reader reader(socket_);
            socket_.sendAll(ClientRequest{result.id, "exportacion", 0, kDeadlineMs}.head());
            const auto head = reader.head();
            if (!head && tries == 0) {
                result.wasSentAgain = true;
                connect();
                continue;
            }
            if (!head) return;
            std::string body;
            const bool complete = reader.body(*head, body);
            result.status = head->status();
            result.bytes = body.size();
            result.isWhole = complete && result.status == 200 && body == longAnswer(result.id);
            return;
        }
    }

private:
    void connect() {
        auto connected = connectTo(port_);
        if (!connected) return;
        socket_ = std::move(*connected);
        const timeval limit{kClientWaits, 0};
        ::setsockopt(socket_.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    std::uint16_t port_;
    Socket socket_;
};

int runCase(const Arguments& arguments) {
    const Listening node;
    node.serve([](const Socket& connection) { serveNode(connection); });
    const std::vector<Listed> servers{{"s-5be2a07c", node.port, 0}};
    const Listening discovery;
    serveDiscovery(discovery, servers);
    const Listening clients;  // the platform holds the clients' listening socket
    const std::string config =
        arguments.writeFile("config.json", configuration(clients.port, discovery.port, servers, 1));
    const std::string shared = arguments.temporary + "/shared";
    ::mkdir(shared.c_str(), 0700);
    const auto variables = [&](std::uint16_t operators) {
        return std::vector<std::string>{"PROXY_CONFIG=" + config, "TMPDIR=" + shared, "PROXY_FD=7",
                                        "PROXY_MGMT=127.0.0.1:" + std::to_string(operators)};
    };
    const std::uint16_t oldOperators = freePort();
    Front old(arguments.run, variables(oldOperators), arguments.temporary + "/old.log", clients.socket.get());
    if (!waitUntilOk(oldOperators, "/_ready", 30)) couldNotRun("the first process does not get ready");
    std::vector<Client> resting;
    for (std::size_t i = 0; i < std::size(kAskAt); ++i)
        if (!resting.emplace_back(clients.port).readQuickly())
            couldNotRun("the first process does not serve");
    record.line("platform: the first process serves, %zu clients rest on their connections", resting.size());

    std::optional<Front> successor;
    if (arguments.withTrouble) {
        const std::uint16_t newOperators = freePort();
        successor.emplace(arguments.run, variables(newOperators), arguments.temporary + "/new.log",
                          clients.socket.get());
        if (!waitUntilOk(newOperators, "/_ready", 6))
            couldNotRun("the second process does not get ready within 6 s");
        record.line("platform: the second process says yes; SIGTERM to the first");
        old.signal(SIGTERM);
    }
    const double terminatedAt = now();
    std::vector<Result> results(resting.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < resting.size(); ++i)
        threads.emplace_back([&, i] {
            sleepFor(terminatedAt + kAskAt[i] - now());
            resting[i].ask(results[i]);
        });
    if (arguments.withTrouble) {
        sleepFor(terminatedAt + 0.5 - now());
        if (!Client(clients.port).readQuickly()) couldNotRun("new clients are not served after the upgrade");
        record.line("platform: new clients are served");
        while (old.isRunning() && now() < terminatedAt + kKillAfter)
            sleepFor(0.005);
        if (old.isRunning()) old.signal(SIGKILL);
        record.line("platform: %.2f s after SIGTERM the first process %s", now() - terminatedAt,
                    old.isRunning() ? "is killed" : "has left by itself");
    }
    for (std::thread& thread : threads)
        thread.join();
    int lost = 0;
    for (const Result& result : results) {
        // A refusal or a failure that is said is a final answer.
        const bool isLost = !result.isWhole && (result.status == 200 || result.status == 0);
        lost += isLost ? 1 : 0;
        record.line("client: %s, asked %.2f s after SIGTERM%s: %s, status %d, %zu bytes of %zu",
                    result.id.c_str(), result.askedAt - terminatedAt,
                    result.wasSentAgain ? ", sent again on a new connection" : "",
                    isLost ? "LOST" : "answered", result.status, result.bytes, kPieces * kPieceBytes);
    }
    record.line("platform: %zu requests, %d lost", results.size(), lost);
    return conclude(lost, "what a process takes more than 0.7 s after SIGTERM has its answer before SIGKILL");
}

}  // namespace

int main(int count, char** values) {
    const int code = runCase(Arguments(count, values));
    std::fflush(nullptr);
    ::_exit(code);
}
