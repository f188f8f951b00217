// Whole processes of the front in tests: a listening socket of the test's as descriptor 7, one folder for
// all.
#pragma once

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/ip/udp.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "support/net_support.h"

namespace wingproxy::test {

// A port for a process that starts later, over TCP and UDP: below those that the system gives by itself,
// which any connection of a test that runs beside this one may take meanwhile, and another one for each test
// process.
inline std::uint16_t freePort(asio::io_context& io) {
    constexpr int kFirst = 20'000, kMany = 12'000, kForEach = 64;
    static int next = getpid() * kForEach % kMany;
    for (int tries = 0; tries < kMany; ++tries) {
        const auto port = std::uint16_t(kFirst + next++ % kMany);
        const auto address = asio::ip::make_address("127.0.0.1");
        boost::system::error_code taken;
        tcp::acceptor stream(io, tcp::v4());
        asio::ip::udp::socket datagrams(io, asio::ip::udp::v4());
        stream.bind({address, port}, taken);
        if (!taken) datagrams.bind({address, port}, taken);
        if (!taken) return port;
    }
    FAIL("no free port");
    return 0;
}

struct Process {
    Process(const std::filesystem::path& folder, int index, int listening, std::uint16_t mgmt)
        : log(folder / fmt::format("log{}", index)), mgmt{"127.0.0.1", mgmt} {
        std::vector<std::string> environment{"PROXY_CONFIG=" + (folder / "config.json").string(),
                                             "TMPDIR=" + folder.string(), "PROXY_FD=7",
                                             fmt::format("PROXY_MGMT=127.0.0.1:{}", mgmt)};
        std::vector<char*> env;
        for (auto& e : environment)
            env.push_back(e.data());
        env.push_back(nullptr);
        std::string binary = WINGPROXY_BINARY;
        char* arguments[] = {binary.data(), nullptr};
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_adddup2(&files, listening, 7);
        posix_spawn_file_actions_addopen(&files, 2, log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
        REQUIRE(posix_spawn(&pid, binary.c_str(), &files, nullptr, arguments, env.data()) == 0);
        posix_spawn_file_actions_destroy(&files);
    }
    ~Process() {
        if (running()) signal(SIGKILL), waitpid(pid, nullptr, 0);
    }
    void signal(int number) const { ::kill(pid, number); }
    bool running() {
        if (!ended && waitpid(pid, &status, WNOHANG) == pid) ended = true;
        return !ended;
    }
    bool said(std::string_view text) const {
        std::ifstream in(log);
        return std::string(std::istreambuf_iterator<char>(in), {}).find(text) != std::string::npos;
    }
    std::filesystem::path log;
    config::Endpoint mgmt;
    pid_t pid = -1;
    int status = 0;
    bool ended = false;
};

// A platform that upgrades: it holds the clients' socket, and a stand-in node answers by itself.
struct Platform {
    // changes: texts of the configuration, and what stands in their place.
    using Changes = std::vector<std::pair<std::string, std::string>>;
    explicit Platform(int sockets = 384, const Changes& changes = {})
        : listening(rig.io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
        std::string pattern = (std::filesystem::temp_directory_path() / "wingproxy-XXXXXX").string();
        folder = mkdtemp(pattern.data());
        auto json = config::readFile(std::string(WINGPROXY_SOURCE) + "/tests/support/config.json");
        const auto put = [&](const std::string& from, const std::string& to) {
            const auto at = json.find(from);
            REQUIRE(at != std::string::npos);
            json.replace(at, from.size(), to);
        };
        put(R"("instances":[])",
            fmt::format(
                R"("instances":[{{"instanceId":"s-0","hostPort":"{}:{}","zone":"z","cell":0,"lifecycle":"up","weight":1.0,"startedAtMs":0}}])",
                rig.node().address().host, rig.node().address().port));
        put(R"("sockets":1024)", fmt::format(R"("sockets":{})", sockets));
        put(R"("127.0.0.1:0")", fmt::format(R"("127.0.0.1:{}")", listening.local_endpoint().port()));
        for (const auto& [from, to] : changes)
            put(from, to);
        std::ofstream(folder / "config.json") << json;
    }
    ~Platform() {
        processes.clear();
        std::filesystem::remove_all(folder);
    }
    Process& start() {
        processes.push_back(std::make_unique<Process>(folder, int(processes.size()),
                                                      listening.native_handle(), freePort(rig.io)));
        return *processes.back();
    }
    // What a process answers to a call; empty where it cannot be reached.
    std::string call(const Process& to, const std::string& text) {
        tcp::socket socket(rig.io);
        boost::system::error_code error;
        socket.connect(net::tcpEndpoint(to.mgmt), error);
        if (error) return "";
        const auto wire = std::make_shared<Wire>(std::move(socket));
        wire->start(), wire->say(text);
        rig.until([&] { return wire->ended; }, text.c_str());
        return wire->got;
    }
    std::string post(const Process& to, const std::string& path, const std::string& body) {
        return call(to,
                    fmt::format("POST {} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}", path, body.size(), body));
    }
    void untilReady(const Process& p) {
        rig.until([&] { return call(p, "GET /_ready HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200 "); },
                  "yes");
    }
    Process& startReady() {
        auto& p = start();
        untilReady(p);
        return p;
    }
    void untilSaid(const Process& p, const char* text) {
        rig.until([&] { return p.said(text); }, text);
    }
    WirePtr client() {
        tcp::socket socket(rig.io);
        socket.connect(listening.local_endpoint());
        const auto wire = std::make_shared<Wire>(std::move(socket));
        wire->start();
        return wire;
    }
    // One request on a connection, which has its 200 in the end.
    void serve(const WirePtr& client, const std::string& id) {
        client->drop();
        client->say(Ask{.id = id}.text());
        rig.until([&] { return client->has("\r\n\r\nx"); }, id.c_str());
        CHECK(client->has("HTTP/1.1 200 "));
    }
    Rig rig;
    tcp::acceptor listening;
    std::filesystem::path folder;
    std::vector<std::unique_ptr<Process>> processes;
};

}  // namespace wingproxy::test
