/// \file
/// Stand-ins for the scripts of this review: chunk servers, discovery, clients and the platform that starts
/// the fronts. Each connection has a thread of its own with blocking calls, so that a stand-in reads like the
/// sentence of the page that it follows. All addresses are on 127.0.0.1, all ports are free ones.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

// ---------------------------------------------------------------------------------------------- time and
// record

/// Seconds since the script began, of the steady clock.
inline double now() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline std::int64_t wallMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}
inline void sleepFor(double seconds) {
    if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void sleepUntil(double time) { sleepFor(time - now()); }

/// Exit codes of a script.
enum class Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// record.txt: what was sent, answered and run, with the seconds since the start.
class Record {
public:
    explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
    ~Record() {
        if (file_) std::fclose(file_);
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard lock(mutex_);
        if (!file_) return;
        std::fprintf(file_, "%9.4f ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
};

inline std::string text(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline std::string text(const char* format, ...) {
    char buffer[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(buffer, sizeof buffer, format, arguments);
    va_end(arguments);
    return buffer;
}

/// Whether the disruption takes place: not with TROUBLE=0.
inline bool troubled() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// -----------------------------------------------------------------------------------------------------
// sockets

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}
inline int portOf(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}
/// A listening socket; port 0: any free one. Returns -1 on failure.
inline int listenOn(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, 1024) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}
/// A port below the ephemeral ones that is free for TCP and UDP, for a process that starts later.
inline int freePort() {
    static std::mutex mutex;
    static int next = static_cast<int>(::getpid()) * 64 % 12'000;
    const std::lock_guard lock(mutex);
    for (int tries = 0; tries < 12'000; ++tries) {
        const int port = 20'000 + next++ % 12'000;
        const int stream = listenOn(port);
        if (stream < 0) continue;
        const int datagrams = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool isFree =
            ::bind(datagrams, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(stream);
        ::close(datagrams);
        if (isFree) return port;
    }
    return 0;
}

/// One connection, with the bytes that were read and not used yet.
struct Connection {
    int fd = -1;
    std::string in;
    bool ended = false;  ///< end of stream or a reset was read

    Connection() = default;
    explicit Connection(int descriptor) : fd(descriptor) {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { close(); }

    void close() {
        if (fd >= 0) ::close(fd);
        fd = -1;
        in.clear();
        ended = false;
    }
    void reset() {
        const linger now{1, 0};
        if (fd >= 0) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    bool connectTo(int port, double timeout) {
        close();
        fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in address = loopback(port);
        int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        if (result != 0 && errno == EINPROGRESS) {
            pollfd waiting{fd, POLLOUT, 0};
            if (::poll(&waiting, 1, int(timeout * 1000)) <= 0) return close(), false;
            int error = 0;
            socklen_t size = sizeof error;
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
            result = error;
        }
        if (result != 0) return close(), false;
        ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return true;
    }
    /// Waits until there is something to read, or the end. `until` is on the clock of `now()`.
    bool waitReadable(double until) const {
        for (;;) {
            const double left = until - now();
            timespec wait{};
            wait.tv_sec = left > 0 ? time_t(left) : 0;
            wait.tv_nsec = left > 0 ? long((left - double(wait.tv_sec)) * 1e9) : 0;
            pollfd waiting{fd, POLLIN, 0};
            const int ready = ::ppoll(&waiting, 1, &wait, nullptr);
            if (ready > 0) return true;
            if (ready == 0 && until <= now()) return false;
            if (ready < 0 && errno != EINTR) return false;
        }
    }
    /// Reads once. False: nothing until then, the end, or an error.
    bool readSome(double until) {
        if (fd < 0 || ended || !waitReadable(until)) return false;
        char buffer[65536];
        const auto count = ::recv(fd, buffer, sizeof buffer, 0);
        if (count <= 0) {
            ended = true;
            return false;
        }
        in.append(buffer, std::size_t(count));
        return true;
    }
    bool write(const std::string& bytes) const {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const auto count = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (count <= 0) return false;
            done += std::size_t(count);
        }
        return true;
    }
    /// Whether the other side has closed or reset the connection.
    bool isClosedByPeer() const {
        pollfd waiting{fd, POLLRDHUP, 0};
        return ::poll(&waiting, 1, 0) > 0 && (waiting.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
};

// --------------------------------------------------------------------------------------------------------
// HTTP

inline std::string lowerCase(std::string value) {
    for (char& c : value)
        c = char(std::tolower(static_cast<unsigned char>(c)));
    return value;
}
inline std::string trimmed(const std::string& value) {
    const auto first = value.find_first_not_of(" \t\r\n");
    if (first == std::string::npos) return {};
    return value.substr(first, value.find_last_not_of(" \t\r\n") - first + 1);
}

struct Message {
    std::string startLine;
    std::map<std::string, std::string> fields;  ///< by lower-case name
    std::string body;
    double firstByteAt = 0;
    double lastByteAt = 0;
    bool whole = false;

    std::string field(const std::string& name) const {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
    std::string target() const {
        const auto first = startLine.find(' ');
        const auto last = startLine.rfind(' ');
        return first == std::string::npos ? "" : startLine.substr(first + 1, last - first - 1);
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    int status() const { return startLine.rfind("HTTP/1.", 0) == 0 ? std::atoi(startLine.c_str() + 9) : 0; }
    /// One parameter of IO-Info.
    std::string info(const std::string& name) const {
        std::stringstream list(field("io-info"));
        for (std::string part; std::getline(list, part, ',');)
            if (trimmed(part).rfind(name + "=", 0) == 0) return trimmed(part).substr(name.size() + 1);
        return {};
    }
};

inline bool readHead(Connection& connection, Message& message, double until) {
    for (;;) {
        const auto end = connection.in.find("\r\n\r\n");
        if (end != std::string::npos) {
            std::stringstream lines(connection.in.substr(0, end + 2));
            connection.in.erase(0, end + 4);
            std::getline(lines, message.startLine);
            message.startLine = trimmed(message.startLine);
            for (std::string line; std::getline(lines, line);) {
                const auto colon = line.find(':');
                if (colon == std::string::npos) continue;
                message.fields[lowerCase(trimmed(line.substr(0, colon)))] = trimmed(line.substr(colon + 1));
            }
            return true;
        }
        if (!connection.readSome(until)) return false;
        if (message.firstByteAt == 0) message.firstByteAt = now();
    }
}
inline bool readBytes(Connection& connection, std::size_t count, std::string& into, double until) {
    while (connection.in.size() < count) {
        into += connection.in;
        count -= connection.in.size();
        connection.in.clear();
        if (!connection.readSome(until)) return false;
    }
    into += connection.in.substr(0, count);
    connection.in.erase(0, count);
    return true;
}
inline bool readLine(Connection& connection, std::string& line, double until) {
    for (;;) {
        const auto end = connection.in.find("\r\n");
        if (end != std::string::npos) {
            line = connection.in.substr(0, end);
            connection.in.erase(0, end + 2);
            return true;
        }
        if (!connection.readSome(until)) return false;
    }
}
inline bool readChunks(Connection& connection, std::string& into, double until) {
    for (std::string line;;) {
        if (!readLine(connection, line, until)) return false;
        const auto size = std::strtoul(line.c_str(), nullptr, 16);
        if (size == 0) {
            while (readLine(connection, line, until))
                if (line.empty()) return true;
            return false;
        }
        if (!readBytes(connection, size, into, until) || !readLine(connection, line, until)) return false;
    }
}
/// Reads a message; `whole` says whether it came to its end.
inline bool readMessage(Connection& connection, Message& message, double until, bool isResponse) {
    do {
        message.startLine.clear();
        message.fields.clear();
        if (!readHead(connection, message, until)) return false;
    } while (isResponse && message.status() / 100 == 1);
    if (lowerCase(message.field("transfer-encoding")) == "chunked") {
        message.whole = readChunks(connection, message.body, until);
    } else if (!message.field("content-length").empty()) {
        const auto length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
        message.whole = readBytes(connection, length, message.body, until);
    } else if (isResponse) {
        while (connection.readSome(until)) {}
        message.body += connection.in;
        message.whole = connection.ended;
    } else {
        message.whole = true;
    }
    message.lastByteAt = now();
    return message.whole;
}
inline std::string response(int status, const std::string& body, const std::string& fields = "") {
    const char* const reason = status == 200 ? "OK" : "Other";
    return text("HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n\r\n", status, reason, fields.c_str(),
                body.size()) +
           body;
}

// ------------------------------------------------------------------------------------------------------
// servers

/// Accepts connections and gives each a thread that runs `serve`.
class Server {
public:
    using Serve = std::function<void(Connection&)>;
    Server(Serve serve, int port = 0) : serve_(std::move(serve)) {
        fd_ = listenOn(port);
        port_ = portOf(fd_);
        acceptor_ = std::thread([this] { acceptAll(); });
    }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    ~Server() { stop(); }

    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    bool isStopping() const { return stopping_; }
    /// The process dies: its connections are reset and new ones refused.
    void stop() {
        if (stopping_.exchange(true)) return;
        ::shutdown(fd_, SHUT_RDWR);
        acceptor_.join();
        ::close(fd_);
        {
            const std::lock_guard lock(mutex_);
            for (const int fd : open_) {
                const linger now{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        for (auto& thread : threads_)
            thread.join();
    }

private:
    void acceptAll() {
        while (!stopping_) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (stopping_) return;
                continue;
            }
            const std::lock_guard lock(mutex_);
            open_.insert(fd);
            threads_.emplace_back([this, fd] {
                Connection connection(fd);
                serve_(connection);
                const std::lock_guard closing(mutex_);
                open_.erase(fd);
                connection.close();
            });
        }
    }
    Serve serve_;
    int fd_ = -1;
    int port_ = 0;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::set<int> open_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// A chunk server. `run` gets each whole request and writes the answer; it returns false to end the
/// connection.
class ChunkServer {
public:
    using Run = std::function<bool(ChunkServer&, Connection&, const Message&)>;
    ChunkServer(std::string id, int cell, Run run)
        : id(std::move(id)), cell(cell), run_(std::move(run)), server_([this](Connection& c) { serve(c); }) {}

    const std::string id;
    const int cell;
    std::string address() const { return server_.address(); }
    void die() { server_.stop(); }
    bool isDead() const { return server_.isStopping(); }

private:
    void serve(Connection& connection) {
        for (;;) {
            Message request;
            if (!readMessage(connection, request, now() + 600, false)) return;
            if (request.target() == "/alive" || request.target() == "/metrics/load") {
                if (!connection.write(response(200, "queue=0", "Srv-Load: queue=0\r\n"))) return;
                continue;
            }
            if (!run_(*this, connection, request)) return;
        }
    }
    Run run_;
    Server server_;
};

/// Discovery: the whole list, and watches on changes.
class Discovery {
public:
    struct Entry {
        std::string id;
        std::string address;
        int cell = 0;
        std::string lifecycle = "up";
        std::int64_t startedAtMs = 0;
    };
    /// Writes an answer to a connection; replaced by scripts in which discovery is slow.
    using Write = std::function<bool(Connection&, const std::string&)>;

    explicit Discovery(Record& record) : record_(record), server_([this](Connection& c) { serve(c); }) {}
    ~Discovery() {
        stopping_ = true;
        changed_.notify_all();
    }
    std::string address() const { return server_.address(); }
    int version() {
        const std::lock_guard lock(mutex_);
        return version_;
    }
    void setWrite(Write write) {
        const std::lock_guard lock(mutex_);
        write_ = std::move(write);
    }
    int calls() const { return calls_; }
    /// Adds or changes an entry ("removed" takes it off the list).
    void set(const Entry& entry) {
        {
            const std::lock_guard lock(mutex_);
            ++version_;
            changes_.push_back({version_, entry});
            if (entry.lifecycle == "removed")
                list_.erase(entry.id);
            else
                list_[entry.id] = entry;
            record_.line("discovery: version %d: %s in cell %d at %s is %s", version_, entry.id.c_str(),
                         entry.cell, entry.address.c_str(), entry.lifecycle.c_str());
        }
        changed_.notify_all();
    }
    void set(const ChunkServer& server, const std::string& lifecycle = "up", std::int64_t startedAtMs = 0) {
        set({server.id, server.address(), server.cell, lifecycle, startedAtMs});
    }
    /// The whole list, as a front's configuration has it under `known`.
    std::string wholeList() {
        const std::lock_guard lock(mutex_);
        std::vector<Entry> entries;
        for (const auto& [id, entry] : list_)
            entries.push_back(entry);
        return render(version_, true, entries);
    }

private:
    struct Change {
        int version;
        Entry entry;
    };
    static std::string render(int version, bool whole, const std::vector<Entry>& entries) {
        std::string out =
            text("{\"generation\":%d,\"reset\":%s,\"instances\":[", version, whole ? "true" : "false");
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const Entry& entry = entries[i];
            out += text(
                "%s\n{\"instanceId\":\"%s\",\"hostPort\":\"%s\",\"zone\":\"barracas\",\"machineType\":\"nodo-"
                "comun\","
                "\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":1.0,\"startedAtMs\":%lld}",
                i == 0 ? "" : ",", entry.id.c_str(), entry.address.c_str(), entry.cell,
                entry.lifecycle.c_str(), static_cast<long long>(entry.startedAtMs));
        }
        return out + "]}";
    }
    void serve(Connection& connection) {
        for (;;) {
            Message request;
            if (!readMessage(connection, request, now() + 600, false)) return;
            ++calls_;
            Write write;
            const std::string body = answer(request.target());
            {
                const std::lock_guard lock(mutex_);
                write = write_;
            }
            const std::string bytes = response(200, body, "Content-Type: application/json\r\n");
            const bool written = write ? write(connection, bytes) : connection.write(bytes);
            record_.line("discovery: %s answered with %zu bytes%s", request.target().c_str(), body.size(),
                         written ? "" : ", and the front closed the connection before the end");
            if (!written) return;
        }
    }
    std::string answer(const std::string& target) {
        const auto after = target.find("after=");
        if (after == std::string::npos) return wholeList();
        const int known = std::atoi(target.c_str() + after + 6);
        const auto wait = target.find("wait_ms=");
        const int waitMs = wait == std::string::npos ? 0 : std::atoi(target.c_str() + wait + 8);
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::milliseconds(waitMs),
                          [&] { return version_ > known || stopping_; });
        std::map<std::string, Entry> newest;
        for (const Change& change : changes_)
            if (change.version > known) newest[change.entry.id] = change.entry;
        std::vector<Entry> entries;
        for (const auto& [id, entry] : newest)
            entries.push_back(entry);
        return render(version_, false, entries);
    }
    Record& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> calls_ = 0;
    int version_ = 40;
    std::map<std::string, Entry> list_;
    std::vector<Change> changes_;
    Write write_;
    Server server_;
};

// -------------------------------------------------------------------------------------------------------
// clients

struct Request {
    std::string id;
    std::string kind = "lectura";
    std::string tier = "prioritario";
    std::string key = "7f3a9c21e0b4d655";
    int deadlineMs = 1500;
    std::string volume = "00000003b4d60021";
    int units = 2;
    int shard = 0;
    int hosts = 1;
    std::string body;  ///< of a write
    bool isWrite() const { return kind == "alta"; }
};
inline std::string freshId() {
    static std::atomic<std::uint64_t> count = 0;
    static const std::uint64_t start = std::uint64_t(wallMs()) << 22;
    return text("%016llx", static_cast<unsigned long long>(start + ++count));
}
inline std::string render(const Request& request) {
    std::string out = text(
        "%s /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: %s\r\nReq-Kind: %s\r\nTier: %s\r\nCookie: key=%s\r\n"
        "Req-Deadline-Ms: %d\r\nIO-Info: volume=%s,units=%d,shard=%d,hosts=%d\r\n",
        request.isWrite() ? "PUT" : "GET", request.id.c_str(), request.kind.c_str(), request.tier.c_str(),
        request.key.c_str(), request.deadlineMs, request.volume.c_str(), request.units, request.shard,
        request.hosts);
    if (request.isWrite())
        out +=
            text("Idempotency-Key: %s\r\nContent-Length: %zu\r\n", request.id.c_str(), request.body.size());
    return out + "\r\n" + request.body;
}

struct Answer {
    int status = 0;  ///< 0: none
    bool whole = false;
    std::string body;
    double sentAt = 0;
    double firstByteAt = 0;
    double lastByteAt = 0;
    std::string what() const {
        if (status == 0) return "no answer";
        return text("%d, %zu bytes%s", status, body.size(), whole ? "" : ", not whole");
    }
};

/// A client on one connection, which it keeps. A request that crosses the end of the connection is sent once
/// more on a new one, as the protocol page says.
class Client {
public:
    explicit Client(int port) : port_(port) {}
    /// \param patience seconds that the client reads on after the deadline of the request
    Answer ask(const Request& request, double patience = 0.5) {
        Answer answer;
        answer.sentAt = now();
        for (int tries = 0; tries < 2; ++tries) {
            const bool isNew = connection_.fd < 0;
            if (isNew && !connection_.connectTo(port_, 1)) return answer;
            answer.sentAt = now();
            const double until = answer.sentAt + request.deadlineMs / 1000.0 + patience;
            Message message;
            if (connection_.write(render(request))) readMessage(connection_, message, until, true);
            if (message.status() != 0) {
                answer.status = message.status();
                answer.whole = message.whole;
                answer.body = std::move(message.body);
                answer.firstByteAt = message.firstByteAt;
                answer.lastByteAt = message.lastByteAt;
                if (!message.whole || message.field("connection") == "close") connection_.close();
                return answer;
            }
            const bool crossed = !isNew && connection_.ended;
            connection_.close();
            if (!crossed) return answer;
        }
        return answer;
    }
    void close() { connection_.close(); }

private:
    int port_;
    Connection connection_;
};

/// One call to a front's second address.
inline Message callAdmin(int port, const std::string& method, const std::string& path,
                         const std::string& body = "", double timeout = 1) {
    Connection connection;
    Message answer;
    if (!connection.connectTo(port, timeout)) return answer;
    connection.write(
        text("%s %s HTTP/1.1\r\nHost: front\r\nContent-Length: %zu\r\nConnection: close\r\n\r\n%s",
             method.c_str(), path.c_str(), body.size(), body.c_str()));
    readMessage(connection, answer, now() + timeout, true);
    return answer;
}

// ------------------------------------------------------------------------------------------------------
// platform

inline std::string readFile(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}
inline void writeFile(const std::string& path, const std::string& content) {
    std::ofstream(path, std::ios::binary) << content;
}
/// The value of a key of the deploy file.
inline std::string deployCommand(const std::string& root, const std::string& key) {
    std::stringstream lines(readFile(root + "/deploy/balancer.toml"));
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(key + " ", 0) != 0) continue;
        const auto first = line.find('"');
        const auto last = line.find('"', first + 1);
        if (last != std::string::npos) return line.substr(first + 1, last - first - 1);
    }
    return {};
}

/// Settings of a small deployment: those of the wire page's example, with the differences that a script
/// names.
struct Deployment {
    std::string registryMode = "on_request";
    int me = 0;
    int fronts = 1;
    int cells = 4;
    int memoryMb = 192;
    int sockets = 1024;
    int drainGraceMs = 1000;
    std::string json() const {
        return text(
                   "{\"me\":%d,\"replicasOfMe\":%d,\"registryMode\":\"%s\",\"roundUs\":2000,\"zone\":"
                   "\"barracas\",",
                   me, fronts, registryMode.c_str()) +
               R"("zones":["barracas"],"kinds":["nodo-rapido","nodo-comun"],"tier":0,"tiers":["almacen-docs"],
"allowed":{"cancel":true,"connIdleUs":30000000,"connectTimeoutUs":250000,"maxOpen":21738,"maxRetryAfterUs":500000,
 "mayProbe":true,"peers":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":1,"tryLimit":3},
"classes":[
 {"name":"lectura","aimUs":300000,"deadlineUs":1500000,"effect":"idempotent","keyScope":"all","lateWorth":0.1,
  "stream":false,"value":2.0,"windowUs":5000000},
 {"name":"alta","aimUs":400000,"deadlineUs":3000000,"effect":"deduplicated","keyScope":"cell","lateWorth":0.15,
  "stream":false,"value":2.0,"windowUs":3000000},
 {"name":"exportacion","aimUs":1500000,"deadlineUs":5000000,"effect":"idempotent","keyScope":"all","lateWorth":0.3,
  "stream":false,"value":1.0,"windowUs":5000000}],
"clients":{"marksRetry":false},"family":"stores","weights":"rough",
"report":{"columns":["depth"],"how":"answers"},
"serviceLevels":[
 {"name":"basico","baseRate":4.1,"guaranteed":2.0,"limit":33.0,"limitBurst":53.0,"limitSlack":6.0,"shares":1.0,
  "valueFactor":0.96},
 {"name":"prioritario","baseRate":8.2,"guaranteed":8.2,"limit":0.0,"limitBurst":0.0,"limitSlack":0.0,"shares":2.0,
  "valueFactor":0.9}],
)" +
               text(
                   "\"obligations\":{\"answerSlackUs\":8000,\"askEveryUs\":10000000,\"drainGraceUs\":%d,"
                   "\"fallMultiple\":2.5,\"fallUs\":3000000,\"startCapacity\":0.28,\"warmAfterUs\":15000000},"
                   "\n",
                   drainGraceMs * 1000) +
               text(
                   "\"extra\":{\"changesData\":[false,true,false],\"coldBears\":51.0,\"maxUnits\":6,"
                   "\"meanUnits\":2.06,"
                   "\"meterUs\":1000000,\"saysOthers\":true,\"shards\":%d,\"spareWorth\":0.05,"
                   "\"withinShare\":0.3}}",
                   cells);
    }
};

/// One front's process, started with the deploy file's command.
class Front {
public:
    struct Options {
        std::string name = "n0";
        int listenPort = 0;
        std::string discovery;
        std::string known;
        Deployment deployment;
        int mgmtPort = 0;
        int inheritedFd = -1;  ///< the platform's listening socket, passed as descriptor 7
        std::string folder;    ///< $TMPDIR
        std::string logPath;
        int peerPort = 0;            ///< `peer_listen`; 0: no peers
        std::vector<int> peerPorts;  ///< of all fronts, in the order of their numbers
    };
    Front(const std::string& root, Options options) : options_(std::move(options)) {
        const std::string config =
            text(
                "{\"name\":\"%s\",\"listen\":\"127.0.0.1:%d\",\"discovery\":\"%s\",\"seed\":"
                "\"8c1f30d27a5be964\",\n"
                "\"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":%d},\n",
                options_.name.c_str(), options_.listenPort, options_.discovery.c_str(),
                options_.deployment.memoryMb, options_.deployment.sockets) +
            (options_.mgmtPort ? text("\"mgmt\":\"127.0.0.1:%d\",\n", options_.mgmtPort) : "") + peers() +
            "\"known\":" + options_.known + ",\n\"settings\":" + options_.deployment.json() + "}\n";
        configPath_ = options_.logPath + ".config.json";
        writeFile(configPath_, config);
        start(root);
    }
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;
    ~Front() { kill(); }

    pid_t pid() const { return pid_; }
    const Options& options() const { return options_; }
    bool isRunning() {
        if (pid_ <= 0) return false;
        if (::waitpid(pid_, &status_, WNOHANG) != pid_) return true;
        pid_ = -1;
        return false;
    }
    int exitStatus() const { return status_; }
    void signal(int number) const {
        if (pid_ > 0) ::kill(pid_, number);
    }
    void kill() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, &status_, 0);
        pid_ = -1;
    }
    bool waitUntilUp(double timeout) {
        const double until = now() + timeout;
        while (now() < until && isRunning()) {
            const Message answer = callAdmin(options_.listenPort, "GET", "/up", "", 0.5);
            if (answer.status() == 200) return true;
            sleepFor(0.02);
        }
        return false;
    }

private:
    std::string peers() const {
        if (options_.peerPort == 0) return "\"peers\":[],\n";
        std::string out = text("\"peer_listen\":\"127.0.0.1:%d\",\"peers\":[", options_.peerPort);
        for (std::size_t i = 0; i < options_.peerPorts.size(); ++i)
            out += text("%s\"127.0.0.1:%d\"", i == 0 ? "" : ",", options_.peerPorts[i]);
        return out + "],\n";
    }
    void start(const std::string& root) {
        const std::string command = deployCommand(root, "run");
        const std::string listen = "127.0.0.1:" + std::to_string(options_.listenPort);
        const std::string mgmt = "127.0.0.1:" + std::to_string(options_.mgmtPort);
        pid_ = ::fork();
        if (pid_ != 0) return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(options_.logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, 1);
        ::dup2(log, 2);
        if (options_.inheritedFd >= 0) {
            ::dup2(options_.inheritedFd, 7);
            ::setenv("PROXY_FD", "7", 1);
        }
        ::setenv("PROXY_NAME", options_.name.c_str(), 1);
        ::setenv("PROXY_LISTEN", listen.c_str(), 1);
        ::setenv("PROXY_DISCOVERY", options_.discovery.c_str(), 1);
        ::setenv("PROXY_CONFIG", configPath_.c_str(), 1);
        if (options_.mgmtPort) ::setenv("PROXY_MGMT", mgmt.c_str(), 1);
        ::setenv("TMPDIR", options_.folder.c_str(), 1);
        if (::chdir(root.c_str()) != 0) ::_exit(127);
        ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    Options options_;
    std::string configPath_;
    pid_t pid_ = -1;
    int status_ = 0;
};

/// What every script needs: its folder, the repository, a temporary folder and the record.
struct Script {
    std::string root;
    std::string temporary;
    Record record;
    Script(int argc, char** argv)
        : root(argument(argc, argv, 1)), record(argument(argc, argv, 2) + "/record.txt") {
        now();
        std::signal(SIGPIPE, SIG_IGN);
        const char* const base = std::getenv("TMPDIR");
        std::string path = std::string(base ? base : "/tmp") + "/review.XXXXXX";
        const char* const made = ::mkdtemp(path.data());
        temporary = made ? made : "";
        record.line("%s", troubled() ? "with the disruption" : "TROUBLE=0: without the disruption");
    }
    ~Script() {
        if (!temporary.empty()) [[maybe_unused]]
            const int ignored = std::system(("rm -rf '" + temporary + "'").c_str());
    }
    std::string folder(const std::string& name) const {
        const std::string path = temporary + "/" + name;
        ::mkdir(path.c_str(), 0700);
        return path;
    }
    int end(Verdict verdict, const std::string& reason) {
        const char* const word = verdict == Verdict::Held     ? "HELD"
                                 : verdict == Verdict::Broken ? "BROKEN"
                                                              : "COULD NOT RUN";
        record.line("%s: %s", word, reason.c_str());
        std::printf("%s: %s\n", word, reason.c_str());
        return static_cast<int>(verdict);
    }

private:
    static std::string argument(int argc, char** argv, int index) { return index < argc ? argv[index] : "."; }
};

}  // namespace review
