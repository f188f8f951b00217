/// \file
/// Case 2: clients write long bodies whole while the chunk server hangs in the middle of one. Is each such
/// request answered in time?
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "stand_ins.h"

namespace {

using namespace review;

constexpr int kDeadlineMs = 3000;
/// "Up to half a second after its time", and "every time limit is 50 ms longer".
constexpr double kBound = kDeadlineMs / 1000.0 + 0.5 + 0.05;
/// How long a client waits beyond that, only to see whether an answer comes at all.
constexpr double kWatchedFor = 15;
/// The segment size of an ordinary network. On loopback's own segments the buffers on the way hold megabytes.
constexpr int kSegmentBytes = 1460;
constexpr int kNodeReceiveBuffer = 16 * 1024;
constexpr int kClientSendBuffer = 4 * 1024;
constexpr int kBytesBeforeHang = 8 * 1024;
/// Sizes of the bodies. Of some of them the last bytes wait on the front's machine when the chunk server
/// hangs; which ones depends on the system's buffers, so that the sizes lie close where that is usual.
struct Sizes {
    std::size_t first;
    std::size_t last;
    std::size_t step;
};
constexpr Sizes kSizes[] = {{128'000, 420'000, 4'000}, {440'000, 1'000'000, 20'000}};

constexpr double kBetweenClients = 0.003;

/// Whether the chunk server hangs: it reads nothing more and says nothing, on any connection.
std::atomic<bool> isHanging{false};

void hangIfHanging() {
    while (isHanging)
        sleepFor(1);
}

/// A chunk server: reads a request, works 20 ms and answers. With the disruption it hangs in the middle of
/// the first long body.
void serveNode(const Socket& connection, bool hangs) {
    Reader reader(connection);
    hangIfHanging();
    while (const auto head = reader.head()) {
        hangIfHanging();
        const std::string id = head->field("Req-Id");
        const std::string length = head->field("Content-Length");
        if (!id.empty())
            record.line("node: head of %s, body of %s bytes, Req-Deadline-Ms %s", id.c_str(), length.c_str(),
                        head->field("Req-Deadline-Ms").c_str());
        std::string body;
        if (hangs && !id.empty()) {
            reader.exactly(kBytesBeforeHang, body);
            if (!isHanging.exchange(true))
                record.line("node: hangs in the middle of %s, for the rest of the test", id.c_str());
            hangIfHanging();
        }
        if (!reader.body(*head, body)) {
            if (!id.empty()) record.line("node: %s ended after %zu bytes", id.c_str(), body.size());
            return;
        }
        sleepFor(0.02);
        if (!id.empty()) record.line("node: ran %s and answers", id.c_str());
        if (!connection.sendAll(answer(200, id.empty() ? "queue=0" : id))) return;
    }
}

struct Upload {
    explicit Upload(std::size_t bodyBytes) : bytes(bodyBytes) {}

    std::size_t bytes;
    std::string id = freshId();
    std::optional<double> takenAt;     ///< the front's machine has acknowledged the last byte
    std::optional<double> answeredAt;  ///< the last byte of the answer
    int status = 0;
    bool closed = false;
};

void send(std::uint16_t port, Upload& upload) {
    Socket socket = newSocket();
    socket.set(IPPROTO_TCP, TCP_MAXSEG, kSegmentBytes);
    socket.set(SOL_SOCKET, SO_SNDBUF, kClientSendBuffer);
    const sockaddr_in address = loopback(port);
    if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return;
    socket.set(IPPROTO_TCP, TCP_NODELAY, 1);
    const ClientRequest request{upload.id, "alta", 0, kDeadlineMs};
    const std::string bytes = request.head(upload.bytes) + std::string(upload.bytes, 'b');
    ::fcntl(socket.get(), F_SETFL, ::fcntl(socket.get(), F_GETFL) | O_NONBLOCK);
    std::size_t written = 0;
    std::string received;
    const double giveUpAt = now() + kBound + kWatchedFor;
    while (now() < giveUpAt && !upload.answeredAt && !upload.closed) {
        pollfd wait{socket.get(), short(POLLIN | (written < bytes.size() ? POLLOUT : 0)), 0};
        ::poll(&wait, 1, 5);
        if (written < bytes.size()) {
            const auto count =
                ::send(socket.get(), bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
            if (count > 0) written += std::size_t(count);
        }
        int unacknowledged = 0;
        if (!upload.takenAt && written == bytes.size() &&
            ::ioctl(socket.get(), SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0) {
            upload.takenAt = now();
            record.line("client: %s taken: its last byte is on the front's machine (%zu bytes)",
                        upload.id.c_str(), upload.bytes);
        }
        if ((wait.revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
        char piece[4096];
        const auto count = ::recv(socket.get(), piece, sizeof piece, 0);
        if (count > 0) received.append(piece, std::size_t(count));
        if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) upload.closed = true;
        const std::size_t end = received.find("\r\n\r\n");
        if (end == std::string::npos) continue;
        const Head head{received.substr(0, end + 2)};
        if (received.size() < end + 4 + std::size_t(std::atol(head.field("Content-Length").c_str())))
            continue;
        upload.status = head.status();
        upload.answeredAt = now();
    }
}

/// Whether the rule is broken for one upload.
bool isLost(const Upload& upload) {
    if (!upload.takenAt && upload.answeredAt) {
        record.line("client: %s (%zu bytes): %d before the test saw it taken", upload.id.c_str(),
                    upload.bytes, upload.status);
        return false;
    }
    if (!upload.takenAt) {
        record.line("client: %s (%zu bytes): not taken, its last byte never left the client; not judged",
                    upload.id.c_str(), upload.bytes);
        return false;
    }
    if (!upload.answeredAt) {
        record.line("client: %s (%zu bytes): LOST, no answer within %.2f s of its last byte%s",
                    upload.id.c_str(), upload.bytes, kBound + kWatchedFor,
                    upload.closed ? ", the connection was closed" : "");
        return true;
    }
    const double after = *upload.answeredAt - *upload.takenAt;
    const bool late = after > kBound;
    record.line("client: %s (%zu bytes): %s%d after %.3f s", upload.id.c_str(), upload.bytes,
                late ? "LOST, " : "", upload.status, after);
    return late;
}

int runCase(const Arguments& arguments) {
    const Listening node([](const Socket& socket) {
        socket.set(IPPROTO_TCP, TCP_MAXSEG, kSegmentBytes);
        socket.set(SOL_SOCKET, SO_RCVBUF, kNodeReceiveBuffer);
    });
    node.serve([hangs = arguments.withTrouble](const Socket& connection) { serveNode(connection, hangs); });
    const std::vector<Listed> servers{{"s-5be2a07c", node.port, 0}};
    const Listening discovery;
    serveDiscovery(discovery, servers);
    const std::uint16_t port = freePort();
    const std::string config =
        arguments.writeFile("config.json", configuration(port, discovery.port, servers, 1));
    Front front(arguments.run, {"PROXY_CONFIG=" + config, "TMPDIR=" + arguments.temporary},
                arguments.temporary + "/front.log");
    if (!waitUntilOk(port, "/up", 30)) couldNotRun("the front does not answer /up");
    record.line("platform: the front is in use");

    std::vector<Upload> uploads;
    for (const Sizes& sizes : kSizes)
        for (std::size_t bytes = sizes.first; bytes <= sizes.last; bytes += sizes.step)
            uploads.emplace_back(bytes);
    // The longest first: a body that the front has read whole holds a place at the chunk server, and the
    // front refuses what finds no place there.
    std::vector<std::thread> clients;
    for (auto each = uploads.rbegin(); each != uploads.rend(); ++each) {
        clients.emplace_back([&upload = *each, port] { send(port, upload); });
        sleepFor(kBetweenClients);
    }
    for (std::thread& client : clients)
        client.join();
    int lost = 0;
    int taken = 0;
    for (const Upload& each : uploads) {
        lost += isLost(each) ? 1 : 0;
        taken += each.takenAt ? 1 : 0;
    }
    if (!front.isRunning()) couldNotRun("the front ended");
    if (taken == 0) couldNotRun("no request was taken");
    record.line("platform: %d of %zu requests were taken, %d lost", taken, uploads.size(), lost);
    return conclude(lost, "a request that was taken has its final answer half a second after its time");
}

}  // namespace

int main(int count, char** values) {
    const int code = runCase(Arguments(count, values));
    std::fflush(nullptr);
    ::_exit(code);
}
