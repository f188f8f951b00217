/// \file
/// Case 3: a chunk server writes a long answer slowly, in chunks. Does the client get it whole?
#include "stand_ins.h"

namespace {

using namespace review;

constexpr int kRequests = 4;   // of each kind, at the same time
constexpr double kBound = 20;  // seconds that a client waits at most for the rest of an answer that has begun
constexpr double kFirstByte = 0.02;

/// How a chunk server writes an answer.
struct Pace {
    const char* name;
    const char* kind;  ///< class of the requests
    int deadlineMs;
    int cell;
    std::size_t pieceBytes;
    int pieces;
    double pause;  ///< seconds between two pieces
    bool inChunks;
};

/// Over 64 KiB each, and whole within about 5 s of the first byte.
constexpr Pace kPaces[] = {
    {"in chunks of 1 KiB, one each 40 ms", "lectura", 1500, 0, 1024, 120, 0.04, true},
    {"in chunks of 16 KiB, one each 0.5 s", "exportacion", 5000, 1, std::size_t{16} * 1024, 8, 0.5, true},
    {"with a Content-Length, 16 KiB each 0.5 s (to compare)", "exportacion", 5000, 2, std::size_t{16} * 1024,
     8, 0.5, false},
};

std::string pieceOf(const std::string& id, int number, std::size_t bytes) {
    std::string text = id + ":" + std::to_string(number) + ":";
    return text + std::string(bytes - text.size(), 'a');
}

std::string wholeAnswer(const std::string& id, const Pace& pace) {
    std::string whole;
    for (int i = 0; i < pace.pieces; ++i)
        whole += pieceOf(id, i, pace.pieceBytes);
    return whole;
}

std::string chunkOf(const std::string& piece) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    return size + piece + "\r\n";
}

/// The requests whose answer the front cut off at the chunk server, as often as it did.
class CutOff {
public:
    void add(const std::string& id) {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++times_[id];
        ++sum_;
    }
    int times(const std::string& id) {
        const std::lock_guard<std::mutex> lock(mutex_);
        return times_[id];
    }
    int sum() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return sum_;
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> times_;
    int sum_ = 0;
};

CutOff cutOff;

/// Writes one answer; false if the front ended the connection first.
bool writeAnswer(const Socket& connection, const std::string& id, const Pace& pace, bool slowly) {
    const std::size_t length = pace.pieceBytes * std::size_t(pace.pieces);
    const std::string framing = pace.inChunks ? "Transfer-Encoding: chunked\r\n"
                                              : "Content-Length: " + std::to_string(length) + "\r\n";
    sleepFor(kFirstByte);
    bool open = connection.sendAll("HTTP/1.1 200 OK\r\n" + framing + "\r\n");
    for (int i = 0; i < pace.pieces && open; ++i) {
        const std::string piece = pieceOf(id, i, pace.pieceBytes);
        open = connection.sendAll(pace.inChunks ? chunkOf(piece) : piece);
        // Between two pieces the front has nothing to say: what is readable is the end of the connection.
        if (slowly && open && connection.isReadableWithin(pace.pause)) open = false;
        if (!open)
            record.line("node: %s: cut off by the front after piece %d of %d", id.c_str(), i + 1,
                        pace.pieces);
    }
    if (open && pace.inChunks) open = connection.sendAll("0\r\n\r\n");
    return open;
}

void serveNode(const Socket& connection, const Pace& pace, bool slowly) {
    Reader reader(connection);
    while (const auto head = reader.head()) {
        const std::string id = head->field("Req-Id");
        if (id.empty()) {
            if (!connection.sendAll(answer(200, "queue=0"))) return;
            continue;
        }
        record.line("node: runs %s, first byte in %.0f ms, answer %s", id.c_str(), kFirstByte * 1000,
                    pace.name);
        if (!writeAnswer(connection, id, pace, slowly)) {
            cutOff.add(id);
            return;
        }
        record.line("node: %s: the answer is written whole", id.c_str());
    }
}

struct Download {
    const Pace* pace;
    std::string id = freshId();
    bool isWhole = false;
    int status = 0;
    std::size_t bytes = 0;
    double seconds = 0;
};

void download(std::uint16_t port, Download& result) {
    const auto socket = connectTo(port);
    if (!socket) return;
    const timeval limit{int(kBound), 0};
    ::setsockopt(socket->get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const double sentAt = now();
    socket->sendAll(
        ClientRequest{result.id, result.pace->kind, result.pace->cell, result.pace->deadlineMs}.head());
    Reader reader(*socket);
    const auto head = reader.head();
    std::string body;
    const bool complete = head && reader.body(*head, body);
    result.seconds = now() - sentAt;
    result.status = head ? head->status() : 0;
    result.bytes = body.size();
    result.isWhole = complete && result.status == 200 && body == wholeAnswer(result.id, *result.pace);
}

int runCase(const Arguments& arguments) {
    std::vector<Listening> listening;
    std::vector<Listed> servers;
    for (const Pace& pace : kPaces) {
        const Listening& node = listening.emplace_back();
        node.serve([&pace, slowly = arguments.withTrouble](const Socket& connection) {
            serveNode(connection, pace, slowly);
        });
        servers.push_back({"s-5be2a0" + std::to_string(10 + pace.cell), node.port, pace.cell});
    }
    const Listening discovery;
    serveDiscovery(discovery, servers);
    const std::uint16_t port = freePort();
    const std::string config =
        arguments.writeFile("config.json", configuration(port, discovery.port, servers, int(servers.size())));
    Front front(arguments.run, {"PROXY_CONFIG=" + config, "TMPDIR=" + arguments.temporary},
                arguments.temporary + "/front.log");
    if (!waitUntilOk(port, "/up", 30)) couldNotRun("the front does not answer /up");
    record.line("platform: the front is in use");

    std::vector<Download> downloads;
    for (int i = 0; i < kRequests; ++i)
        for (const Pace& pace : kPaces)
            downloads.push_back({&pace});
    std::vector<std::thread> clients;
    for (Download& each : downloads) {
        clients.emplace_back([&each, port] { download(port, each); });
        sleepFor(0.1);
    }
    for (std::thread& client : clients)
        client.join();
    int lost = 0;
    int whole = 0;
    for (const Download& each : downloads) {
        // A request that is refused or failed before any answer to it began is not judged.
        const int timesCutOff = cutOff.times(each.id);
        const bool isLost = !each.isWhole && timesCutOff > 0;
        lost += isLost ? 1 : 0;
        whole += each.isWhole ? 1 : 0;
        record.line(
            "client: %s: %s, cut off %d times at the chunk server, status %d, %zu bytes of %zu after %.2f s; "
            "answer %s",
            each.id.c_str(),
            isLost         ? "LOST"
            : each.isWhole ? "whole"
                           : "not served",
            timesCutOff, each.status, each.bytes, each.pace->pieceBytes * std::size_t(each.pace->pieces),
            each.seconds, each.pace->name);
    }
    if (lost + whole == 0) couldNotRun("no answer began");
    if (!front.isRunning()) couldNotRun("the front ended");
    record.line("platform: %zu requests, %d lost; %d answers cut off at the chunk servers", downloads.size(),
                lost, cutOff.sum());
    return conclude(lost, "what the chunk server still gives of a long answer is not cut off");
}

}  // namespace

int main(int count, char** values) {
    const int code = runCase(Arguments(count, values));
    std::fflush(nullptr);
    ::_exit(code);
}
