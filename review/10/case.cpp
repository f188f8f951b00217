/// \file
/// Discovery is slow: it writes its answers in pieces, with pauses of 0.3 s.
#include "../stand_ins_2/stand_ins.h"

namespace {

using namespace review;

constexpr int kCells = 4;
constexpr double kPause = 0.3;  // seconds between two pieces of an answer
constexpr int kPieces = 3;
constexpr double kToldWithin = 6;  // "counts as told 6 s later at the latest"
constexpr double kGrace = 1.0;     // `drainGraceUs`
constexpr double kSlack = 0.05;    // "every time limit is 50 ms longer"
constexpr int kClientsOfCell = 4;
constexpr double kWatchFor = 12;  // seconds from the drains to the end of the draining chunk servers

struct Book {
    std::mutex mutex;
    std::map<std::string, std::vector<double>> arrivals;  ///< by chunk server
    int cutOff = 0;  ///< requests whose chunk server ended while they ran
};

bool writeSlowly(Connection& connection, const std::string& bytes) {
    const std::size_t piece = bytes.size() / kPieces + 1;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        if (at > 0) sleepFor(kPause);
        if (connection.isClosedByPeer() || !connection.write(bytes.substr(at, piece))) return false;
    }
    return true;
}

int run(Script& script) {
    Book book;
    Discovery discovery(script.record);
    std::vector<std::unique_ptr<ChunkServer>> servers;
    const auto add = [&](const std::string& id, int cell, std::int64_t startedAtMs) {
        servers.push_back(std::make_unique<ChunkServer>(
            id, cell, [&](ChunkServer& server, Connection& connection, const Message& request) {
                {
                    const std::lock_guard lock(book.mutex);
                    book.arrivals[server.id].push_back(now());
                }
                script.record.line("%s: runs %s", server.id.c_str(), request.field("req-id").c_str());
                sleepFor(0.05);
                if (server.isDead()) {
                    const std::lock_guard lock(book.mutex);
                    ++book.cutOff;
                    script.record.line("%s: ended while %s ran", server.id.c_str(),
                                       request.field("req-id").c_str());
                    return false;
                }
                return connection.write(response(200, request.field("req-id"), "Srv-Load: queue=0\r\n"));
            }));
        discovery.set(*servers.back(), "up", startedAtMs);
    };
    for (int cell = 0; cell < kCells; ++cell)
        add(text("s-old-%d", cell), cell, 0);
    if (troubled()) discovery.setWrite(writeSlowly);
    Front::Options options;
    options.listenPort = freePort();
    options.discovery = discovery.address();
    options.known = discovery.wholeList();
    options.deployment.cells = kCells;
    options.folder = script.folder("n0");
    options.logPath = script.temporary + "/n0.log";
    Front front(script.root, options);
    if (!front.waitUntilUp(10)) return script.end(Verdict::CouldNotRun, "the front did not come up");

    std::atomic<bool> stopping = false;
    std::atomic<int> served = 0, notServed = 0, notServedAfterEnd = 0;
    std::atomic<double> endedAt = 1e9;  // when the draining chunk servers ended
    std::vector<std::thread> clients;
    for (int number = 0; number < kCells * kClientsOfCell; ++number)
        clients.emplace_back([&, cell = number % kCells, number] {
            Client client(options.listenPort);
            for (int i = 0; !stopping; ++i) {
                Request request;
                request.id = freshId();
                request.shard = cell;
                request.units = 1;
                if (number < kCells) {
                    request.kind = "alta";
                    request.deadlineMs = 3000;
                    request.body = "a new version";
                }
                request.volume = text("%08x%08x", 0xb4d6u + unsigned(cell), unsigned(i % 8));
                const Answer answer = client.ask(request);
                ++(answer.status == 200 ? served : notServed);
                if (answer.status != 200 && answer.sentAt > endedAt && cell < 2) ++notServedAfterEnd;
                script.record.line("client: %s for cell %d: %s", request.id.c_str(), cell,
                                   answer.what().c_str());
                sleepFor(0.1);
            }
        });
    sleepFor(4);
    // A deploy: cells 0 and 1 get new chunk servers, the old ones drain and stay up.
    std::map<std::string, double> madeAt;
    for (int cell = 0; cell < 2; ++cell) {
        add(text("s-new-%d", cell), cell, wallMs());
        discovery.set(*servers[std::size_t(cell)], "draining");
        madeAt[servers[std::size_t(cell)]->id] = now();
    }
    sleepFor(kWatchFor);
    // The draining chunk servers have had their time, and end; their successors are up all the while.
    for (int cell = 0; cell < 2; ++cell) {
        discovery.set(*servers[std::size_t(cell)], "removed");
        servers[std::size_t(cell)]->die();
    }
    endedAt = now();
    script.record.line("platform: the draining chunk servers have ended");
    sleepFor(4);
    stopping = true;
    for (auto& client : clients)
        client.join();

    int late = 0;
    for (const auto& [id, at] : madeAt) {
        int count = 0;
        double last = 0;
        const std::lock_guard lock(book.mutex);
        for (const double arrival : book.arrivals[id])
            if (arrival > at + kToldWithin + kGrace + kSlack) ++count, last = arrival;
        late += count;
        script.record.line("sum: %s, draining since %.2f: %d requests after the grace, the last at %.2f",
                           id.c_str(), at, count, last);
    }
    const std::string sum = text(
        "%d requests served, %d not; %d sent to draining chunk servers later than 7.05 s after the change; "
        "%d of them "
        "cut off when those ended, and %d not served after that, though the successors were up",
        served.load(), notServed.load(), late, book.cutOff, notServedAfterEnd.load());
    if (!front.isRunning()) return script.end(Verdict::Broken, "the front ended; " + sum);
    if (late > 0) return script.end(Verdict::Broken, sum);
    return script.end(served < 50 ? Verdict::CouldNotRun : Verdict::Held, sum);
}

}  // namespace

int main(int argc, char** argv) {
    Script script(argc, argv);
    return run(script);
}
