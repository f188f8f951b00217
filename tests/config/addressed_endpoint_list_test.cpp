// The endpoint list of discovery: the nodes that are read, and the field that an error names.
#include "config/addressed_endpoint_list.h"

#include "config_test_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

const std::string kEntry =
    R"({"instanceId":"s-1","hostPort":"127.0.0.1:80","zone":"z","cell":3,"lifecycle":"draining","weight":1.5,"startedAtMs":7})";

std::string listOf(const std::string& entries) {
    return R"({"generation":9,"reset":false,"instances":[)" + entries + "]}";
}

}  // namespace

TEST_CASE("endpoint list: kind, version and nodes are read") {
    const auto result = config::parseEndpointList(listOf(kEntry));
    CHECK(result.list.kind == EndpointListKind::Delta);
    CHECK(result.list.version == 9);
    CHECK(result.list.nodes[0].state == NodeState::Draining);
    CHECK(result.list.nodes[0].rating == 1.5);
    CHECK(result.list.nodes[0].startedUs == 7000);
    CHECK(result.addresses[0] == config::Endpoint{"127.0.0.1", 80});
}

TEST_CASE("endpoint list: a list with \"reset\" has the kind Full") {
    const auto result = config::parseEndpointList(replaced(listOf(kEntry), "false", "true"));
    CHECK(result.list.kind == EndpointListKind::Full);
}

TEST_CASE("endpoint list: only a removed node may lack its address") {
    const auto entry = replaced(kEntry, R"("hostPort":"127.0.0.1:80",)", "");
    const auto removed = config::parseEndpointList(listOf(replaced(entry, "draining", "removed")));
    CHECK(removed.list.nodes[0].state == NodeState::Removed);
    CHECK(removed.addresses[0] == config::Endpoint{});
    CHECK(errorOf([&] { config::parseEndpointList(listOf(entry)); }) == "instances.0.hostPort: missing");
}

TEST_CASE("endpoint list: a document without the required fields is rejected") {
    for (const char* invalid : {"", "[]", "{}", R"({"generation":1,"instances":[{}]})", "{\"generation\":1}"})
        CHECK(errorOf([&] { config::parseEndpointList(invalid); }) != "");
}

TEST_CASE("endpoint list: an error names the node's invalid field") {
    const InvalidChange cases[] = {{"draining", "asleep", "instances.0.lifecycle"},
                                   {"\"cell\":3", "\"cell\":-3", "instances.0.cell"}};
    checkErrors(listOf(kEntry), cases, [](const std::string& json) { config::parseEndpointList(json); });
}
