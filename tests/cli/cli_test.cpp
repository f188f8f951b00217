// The program's commands with files and a running front: their output, and the exit codes that scripts rely
// on.
#include <sys/wait.h>

#include <string>

#include "support/process_support.h"
#include "support/temporary_folder.h"
#include "support/test_config.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

struct ProgramResult {
    int exitCode = -1;
    std::string output;  ///< standard output and error
};

ProgramResult runProgram(const std::string& arguments) {
    ProgramResult result;
    const auto line =
        fmt::format("env -u PROXY_CONFIG -u PROXY_MGMT -u PROXY_FD {} {} 2>&1", WINGPROXY_BINARY, arguments);
    std::FILE* pipe = popen(line.c_str(), "r");
    REQUIRE(pipe);
    char buffer[4096];
    for (std::size_t n; (n = fread(buffer, 1, sizeof buffer, pipe)) > 0;)
        result.output.append(buffer, n);
    const int status = pclose(pipe);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

}  // namespace

TEST_CASE("cli: each command line has its exit code, and an error names what is wrong") {
    const std::string config = testConfigPath();
    const TemporaryFolder folder;
    const auto invalidConfig = replaced(testConfigText(), R"("discovery":)", R"("discovery":7,"was":)");
    const auto invalid = folder.write("bad.json", invalidConfig);
    const auto operatorFile = folder.write("good.json", R"({"health":{"listen":"127.0.0.1:0"}})");
    const auto invalidOperatorFile = folder.write("operator.json", R"({"health":{"listen":"nowhere"}})");
    const auto missing = folder.file("none.json");
    const struct {
        std::string arguments;
        int exitCode;
        const char* output;
    } cases[] = {
        {"--help", 0, "detach"},
        {"--version", 0, "wingproxy 1."},
        {"check --config " + config, 0, "good: n0 at 127.0.0.1:0"},
        {"--config " + config + " check --operator " + operatorFile, 0, "0 known nodes\n"},
        {"check", 2, "PROXY_CONFIG: not set"},
        {"check --config " + missing, 2, "none.json"},
        {"check --config " + invalid, 2, "discovery: not a string"},
        {"check --config " + config + " --operator " + invalidOperatorFile, 2, "health.listen"},
        {"detach", 2, "ID is required"},
        {"detach a b", 2, "not expected: b"},
        {"ready vars --mgmt 127.0.0.1:1", 2, ""},
        {"serve", 2, "not expected: serve"},
        {"ready --config " + config, 2, "mgmt: set neither in the configuration nor by --mgmt"},
        {"vars --mgmt 127.0.0.1", 2, "mgmt: '127.0.0.1' is not an IPv4 address and a port"},
        {"ready --mgmt 127.0.0.1:1", 3,
         "no response from a front at 127.0.0.1:1: connect: Connection refused"},
    };
    for (const auto& c : cases) {
        const auto result = runProgram(c.arguments);
        CHECK_MESSAGE(result.exitCode == c.exitCode, c.arguments, " -> ", result.output);
        CHECK_MESSAGE(result.output.find(c.output) != std::string::npos, c.arguments, " -> ", result.output);
    }
}

TEST_CASE("cli: requests to a running front") {
    Platform platform;
    const auto& front = platform.startReady();
    const auto address = fmt::format(" --mgmt 127.0.0.1:{}", front.mgmt.port);
    CHECK(runProgram("ready" + address).exitCode == 0);
    CHECK(runProgram("detach s-0" + address).output == "s-0: out until it is attached\n");
    CHECK(runProgram("vars" + address).output.find(R"("out_of_rotation":1)") != std::string::npos);
    CHECK(runProgram("attach s-0" + address).exitCode == 0);
    CHECK(runProgram("vars" + address).output.find(R"("out_of_rotation":0)") != std::string::npos);
    const auto unknown = runProgram("detach s-9" + address);
    CHECK(unknown.exitCode == 1);
    CHECK(unknown.output == "s-9: no chunk server of this id was ever listed\n");
}
