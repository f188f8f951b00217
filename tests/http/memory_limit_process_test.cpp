// The memory of a process under clients that make it hold as much as they can.
#include <fstream>

#include "http/http_test_support.h"
#include "support/process_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

// A process of an upgrade uses half of the configured memory, and the least that a front gets is 16 MiB.
constexpr int kMemoryMb = 16;
constexpr int kDescriptors = 1024;
constexpr int kClients = 500;

// The largest memory that a process has had, in MiB.
double peakMemoryMb(const Process& process) {
    std::ifstream status(fmt::format("/proc/{}/status", process.pid));
    std::string line;
    while (std::getline(status, line))
        if (line.starts_with("VmHWM:")) return std::stod(line.substr(6)) / 1024;
    FAIL("no VmHWM");
    return 0;
}

std::string repeated(std::string_view text, int count) {
    std::string all;
    for (int i = 0; i < count; ++i)
        all += text;
    return all;
}

std::string shortFields(int count) { return repeated("a:\r\n", count); }

// A body of chunks of 1,000 bytes without its end.
std::string openChunks(int count) { return repeated("3e8\r\n" + std::string(1000, 'x') + "\r\n", count); }

// What each client of a crowd sends before it stops.
struct Crowd {
    const char* name;
    std::string (*message)(int client);
};

const std::array<Crowd, 7> kCrowds{{
    {"half a head of very many short fields", [](int) { return "GET /api HTTP/1.1\r\n" + shortFields(900); }},
    {"half a head of a few long fields",
     [](int) { return "GET /api HTTP/1.1\r\n" + repeated("a: " + std::string(180, 'x') + "\r\n", 20); }},
    {"a complete head of very many short fields, and half a body",
     [](int i) {
         return streamedPut("Content-Length: 60000\r\n", id(i), 3000, shortFields(900)) +
                std::string(30'000, 'x');
     }},
    {"a head of as many short fields as are taken, and half a body",
     [](int i) {
         return streamedPut("Content-Length: 60000\r\n", id(i), 3000, shortFields(80)) +
                std::string(30'000, 'x');
     }},
    {"half of a long body",
     [](int i) {
         return streamedPut("Content-Length: 200000\r\n", id(i), 3000, shortFields(80)) +
                std::string(100'000, 'x');
     }},
    {"half of a long body in chunks",
     [](int i) { return streamedPut("Transfer-Encoding: chunked\r\n", id(i)) + openChunks(100); }},
    {"a request whose long answer is not read", [](int i) { return PlatformRequest{.id = id(i)}.text(); }},
}};

// Sends as much of the message as the system takes at once.
tcp::socket sendAndStop(Platform& platform, const std::string& message) {
    tcp::socket socket(platform.fixture.io);
    socket.connect(platform.listening.local_endpoint());
    socket.non_blocking(true);
    boost::system::error_code ignored;
    socket.write_some(asio::buffer(message), ignored);
    return socket;
}

bool isServed(Platform& platform, int number) {
    const auto client = platform.client();
    client->send(PlatformRequest{.id = id(number), .deadlineMs = 2000}.text());
    platform.fixture.waitUntil([&] { return client->ended || client->hasReceived("\r\n\r\n"); });
    const bool served = client->hasReceived("HTTP/1.1 200 ");
    client->close();
    return served;
}

}  // namespace

// Guards against a process that is killed for its memory while many clients stop half way.
TEST_CASE("a process keeps to its memory while clients stop half way, and others are served") {
    for (const Crowd& crowd : kCrowds) {
        CAPTURE(std::string(crowd.name));
        Platform platform(kDescriptors,
                          {{R"("memory_mb":192)", fmt::format(R"("memory_mb":{})", 2 * kMemoryMb)}});
        platform.fixture.node().onConnection = [](TestConnection& connection) {
            connection.autoResponse = ok(std::string(60'000, 'x'));
        };
        const auto& process = platform.startReady();
        std::vector<tcp::socket> clients;
        clients.reserve(kClients);
        for (int i = 0; i < kClients; ++i)
            clients.push_back(sendAndStop(platform, crowd.message(i)));
        int number = kClients;
        platform.fixture.waitUntil([&] { return isServed(platform, ++number); }, "another client is served");
        CHECK(peakMemoryMb(process) < kMemoryMb);
    }
}
