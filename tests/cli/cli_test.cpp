// The command line against files and a running front: what it says, and the exit code that scripts go by.
#include <sys/wait.h>

#include <boost/asio/write.hpp>
#include <thread>

#include "admin/admin_client.h"
#include "cli/command.h"
#include "support/process_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

struct Ran {
    int code = -1;
    std::string text;  // standard output and error
};

Ran command(const std::string& words) {
    Ran ran;
    const auto line =
        fmt::format("env -u PROXY_CONFIG -u PROXY_MGMT -u PROXY_FD {} {} 2>&1", WINGPROXY_BINARY, words);
    std::FILE* pipe = popen(line.c_str(), "r");
    REQUIRE(pipe);
    char piece[4096];
    for (std::size_t n; (n = fread(piece, 1, sizeof piece, pipe)) > 0;)
        ran.text.append(piece, n);
    const int status = pclose(pipe);
    ran.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return ran;
}

}  // namespace

TEST_CASE("command line: each has its exit code, and what is wrong is named in one line") {
    const std::string config = std::string(WINGPROXY_SOURCE) + "/tests/support/config.json";
    std::string pattern = (std::filesystem::temp_directory_path() / "wingproxy-cli-XXXXXX").string();
    const std::filesystem::path folder = mkdtemp(pattern.data());
    auto bad = config::readFile(config);
    bad.replace(bad.find(R"("discovery":)"), 12, R"("discovery":7,"was":)");
    std::ofstream(folder / "bad.json") << bad;
    std::ofstream(folder / "good.json") << R"({"health":{"listen":"127.0.0.1:0"}})";
    std::ofstream(folder / "operator.json") << R"({"health":{"listen":"nowhere"}})";
    const auto file = [&](const char* name) { return (folder / name).string(); };
    const struct {
        std::string words;
        int code;
        const char* says;
    } cases[] = {
        {"--help", 0, "detach"},
        {"--version", 0, "wingproxy 1."},
        {"check --config " + config, 0, "good: n0 at 127.0.0.1:0"},
        {"--config " + config + " check --operator " + file("good.json"), 0, "0 known nodes\n"},
        {"check", 2, "PROXY_CONFIG: not set"},
        {"check --config " + file("none.json"), 2, "none.json"},
        {"check --config " + file("bad.json"), 2, "discovery: not a text"},
        {"check --config " + config + " --operator " + file("operator.json"), 2, "health.listen"},
        {"detach", 2, "ID is required"},
        {"detach a b", 2, "not expected: b"},
        {"ready vars --mgmt 127.0.0.1:1", 2, ""},
        {"serve", 2, "not expected: serve"},
        {"ready --config " + config, 2, "mgmt: neither in the configuration nor told by --mgmt"},
        {"vars --mgmt 127.0.0.1", 2, "mgmt: '127.0.0.1' is not an IPv4 address and a port"},
        {"ready --mgmt 127.0.0.1:1", 3, "no front answers at 127.0.0.1:1: connect: Connection refused"},
    };
    for (const auto& c : cases) {
        const auto ran = command(c.words);
        CHECK_MESSAGE(ran.code == c.code, c.words, " -> ", ran.text);
        CHECK_MESSAGE(ran.text.find(c.says) != std::string::npos, c.words, " -> ", ran.text);
    }
    std::filesystem::remove_all(folder);
}

TEST_CASE("command line: calls to a running front") {
    Platform platform;
    auto& front = platform.startReady();
    const auto mgmt = fmt::format(" --mgmt 127.0.0.1:{}", front.mgmt.port);
    CHECK(command("ready" + mgmt).code == 0);
    CHECK(command("detach s-0" + mgmt).text == "s-0: out until it is attached\n");
    CHECK(command("vars" + mgmt).text.find(R"("out_of_rotation":1)") != std::string::npos);
    CHECK(command("attach s-0" + mgmt).code == 0);
    CHECK(command("vars" + mgmt).text.find(R"("out_of_rotation":0)") != std::string::npos);
    const auto unknown = command("detach s-9" + mgmt);
    CHECK(unknown.code == 1);
    CHECK(unknown.text == "s-9: no chunk server of this id was ever listed\n");
}

// Whoever has the port may be no front: silence and noise end the call in its time.
TEST_CASE("a call to what never answers, or answers no HTTP, ends in time and says why") {
    asio::io_context io;
    tcp::acceptor silent(io,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));  // its queue takes the call
    const config::Endpoint at{"127.0.0.1", silent.local_endpoint().port()};
    const auto none =
        admin::sendAdminRequest(at, {admin::AdminRequest::Kind::Ready, ""}, std::chrono::milliseconds(50));
    CHECK(!none.reply);
    CHECK(none.why == "no answer in 50 ms");
    std::thread noise([&] {
        tcp::socket first = silent.accept(), socket = silent.accept();
        asio::write(socket, asio::buffer(std::string("what?\r\n\r\n")));
    });
    const auto garbled = admin::sendAdminRequest(at, {admin::AdminRequest::Kind::Vars, ""});
    noise.join();
    CHECK(!garbled.reply);
    CHECK(garbled.why.starts_with("read: "));
}

// What the command says is what the front reads: both stand beside each other in src/operation.
TEST_CASE("every call is read as it is said") {
    using admin::AdminRequest;
    for (const auto kind : {AdminRequest::Kind::Ready, AdminRequest::Kind::Vars, AdminRequest::Kind::Detach,
                            AdminRequest::Kind::Attach}) {
        const bool ofNode = kind == AdminRequest::Kind::Detach || kind == AdminRequest::Kind::Attach;
        const auto said = admin::encodeAdminRequest({kind, ofNode ? "s-1" : ""});
        const auto read =
            std::get<AdminRequest>(admin::parseAdminRequest(said.method, said.target, said.body));
        CHECK(read.kind == kind);
        CHECK(read.node == (ofNode ? "s-1" : ""));
    }
}
