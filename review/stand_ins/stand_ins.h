/// \file
/// Small stand-ins for the cases of the review: the record of a run, HTTP over blocking sockets, a discovery
/// service, a client and the platform that starts and ends the front's processes. One thread a connection;
/// loopback only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/// Exit codes of a case's test.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

inline const Clock::time_point kStart = Clock::now();

/// Seconds since the start of the test.
inline double now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }

inline void sleepFor(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

/// Writes the lines of record.txt, each with the seconds since the start. Safe for several threads.
class Record {
public:
    void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard<std::mutex> lock(mutex_);
        if (file_ == nullptr) return;
        std::fprintf(file_, "%9.4f  %s\n", now(), text);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
};

inline Record record;

[[noreturn]] inline void couldNotRun(const std::string& why) {
    record.line("the case could not run: %s", why.c_str());
    std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
    std::exit(kCouldNotRun);
}

// ------------------------------------------------------------------------------------------------ sockets

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

/// A socket that is closed at the end of its scope.
class Socket {
public:
    Socket() = default;
    explicit Socket(int descriptor) : descriptor_(descriptor) {}
    Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
    Socket& operator=(Socket&& other) noexcept {
        close();
        descriptor_ = std::exchange(other.descriptor_, -1);
        return *this;
    }
    ~Socket() { close(); }

    int get() const { return descriptor_; }
    bool isOpen() const { return descriptor_ >= 0; }
    void close() {
        if (descriptor_ >= 0) ::close(descriptor_);
        descriptor_ = -1;
    }
    void set(int level, int option, int value) const {
        ::setsockopt(descriptor_, level, option, &value, sizeof value);
    }
    bool sendAll(std::string_view bytes) const {
        while (!bytes.empty()) {
            const auto count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count < 0 && errno == EINTR) continue;
            if (count <= 0) return false;
            bytes.remove_prefix(std::size_t(count));
        }
        return true;
    }
    /// Waits until there is something to read or the other side has closed.
    bool isReadableWithin(double seconds) const {
        pollfd wait{descriptor_, POLLIN, 0};
        return ::poll(&wait, 1, int(seconds * 1000)) > 0;
    }

private:
    int descriptor_ = -1;
};

inline Socket newSocket() { return Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)); }

inline std::optional<Socket> connectTo(std::uint16_t port) {
    Socket socket = newSocket();
    const sockaddr_in address = loopback(port);
    if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return {};
    socket.set(IPPROTO_TCP, TCP_NODELAY, 1);
    return socket;
}

/// A listening socket on a free port.
struct Listening {
    /// \param prepare sets options before the socket is bound
    explicit Listening(const std::function<void(const Socket&)>& prepare = {}) : socket(newSocket()) {
        if (prepare) prepare(socket);
        const sockaddr_in address = loopback(0);
        if (::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(socket.get(), 256) != 0)
            couldNotRun("no free port");
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        ::getsockname(socket.get(), reinterpret_cast<sockaddr*>(&bound), &size);
        port = ntohs(bound.sin_port);
    }
    /// Serves each connection in a thread of its own, for the rest of the test.
    void serve(const std::function<void(Socket)>& onConnection) const {
        std::thread([descriptor = socket.get(), onConnection] {
            for (;;) {
                Socket accepted(::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC));
                if (!accepted.isOpen()) return;
                accepted.set(IPPROTO_TCP, TCP_NODELAY, 1);
                std::thread([onConnection](Socket connection) { onConnection(std::move(connection)); },
                            std::move(accepted))
                    .detach();
            }
        }).detach();
    }

    Socket socket;
    std::uint16_t port = 0;
};

/// A port that is free, for a process that binds it itself. It is below the system's ephemeral ports, so that
/// no connection takes it meanwhile.
inline std::uint16_t freePort() {
    constexpr int kFirst = 20'000;
    constexpr int kCount = 12'000;
    static int next = ::getpid() * 61 % kCount;
    for (int tries = 0; tries < kCount; ++tries) {
        const auto port = std::uint16_t(kFirst + next++ % kCount);
        const Socket socket = newSocket();
        const sockaddr_in address = loopback(port);
        if (::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
            return port;
    }
    couldNotRun("no free port");
}

// --------------------------------------------------------------------------------------------------- HTTP

/// The head of a message, as it was received.
struct Head {
    std::string text;

    std::string firstLine() const { return text.substr(0, text.find("\r\n")); }
    std::string field(std::string_view name) const {
        for (std::size_t at = text.find("\r\n"); at != std::string::npos; at = text.find("\r\n", at + 2)) {
            const std::size_t begin = at + 2;
            const std::size_t colon = text.find(':', begin);
            if (colon == std::string::npos) break;
            if (colon - begin != name.size() ||
                ::strncasecmp(text.data() + begin, name.data(), name.size()) != 0)
                continue;
            const std::size_t end = text.find("\r\n", colon);
            const std::size_t value = text.find_first_not_of(" \t", colon + 1);
            return value < end ? text.substr(value, end - value) : "";
        }
        return "";
    }
    /// The number after `name=` in the first line; -1 if there is none.
    long queryNumber(const std::string& name) const {
        const std::string line = firstLine();
        const std::size_t at = line.find(name + "=");
        return at == std::string::npos ? -1 : std::atol(line.c_str() + at + name.size() + 1);
    }
    int status() const { return text.size() < 12 ? 0 : std::atoi(text.c_str() + 9); }
};

/// Reads messages from one connection.
class Reader {
public:
    explicit Reader(const Socket& socket) : socket_(socket) {}

    /// The next head; nothing if the connection ended first.
    std::optional<Head> head() {
        std::size_t end = 0;
        while ((end = bytes_.find("\r\n\r\n")) == std::string::npos)
            if (!fill()) return {};
        Head head{bytes_.substr(0, end + 2)};
        bytes_.erase(0, end + 4);
        return head;
    }
    /// Appends `count` bytes to `body`, or what there is; false if the connection ended first.
    bool exactly(std::size_t count, std::string& body) {
        bool complete = true;
        while (bytes_.size() < count && complete)
            complete = fill();
        body.append(bytes_, 0, count);
        bytes_.erase(0, count);
        return complete;
    }
    /// The whole body that the head announces, by its length or in chunks; false if it is not whole.
    bool body(const Head& head, std::string& body) {
        if (head.field("Transfer-Encoding") == "chunked") return chunks(body);
        const std::string length = head.field("Content-Length");
        return length.empty() || exactly(std::size_t(std::atol(length.c_str())), body);
    }

private:
    bool chunks(std::string& body) {
        for (;;) {
            std::size_t end = 0;
            while ((end = bytes_.find("\r\n")) == std::string::npos)
                if (!fill()) return false;
            const auto size = std::size_t(std::strtoul(bytes_.c_str(), nullptr, 16));
            bytes_.erase(0, end + 2);
            std::string lineEnd;
            if (!exactly(size, body) || !exactly(2, lineEnd)) return false;
            if (size == 0) return true;
        }
    }
    bool fill() {
        char piece[65536];
        for (;;) {
            const auto count = ::recv(socket_.get(), piece, sizeof piece, 0);
            if (count < 0 && errno == EINTR) continue;
            if (count <= 0) return false;
            bytes_.append(piece, std::size_t(count));
            return true;
        }
    }

    const Socket& socket_;
    std::string bytes_;
};

inline std::string answer(int status, const std::string& body, const std::string& fields = "") {
    const char* const reason = status == 200 ? "OK" : status == 404 ? "Not Found" : "Error";
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// One request of a client, in the form of the protocol page.
struct ClientRequest {
    std::string id;
    std::string kind = "lectura";
    int shard = 0;
    int deadlineMs = 1500;
    int units = 2;
    std::string plan = "prioritario";
    std::string volume = "00000003b4d60021";

    /// The head; a PUT of `bodyBytes` bytes, or a GET.
    std::string head(std::optional<std::size_t> bodyBytes = {}) const {
        std::string text = bodyBytes ? "PUT" : "GET";
        text += " /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind +
                "\r\nTier: " + plan +
                "\r\nCookie: key=7f3a9c21e0b4d655\r\nReq-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
        if (kind == "alta") text += "Idempotency-Key: k" + id + "\r\n";
        if (bodyBytes) text += "Content-Length: " + std::to_string(*bodyBytes) + "\r\n";
        return text + "IO-Info: volume=" + volume + ",units=" + std::to_string(units) +
               ",shard=" + std::to_string(shard) + ",hosts=1\r\n\r\n";
    }
};

/// A fresh request id.
inline std::string freshId() {
    static std::atomic<std::uint64_t> next{std::uint64_t(::getpid()) << 32U};
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++next));
    return text;
}

// ---------------------------------------------------------------------------------------------- discovery

/// A chunk server as discovery lists it.
struct Listed {
    std::string id;
    std::uint16_t port = 0;
    int cell = 0;
};

inline std::string listOf(const std::vector<Listed>& servers, bool whole) {
    std::string text =
        "{\"generation\":41,\"reset\":" + std::string(whole ? "true" : "false") + ",\"instances\":[";
    for (std::size_t i = 0; i < servers.size(); ++i)
        text += std::string(i > 0 ? "," : "") + "{\"instanceId\":\"" + servers[i].id +
                "\",\"hostPort\":\"127.0.0.1:" + std::to_string(servers[i].port) +
                "\",\"zone\":\"barracas\",\"machineType\":\"nodo-comun\",\"cell\":" +
                std::to_string(servers[i].cell) + ",\"lifecycle\":\"up\",\"weight\":1.0,\"startedAtMs\":0}";
    return text + "]}";
}

/// A discovery service whose list does not change: a watch waits to its end and has no entries.
inline void serveDiscovery(const Listening& listening, const std::vector<Listed>& servers) {
    listening.serve([servers](const Socket& connection) {
        Reader reader(connection);
        while (const auto head = reader.head()) {
            const bool whole = head->queryNumber("after") < 0;
            if (!whole) sleepFor(double(std::max(0L, head->queryNumber("wait_ms"))) / 1000);
            if (!connection.sendAll(answer(200, whole ? listOf(servers, true) : listOf({}, false)))) return;
        }
    });
}

// --------------------------------------------------------------------------------------------- the platform

/// The configuration of the one front of a small deployment, with the classes of `casa-central-bsas`.
inline std::string configuration(std::uint16_t listen, std::uint16_t discovery,
                                 const std::vector<Listed>& servers, int cells) {
    std::string writes = "false,true,false";
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + std::to_string(listen) +
           "\",\"discovery\":\"127.0.0.1:" + std::to_string(discovery) +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peers":[],"known":)" +
           listOf(servers, true) +
           R"(,"settings":{"me":0,"replicasOfMe":1,"registryMode":"on_request","roundUs":2000,"zone":"barracas",
"allowed":{"cancel":true,"connIdleUs":30000000,"connectTimeoutUs":250000,"maxRetryAfterUs":500000,"mayProbe":true,
 "peers":false,"retryAfter":true,"secondCopies":true,"tryLimit":3},
"classes":[
 {"name":"lectura","aimUs":300000,"deadlineUs":1500000,"windowUs":5000000,"value":2.0,"lateWorth":0.1,
  "effect":"idempotent","keyScope":"all"},
 {"name":"alta","aimUs":400000,"deadlineUs":3000000,"windowUs":3000000,"value":2.0,"lateWorth":0.15,
  "effect":"deduplicated","keyScope":"cell"},
 {"name":"exportacion","aimUs":1500000,"deadlineUs":5000000,"windowUs":5000000,"value":1.0,"lateWorth":0.2,
  "effect":"idempotent","keyScope":"all"}],
"extra":{"changesData":[)" +
           writes +
           R"(],"coldBears":51.0,"maxUnits":6,"meanUnits":2.06,"meterUs":1000000,"saysOthers":true,"shards":)" +
           std::to_string(cells) + R"(,"spareWorth":0.05,"withinShare":0.3},
"obligations":{"answerSlackUs":8000,"askEveryUs":10000000,"drainGraceUs":1000000,"fallMultiple":2.5,"fallUs":3000000,
 "startCapacity":0.28,"warmAfterUs":15000000},
"report":{"columns":["depth"],"how":"answers"},
"serviceLevels":[
 {"name":"basico","baseRate":4.1,"guaranteed":2.0,"limit":33.0,"limitBurst":53.0,"limitSlack":6.0,"shares":1.0,
  "valueFactor":0.96},
 {"name":"prioritario","baseRate":8.2,"guaranteed":8.2,"limit":0.0,"limitBurst":0.0,"limitSlack":0.0,"shares":2.0,
  "valueFactor":0.9}]}})";
}

/// A process that runs `run` of the deploy file. It is killed at the end of the scope.
class Front {
public:
    /// \param run the command; \param variables of the environment, each "NAME=VALUE"
    /// \param inherited a socket that the process gets as descriptor 7; -1: none
    Front(const std::string& run, std::vector<std::string> variables, const std::string& log,
          int inherited = -1) {
        for (char** entry = environ; *entry != nullptr; ++entry)
            if (std::string_view(*entry).substr(0, 6) != "PROXY_" &&
                std::string_view(*entry).substr(0, 10) != "WINGPROXY_" &&
                std::string_view(*entry).substr(0, 7) != "TMPDIR=")
                variables.emplace_back(*entry);
        std::vector<char*> environment;
        for (auto& variable : variables)
            environment.push_back(variable.data());
        environment.push_back(nullptr);
        const int output = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0600);
        const pid_t parent = ::getpid();
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) ::_exit(127);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            if (inherited == 7)
                ::fcntl(7, F_SETFD, 0);  // dup2 would leave it closed on exec
            else if (inherited >= 0)
                ::dup2(inherited, 7);
            ::execle("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr), environment.data());
            ::_exit(127);
        }
        ::close(output);
    }
    ~Front() {
        if (!isRunning()) return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

    void signal(int number) const { ::kill(pid_, number); }
    bool isRunning() {
        if (!ended_ && ::waitpid(pid_, &status_, WNOHANG) == pid_) ended_ = true;
        return !ended_;
    }
    pid_t pid() const { return pid_; }

private:
    pid_t pid_ = -1;
    int status_ = 0;
    bool ended_ = false;
};

/// What run.sh hands over: FOLDER-OF-THE-CASE TEMPORARY-FOLDER RUN-COMMAND, and TROUBLE in the environment.
struct Arguments {
    Arguments(int count, char** values) {
        if (count != 4) {
            std::fprintf(stderr, "usage: %s CASE-FOLDER TEMPORARY-FOLDER RUN-COMMAND\n", values[0]);
            std::exit(kCouldNotRun);
        }
        folder = values[1];
        temporary = values[2];
        run = values[3];
        const char* const trouble = std::getenv("TROUBLE");
        withTrouble = trouble == nullptr || std::string_view(trouble) != "0";
        record.open(folder + "/record.txt");
        record.line("%s", withTrouble ? "with the disruption" : "TROUBLE=0: without the disruption");
    }
    std::string writeFile(const std::string& name, const std::string& text) const {
        const std::string path = temporary + "/" + name;
        std::ofstream(path) << text;
        return path;
    }

    std::string folder;
    std::string temporary;
    std::string run;
    bool withTrouble = true;
};

/// Waits until a front answers `GET path` at the port with 200.
inline bool waitUntilOk(std::uint16_t port, const std::string& path, double seconds) {
    const double until = now() + seconds;
    while (now() < until) {
        if (const auto socket = connectTo(port)) {
            Reader reader(*socket);
            if (socket->sendAll("GET " + path + " HTTP/1.1\r\nHost: front\r\n\r\n") &&
                socket->isReadableWithin(1)) {
                const auto head = reader.head();
                if (head && head->status() == 200) return true;
            }
        }
        sleepFor(0.02);
    }
    return false;
}

/// Logs the verdict and ends the test. The processes that it started end with it.
inline int conclude(int broken, const char* rule) {
    record.line("%s: %s", broken > 0 ? "BROKEN" : "held", rule);
    std::printf("%s: %s (%d)\n", broken > 0 ? "broken" : "held", rule, broken);
    return broken > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace review
