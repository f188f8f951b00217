/// \file
/// Discovery is slow: it writes its answers in pieces, with pauses of 0.3 s.
#include "../stand_ins_2/stand_ins.h"

namespace {

using namespace review;

constexpr int kCells = 4;
constexpr double kPause = 0.3;     // seconds between two pieces of an answer
constexpr int kPieces = 3;
constexpr double kToldWithin = 6;  // "counts as told 6 s later at the latest"
constexpr double kGrace = 1.0;     // `drainGraceUs`
constexpr double kSlack = 0.05;    // "every time limit is 50 ms longer"
constexpr double kWatchFor = 15;   // seconds after the drains

struct Book {
    std::mutex mutex;
    std::map<std::string, std::vector<double>> arrivals;  ///< by chunk server
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
                sleepFor(0.03);
                return connection.write(response(200, request.field("req-id"), "Srv-Load: queue=0\r\n"));
            }));
        discovery.set(*servers.back(), "up", startedAtMs);
    };
    for (int cell = 0; cell < kCells; ++cell) add(text("s-old-%d", cell), cell, 0);
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
    std::atomic<int> served = 0, notServed = 0;
    std::vector<std::thread> clients;
    for (int cell = 0; cell < kCells; ++cell)
        clients.emplace_back([&, cell] {
            Client client(options.listenPort);
            for (int i = 0; !stopping; ++i) {
                Request request;
                request.id = freshId();
                request.shard = cell;
                request.units = 1;
                request.volume = text("%08x%08x", 0xb4d6u + unsigned(cell), unsigned(i % 8));
                const Answer answer = client.ask(request);
                ++(answer.status == 200 ? served : notServed);
                script.record.line("client: %s for cell %d: %s", request.id.c_str(), cell, answer.what().c_str());
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
    stopping = true;
    for (auto& client : clients) client.join();

    int late = 0;
    for (const auto& [id, at] : madeAt) {
        int count = 0;
        double last = 0;
        const std::lock_guard lock(book.mutex);
        for (const double arrival : book.arrivals[id])
            if (arrival > at + kToldWithin + kGrace + kSlack) ++count, last = arrival;
        late += count;
        script.record.line("sum: %s, draining since %.2f: %d requests after the grace, the last at %.2f", id.c_str(), at,
                           count, last);
    }
    const std::string sum = text("%d requests served, %d not; %d sent to draining chunk servers later than 7.05 s after "
                                 "the change; %d calls to discovery",
                                 served.load(), notServed.load(), late, discovery.calls());
    if (!front.isRunning()) return script.end(Verdict::Broken, "the front ended; " + sum);
    if (late > 0) return script.end(Verdict::Broken, sum);
    return script.end(served < 50 ? Verdict::CouldNotRun : Verdict::Held, sum);
}

}  // namespace

int main(int argc, char** argv) {
    Script script(argc, argv);
    return run(script);
}
