/// \file
/// Runs processes of the program in tests. The processes of one front inherit the test's listening socket and
/// share a folder for their configuration, locks and logs.
#pragma once

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/ip/udp.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string>
#include <string_view>

#include "support/net_support.h"
#include "support/temporary_folder.h"

namespace wingproxy::test {

/// Name of the configuration file in the processes' folder.
inline const std::string kConfigFile = "config.json";

/// A port of 127.0.0.1 that is free over TCP and UDP, for a process that starts later.
///
/// It is below the system's ephemeral ports, which connections of tests that run at the same time may take
/// before the process binds it. Test processes start their search at different ports.
inline std::uint16_t freePort(asio::io_context& io) {
    constexpr int kFirst = 20'000;
    constexpr int kCount = 12'000;
    constexpr int kPerProcess = 64;
    static int next = getpid() * kPerProcess % kCount;
    const auto address = asio::ip::make_address("127.0.0.1");
    for (int tries = 0; tries < kCount; ++tries) {
        const auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
        boost::system::error_code error;
        tcp::acceptor stream(io, tcp::v4());
        asio::ip::udp::socket datagrams(io, asio::ip::udp::v4());
        stream.bind({address, port}, error);
        if (!error) datagrams.bind({address, port}, error);
        if (!error) return port;
    }
    FAIL("no free port");
    return 0;
}

/// The program that a process of a test runs: the one that was built with the tests, unless the environment
/// names another build.
///
/// WINGPROXY_TEST_BINARY is the path of the other build. WINGPROXY_TEST_BINARY_PROCESSES says which processes
/// run it: `all` (the default), or those with an `even` or an `odd` index, so that both builds run beside
/// each other.
/// \param index number of the process, see `Process`
inline std::string binaryOf(int index) {
    const char* const otherBuild = std::getenv("WINGPROXY_TEST_BINARY");
    const char* const selection = std::getenv("WINGPROXY_TEST_BINARY_PROCESSES");
    const std::string_view processes = selection == nullptr ? "all" : selection;
    if (processes != "all" && processes != "even" && processes != "odd")
        FAIL(fmt::format("WINGPROXY_TEST_BINARY_PROCESSES is '{}', not all, even or odd", processes));
    const bool isEven = index % 2 == 0;
    const bool runsOtherBuild = processes == "all" || (processes == "even") == isEven;
    return otherBuild != nullptr && runsOtherBuild ? otherBuild : WINGPROXY_BINARY;
}

/// A running process of the program. The destructor kills it if it has not ended.
class Process {
public:
    /// \param folder contains the configuration; the process writes its files and its log there
    /// \param index number of the process, different from that of any other one with the same folder
    /// \param listening a socket that already listens for clients
    /// \param adminPort port of 127.0.0.1 where the process serves admin requests
    /// \param variables additional environment variables, each "NAME=VALUE"
    Process(const TemporaryFolder& folder, int index, int listening, std::uint16_t adminPort,
            const std::vector<std::string>& variables = {})
        : log(folder.file(fmt::format("log{}", index))), mgmt{"127.0.0.1", adminPort} {
        std::vector<std::string> environment{
            "PROXY_CONFIG=" + folder.file(kConfigFile), "TMPDIR=" + folder.path(),
            fmt::format("PROXY_FD={}", kInheritedFd), fmt::format("PROXY_MGMT=127.0.0.1:{}", adminPort)};
        environment.insert(environment.end(), variables.begin(), variables.end());
        std::vector<char*> environmentPointers;
        environmentPointers.reserve(environment.size() + 1);
        for (auto& variable : environment)
            environmentPointers.push_back(variable.data());
        environmentPointers.push_back(nullptr);
        std::string binary = binaryOf(index);
        std::array<char*, 2> arguments{binary.data(), nullptr};
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_adddup2(&files, listening, kInheritedFd);
        posix_spawn_file_actions_addopen(&files, STDERR_FILENO, log.c_str(), O_CREAT | O_WRONLY | O_TRUNC,
                                         0600);
        // The process must not inherit the test's connections: they would stay open after the test closes
        // them.
        for (int descriptor = STDERR_FILENO + 1; descriptor < kInheritedFd; ++descriptor)
            posix_spawn_file_actions_addclose(&files, descriptor);
        posix_spawn_file_actions_addclosefrom_np(&files, kInheritedFd + 1);
        REQUIRE(posix_spawn(&pid, binary.c_str(), &files, nullptr, arguments.data(),
                            environmentPointers.data()) == 0);
        posix_spawn_file_actions_destroy(&files);
    }
    ~Process() {
        if (!running()) return;
        signal(SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const { ::kill(pid, number); }
    bool running() {
        if (!ended && waitpid(pid, &status, WNOHANG) == pid) ended = true;
        return !ended;
    }
    /// Whether the process's log contains the text.
    bool hasLogged(std::string_view text) const { return readLog().find(text) != std::string::npos; }
    std::string readLog() const {
        std::ifstream file(log);
        return {std::istreambuf_iterator<char>(file), {}};
    }

    const std::string log;  ///< path of its log
    const config::Endpoint mgmt;
    pid_t pid = -1;
    int status = 0;  ///< from waitpid(), valid once the process has ended
    bool ended = false;

private:
    static constexpr int kInheritedFd = 7;
};

/// The environment of a front that is upgraded: owns the listening socket for clients, starts processes that
/// inherit it, and has one node, whose responses the test controls.
struct Platform {
    /// Texts of the configuration, each with its replacement.
    using Changes = std::vector<std::pair<std::string, std::string>>;
    explicit Platform(int sockets = 384, const Changes& changes = {})
        : listening(fixture.io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
        auto json = withKnownNode(testConfigText(), fixture.node().address());
        json = replaced(json, R"("sockets":1024)", fmt::format(R"("sockets":{})", sockets));
        json = withClientPort(json, listening.local_endpoint().port());
        for (const auto& [from, to] : changes)
            json = replaced(json, from, to);
        folder.write(kConfigFile, json);
    }
    Process& start() {
        const int index = static_cast<int>(processes.size());
        processes.push_back(
            std::make_unique<Process>(folder, index, listening.native_handle(), freePort(fixture.io)));
        return *processes.back();
    }
    /// Sends an HTTP message to a process's admin address and returns the response; empty if the process
    /// cannot be reached.
    std::string call(const Process& to, const std::string& text) {
        tcp::socket socket(fixture.io);
        boost::system::error_code error;
        socket.connect(net::tcpEndpoint(to.mgmt), error);
        if (error) return "";
        const auto connection = startConnection(std::move(socket));
        connection->send(text);
        fixture.waitUntil([&] { return connection->ended; }, text.c_str());
        return connection->received;
    }
    std::string post(const Process& to, const std::string& path, const std::string& body) {
        return call(to,
                    fmt::format("POST {} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}", path, body.size(), body));
    }
    void waitUntilReady(const Process& process) {
        const auto isReady = [&] {
            return call(process, "GET /_ready HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200 ");
        };
        fixture.waitUntil(isReady, "the process is ready");
    }
    Process& startReady() {
        auto& process = start();
        waitUntilReady(process);
        return process;
    }
    void waitUntilLogged(const Process& process, const char* text) {
        fixture.waitUntil([&] { return process.hasLogged(text); }, text);
    }
    TestConnectionPtr client() { return connectTo(fixture.io, listening.local_endpoint()); }
    /// Sends one request on a connection and waits for its 200 response.
    void serve(const TestConnectionPtr& client, const std::string& id) {
        client->clearReceived();
        client->send(PlatformRequest{.id = id}.text());
        fixture.waitUntil([&] { return client->hasReceived("\r\n\r\nx"); }, id.c_str());
        CHECK(client->hasReceived("HTTP/1.1 200 "));
    }

    GatewayFixture fixture;
    tcp::acceptor listening;
    TemporaryFolder folder;  // outlives the processes
    std::vector<std::unique_ptr<Process>> processes;
};

}  // namespace wingproxy::test
