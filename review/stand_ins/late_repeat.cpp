/// \file
/// Case 1: a chunk server runs a write, its connection is reset before the answer, and then it hangs for a
/// while. Does the front's repeat still reach it after the window in which it drops repeats of that key?
#include "stand_ins.h"

namespace {

using namespace review;

constexpr int kCells = 6;
/// `windowUs` of the class here: the days at close range have "a shorter window for repeats" than the site's
/// 3 s.
constexpr double kWindow = 1.0;
/// "Every time limit is 50 ms longer."
constexpr double kBound = kWindow + 0.05;
constexpr double kHang = 2.0;
constexpr int kDeadlineMs = 3000;
constexpr std::size_t kBodyBytes = 30'000;
/// The segments of an ordinary network, and a receive buffer that is smaller than the body.
constexpr int kSegmentBytes = 1460;
constexpr int kNodeReceiveBuffer = 4 * 1024;

/// One write, as its chunk server sees it.
struct Write {
    double firstArrivedAt = 0;  ///< the last byte of the first attempt; 0: none yet
    double rememberedUntil = 0;
    int runs = 0;
    int repeatsDropped = 0;
    double lastArrivedAt = 0;  ///< the last byte of the last attempt
};

/// The chunk servers of one cell. They drop a repeat of a key for the window.
class Cell {
public:
    /// An attempt's last byte has arrived.
    /// \return whether it is the first one of its key
    bool onArrived(const std::string& key, const std::string& id) {
        const std::lock_guard<std::mutex> lock(mutex_);
        Write& write = writes_[key];
        const double at = now();
        write.lastArrivedAt = at;
        const bool isFirst = write.firstArrivedAt == 0;
        if (isFirst) write.firstArrivedAt = at;
        if (at < write.rememberedUntil) {
            ++write.repeatsDropped;
            record.line("node: %s (%s): a repeat within the window, dropped", id.c_str(), key.c_str());
            return isFirst;
        }
        ++write.runs;
        write.rememberedUntil = at + kWindow;
        record.line(
            "node: %s (%s): runs, for the %d. time; its last byte came %.3f s after that of the first "
            "attempt",
            id.c_str(), key.c_str(), write.runs, at - write.firstArrivedAt);
        return isFirst;
    }
    std::map<std::string, Write> writes() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return writes_;
    }
    /// The chunk server hangs: it reads nothing and says nothing.
    void hang() { hangsUntil_ = now() + kHang; }
    void waitWhileHanging() const {
        while (now() < hangsUntil_)
            sleepFor(0.005);
    }

private:
    std::mutex mutex_;
    std::map<std::string, Write> writes_;
    std::atomic<double> hangsUntil_{0};
};

void serveNode(const Socket& connection, Cell& cell, bool withTrouble) {
    Reader reader(connection);
    cell.waitWhileHanging();
    while (const auto head = reader.head()) {
        cell.waitWhileHanging();
        const std::string id = head->field("Req-Id");
        std::string body;
        if (!reader.body(*head, body)) return;
        if (id.empty()) {
            if (!connection.sendAll(answer(200, "queue=0"))) return;
            continue;
        }
        const bool isFirst = cell.onArrived(head->field("Idempotency-Key"), id);
        if (isFirst && withTrouble) {
            cell.hang();
            record.line("node: %s: its connection is reset; the chunk server hangs for %.1f s", id.c_str(),
                        kHang);
            const linger abort{1, 0};
            ::setsockopt(connection.get(), SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
            return;
        }
        if (!connection.sendAll(answer(200, id))) return;
    }
}

int write(std::uint16_t port, int cell, const std::string& id) {
    const auto socket = connectTo(port);
    if (!socket) return 0;
    Reader reader(*socket);
    if (!socket->sendAll(ClientRequest{id, "alta", cell, kDeadlineMs}.head(kBodyBytes) +
                         std::string(kBodyBytes, 'b')) ||
        !socket->isReadableWithin(kDeadlineMs / 1000.0 + 2))
        return 0;
    const auto head = reader.head();
    return head ? head->status() : 0;
}

std::string withShortWindow(std::string config) {
    const std::string window = R"("name":"alta","aimUs":400000,"deadlineUs":3000000,"windowUs":)";
    const std::size_t at = config.find(window);
    if (at == std::string::npos) couldNotRun("the configuration has no class alta");
    return config.replace(at + window.size(), 7, std::to_string(int(kWindow * 1e6)));
}

int runCase(const Arguments& arguments) {
    std::vector<Cell> cells(kCells);
    std::vector<Listening> listening;
    std::vector<Listed> servers;
    for (int i = 0; i < kCells; ++i) {
        const Listening& node = listening.emplace_back([](const Socket& socket) {
            socket.set(IPPROTO_TCP, TCP_MAXSEG, kSegmentBytes);
            socket.set(SOL_SOCKET, SO_RCVBUF, kNodeReceiveBuffer);
        });
        node.serve([&cell = cells[std::size_t(i)], trouble = arguments.withTrouble](
                       const Socket& connection) { serveNode(connection, cell, trouble); });
        servers.push_back({"s-5be2a0" + std::to_string(10 + i), node.port, i});
    }
    const Listening discovery;
    serveDiscovery(discovery, servers);
    const std::uint16_t port = freePort();
    const std::string config = arguments.writeFile(
        "config.json", withShortWindow(configuration(port, discovery.port, servers, kCells)));
    Front front(arguments.run, {"PROXY_CONFIG=" + config, "TMPDIR=" + arguments.temporary},
                arguments.temporary + "/front.log");
    if (!waitUntilOk(port, "/up", 30)) couldNotRun("the front does not answer /up");
    record.line("platform: the front is in use");
    std::vector<std::thread> clients;
    for (int i = 0; i < kCells; ++i)
        clients.emplace_back([port, i] {
            sleepFor(0.1 * i);
            const std::string id = freshId();
            const int status = write(port, i, id);
            record.line("client: %s is answered %d", id.c_str(), status);
        });
    for (std::thread& client : clients)
        client.join();
    sleepFor(kHang);  // what is still on its way to a chunk server arrives
    if (!front.isRunning()) couldNotRun("the front ended");
    int broken = 0;
    int arrived = 0;
    for (Cell& cell : cells)
        for (const auto& [key, write] : cell.writes()) {
            ++arrived;
            if (write.runs < 2 || write.lastArrivedAt - write.firstArrivedAt <= kBound) continue;
            ++broken;
            record.line("node: %s ran %d times, the last one %.3f s after the first attempt", key.c_str(),
                        write.runs, write.lastArrivedAt - write.firstArrivedAt);
        }
    if (arrived == 0) couldNotRun("no write reached a chunk server");
    record.line("platform: %d writes, %d of them ran twice", arrived, broken);
    return conclude(broken, "a write with a key is not repeated after the window of its key");
}

}  // namespace

int main(int count, char** values) {
    const int code = runCase(Arguments(count, values));
    std::fflush(nullptr);
    ::_exit(code);
}
