#include "rsync/transfer_request.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

using namespace wingproxy;
using rsync::ArgumentErrorCode;

namespace {

using Arguments = std::vector<std::string>;

constexpr const char* kModule = "m";

rsync::TransferOptions parse(const Arguments& arguments) {
    const auto parsed = rsync::parseArguments(arguments, kModule);
    REQUIRE(std::holds_alternative<rsync::TransferOptions>(parsed));
    return std::get<rsync::TransferOptions>(parsed);
}

/// Checks that the arguments are rejected with this code and a message that starts with `argument`.
void checkRejected(const Arguments& arguments, ArgumentErrorCode code, const std::string& argument) {
    const auto parsed = rsync::parseArguments(arguments, kModule);
    REQUIRE(std::holds_alternative<rsync::ArgumentError>(parsed));
    const auto& error = std::get<rsync::ArgumentError>(parsed);
    CHECK(error.code == code);
    CHECK(error.argument == argument);
    CHECK(rsync::describe(error).find(argument + ": ") == 0);
}

}  // namespace

TEST_CASE("rsync arguments: --sender requests a pull") {
    const auto options = parse({"--server", "--sender", "-vlogDtpr", ".", "m/a"});
    CHECK(options.direction == rsync::Direction::Pull);
    CHECK(options.preserveOwner);
    CHECK(options.preserveGroup);
    CHECK_FALSE(options.numericIds);
}

TEST_CASE("rsync arguments: without --sender a push is requested") {
    const auto options = parse({"--server", "-tpre.iLsfx", "--numeric-ids", ".", "m/"});
    CHECK(options.direction == rsync::Direction::Push);
    CHECK_FALSE(options.preserveOwner);
    CHECK_FALSE(options.preserveGroup);
    CHECK(options.numericIds);
}

TEST_CASE("rsync arguments: the client's capabilities after -e are ignored") {
    CHECK_FALSE(parse({"--server", "-te.og", ".", "m/a"}).preserveOwner);
}

TEST_CASE("rsync arguments: an unsupported option is rejected by name") {
    checkRejected({"--server", "--sender", "-z", ".", "m/a"}, ArgumentErrorCode::UnsupportedOption, "-z");
    checkRejected({"--server", "--sender", "-tz", ".", "m/a"}, ArgumentErrorCode::UnsupportedOption, "-z");
    checkRejected({"--server", "--delete", ".", "m/a"}, ArgumentErrorCode::UnsupportedOption, "--delete");
}

TEST_CASE("rsync arguments: --server is required") {
    checkRejected({"--sender", ".", "m/a"}, ArgumentErrorCode::ServerOptionMissing, "--server");
}

TEST_CASE("rsync arguments: a path is required") {
    checkRejected({"--server", "--sender", "."}, ArgumentErrorCode::PathMissing, "path");
    checkRejected({"--server", "--sender"}, ArgumentErrorCode::PathMissing, "path");
}

TEST_CASE("rsync arguments: a path outside the module is rejected") {
    for (const char* path : {"other/a", "mm/a", "m/a/../../b", "m/.."})
        checkRejected({"--server", "--sender", ".", path}, ArgumentErrorCode::PathOutsideModule, path);
    CHECK(parse({"--server", ".", "m"}).direction == rsync::Direction::Push);
    CHECK(parse({"--server", ".", "m/a..b"}).direction == rsync::Direction::Push);
}

TEST_CASE("rsync arguments: a pull may have several paths, a push only one") {
    CHECK(parse({"--server", "--sender", ".", "m/a", "m/b"}).direction == rsync::Direction::Pull);
    checkRejected({"--server", ".", "m/a", "m/b"}, ArgumentErrorCode::SeveralPushDestinations, "path");
}

TEST_CASE("rsync arguments: a node gets its own name of the module, and an empty line at the end") {
    rsync::TransferRequest request;
    request.module = "manuales";
    request.nodeModule = "bodega";
    request.arguments = {"--server", "-tpr", ".", "manuales/a"};
    CHECK(rsync::encodeNodeArguments(request) == "--server\n-tpr\n.\nbodega/a\n\n");
}
