#include "rsync/node_handshake.h"

#include <doctest/doctest.h>

using namespace wingproxy;
using rsync::NodeHandshake;
using Step = rsync::NodeHandshake::Step;

namespace {

NodeHandshake greetedHandshake() {
    NodeHandshake handshake;
    REQUIRE(handshake.onLine("@RSYNCD: 30.0") == Step::ReadNextLine);
    return handshake;
}

}  // namespace

TEST_CASE("rsync node handshake: the arguments follow once the module is accepted") {
    auto handshake = greetedHandshake();
    CHECK(handshake.onLine("a message of the day") == Step::ReadNextLine);
    CHECK(handshake.onLine("") == Step::ReadNextLine);
    CHECK(handshake.onLine("@RSYNCD: OK") == Step::SendArguments);
}

TEST_CASE("rsync node handshake: a node with an older version or another protocol is rejected") {
    CHECK(NodeHandshake().onLine("@RSYNCD: 27") == Step::Reject);
    CHECK(NodeHandshake().onLine("HTTP/1.1 400 Bad Request") == Step::Reject);
}

TEST_CASE("rsync node handshake: an error line is a rejection at any point") {
    CHECK(NodeHandshake().onLine("@ERROR: no") == Step::Reject);
    CHECK(greetedHandshake().onLine("@ERROR: max connections (4) reached -- try again later") ==
          Step::Reject);
}

TEST_CASE("rsync node handshake: a password challenge and EXIT are rejections") {
    CHECK(greetedHandshake().onLine("@RSYNCD: AUTHREQD challenge") == Step::Reject);
    CHECK(greetedHandshake().onLine("@RSYNCD: EXIT") == Step::Reject);
}
