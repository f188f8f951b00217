#include "rsync/protocol.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "stream_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

TEST_CASE("rsync protocol: the greeting offers version 28") { CHECK(rsync::greeting() == "@RSYNCD: 28\n"); }

TEST_CASE("rsync protocol: the version is parsed from a greeting, without minor version and digests") {
    CHECK(rsync::parseGreeting("@RSYNCD: 28") == 28);
    CHECK(rsync::parseGreeting("@RSYNCD: 31.0") == 31);
    CHECK(rsync::parseGreeting("@RSYNCD: 31.0 sha512 md5") == 31);
    CHECK(rsync::parseGreeting("@RSYNCD: 29 md5") == 29);
}

TEST_CASE("rsync protocol: a line that is not a greeting has no version") {
    for (const char* line :
         {"", "@RSYNCD: ", "@RSYNCD: x", "@RSYNCD: 28x", "@RSYNCD: 0", "@RSYNCD: -1", "GET / HTTP/1.1"})
        CHECK_MESSAGE(rsync::parseGreeting(line) == std::nullopt, line);
}

TEST_CASE("rsync protocol: integers are little-endian and signed") {
    CHECK(rsync::readInt32(encodeInt(0x01020304)) == 0x01020304);
    CHECK(rsync::readInt32(encodeInt(-2)) == -2);
    CHECK(rsync::readInt64(encodeInt(5) + encodeInt(1)) == 0x1'0000'0005);
    CHECK(rsync::readInt64(encodeInt(-1) + encodeInt(-1)) == -1);
}

TEST_CASE("rsync protocol: a frame starts with the length of its payload and its tag plus 7") {
    CHECK(rsync::encodeFrame(rsync::FrameTag::Data, "abc") == std::string("\x03\x00\x00\x07"
                                                                          "abc",
                                                                          7));
    CHECK(rsync::encodeFrame(rsync::FrameTag::DaemonLog, "") == std::string("\x00\x00\x00\x0a", 4));
}

TEST_CASE("rsync protocol: an error line starts with @ERROR") {
    CHECK(rsync::errorLine("no") == "@ERROR: no\n");
}

TEST_CASE("rsync protocol: an error stream is a seed and an error frame") {
    CHECK(rsync::errorStream("@ERROR: x\n").substr(0, 4) == encodeInt(0));
    CHECK(rsync::errorStream("@ERROR: x\n").substr(4) ==
          rsync::encodeFrame(rsync::FrameTag::Error, "@ERROR: x\n"));
}
