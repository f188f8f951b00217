#include "rsync/client_handshake.h"

#include <doctest/doctest.h>

#include <initializer_list>
#include <string>

#include "rsync/protocol.h"

using namespace wingproxy;
using rsync::ClientHandshake;
using rsync::HandshakeErrorCode;
using Step = rsync::ClientHandshake::Step;

namespace {

config::RsyncModule module(const std::string& name) {
    config::RsyncModule result;
    result.name = name;
    result.comment = "files of " + name;
    result.nodeModule = "bodega";
    result.pullClass = ClassIndex(3);
    result.pushClass = ClassIndex(4);
    return result;
}

config::RsyncFront frontConfig() {
    auto readOnly = module("lectura");
    readOnly.pushClass = ClassIndex();
    auto writeOnly = module("escritura");
    writeOnly.pullClass = ClassIndex();
    config::RsyncFront config;
    config.motd = "bienvenidos";
    config.modules = {module("manuales"), readOnly, writeOnly};
    return config;
}

/// A handshake and the configuration that it refers to.
struct TestHandshake {
    /// \return the reply to the last line
    ClientHandshake::Reply send(std::initializer_list<const char*> lines) {
        ClientHandshake::Reply reply;
        for (const char* line : lines)
            reply = handshake.onLine(line);
        return reply;
    }

    config::RsyncFront config = frontConfig();
    ClientHandshake handshake{config};
};

}  // namespace

TEST_CASE("rsync client handshake: the greeting is answered with the message of the day") {
    TestHandshake test;
    const auto reply = test.send({"@RSYNCD: 31.0 md5"});
    CHECK(reply.step == Step::ReadNextLine);
    CHECK(reply.text == "bienvenidos\n");
}

TEST_CASE("rsync client handshake: the module list") {
    const std::string list =
        "manuales       \tfiles of manuales\n"
        "lectura        \tfiles of lectura\n"
        "escritura      \tfiles of escritura\n"
        "@RSYNCD: EXIT\n";
    for (const char* command : {"", "#list"}) {
        TestHandshake test;
        const auto reply = test.send({"@RSYNCD: 28", command});
        CHECK(reply.step == Step::CloseAfterList);
        CHECK(reply.text == list);
    }
}

TEST_CASE("rsync client handshake: a pull is parsed into its request") {
    TestHandshake test;
    CHECK(test.send({"@RSYNCD: 28", "manuales"}).text == "@RSYNCD: OK\n");
    const auto reply = test.send({"--server", "--sender", "-r", ".", "manuales/a", ""});
    CHECK(reply.step == Step::StartTransfer);
    CHECK(reply.text.empty());
    CHECK(test.handshake.module().name == "manuales");
    const auto request = test.handshake.takeRequest();
    CHECK(request.module == "manuales");
    CHECK(request.nodeModule == "bodega");
    CHECK(request.options.direction == rsync::Direction::Pull);
    CHECK(request.arguments.back() == "manuales/a");
}

TEST_CASE("rsync client handshake: each direction has the class that the module is configured with") {
    CHECK(rsync::classIndex(module("m"), rsync::Direction::Pull) == ClassIndex(3));
    CHECK(rsync::classIndex(module("m"), rsync::Direction::Push) == ClassIndex(4));
}

TEST_CASE("rsync client handshake: an error before the module is accepted is sent as a line") {
    const struct {
        std::initializer_list<const char*> lines;
        const char* text;
    } cases[] = {
        {{"GET / HTTP/1.1"}, "@ERROR: protocol startup error\n"},
        {{"@RSYNCD: 27"}, "@ERROR: protocol 28 or newer is needed\n"},
        {{"@RSYNCD: 28", "nada"}, "@ERROR: Unknown module 'nada'\n"},
    };
    for (const auto& c : cases) {
        const auto reply = TestHandshake().send(c.lines);
        CHECK(reply.step == Step::CloseAfterError);
        CHECK(reply.text == c.text);
    }
}

TEST_CASE("rsync client handshake: an error after the module is accepted is sent as a frame") {
    const struct {
        std::initializer_list<const char*> lines;
        const char* text;
    } cases[] = {
        {{"@RSYNCD: 28", "manuales", "--server", "-z", ".", "manuales/a", ""},
         "@ERROR: -z: not an option of this gateway\n"},
        {{"@RSYNCD: 28", "lectura", "--server", ".", "lectura/a", ""}, "@ERROR: module is read only\n"},
        {{"@RSYNCD: 28", "escritura", "--server", "--sender", ".", "escritura/a", ""},
         "@ERROR: module is write only\n"},
    };
    for (const auto& c : cases) {
        const auto reply = TestHandshake().send(c.lines);
        CHECK(reply.step == Step::CloseAfterError);
        CHECK(reply.text == rsync::errorStream(c.text));
    }
}

TEST_CASE("rsync client handshake: 256 arguments are accepted, one more is not") {
    TestHandshake test;
    test.send({"@RSYNCD: 28", "manuales"});
    for (int i = 0; i < 256; ++i)
        CHECK(test.handshake.onLine("-v").step == Step::ReadNextLine);
    const auto reply = test.handshake.onLine("-v");
    CHECK(reply.step == Step::CloseAfterError);
    CHECK(reply.text == rsync::errorStream("@ERROR: too many arguments\n"));
}

TEST_CASE("rsync client handshake: the messages of errors that the session detects") {
    TestHandshake test;
    CHECK(test.handshake.reject({HandshakeErrorCode::LineTooLong, {}}).text ==
          "@ERROR: a line that is too long\n");
    CHECK(test.handshake.reject({HandshakeErrorCode::Timeout, {}}).text ==
          "@ERROR: timeout waiting for the request\n");
}
