/// \file
/// The rsync front on sockets; the tests send every byte of its clients and nodes.
#include "rsync/front.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rsync/protocol.h"
#include "rsync/transfer_request.h"
#include "stream_support.h"
#include "support/net_support.h"
#include "support/stalled_node.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

const std::string kSeed = encodeInt(7);
const std::string kFileList = kFileEntry + kEndOfFileList + kNoIoErrors;
const std::string kOneBlock = encodeChecksumHead(1, 700, 2, 5);
/// The generator requests file 0, of which the receiving side holds one block.
const std::string kFileRequest = encodeInt(0) + kOneBlock + std::string(6, 'q');
/// The delta of file 0: block 0, then three literal bytes.
const std::string kDelta = encodeInt(0) + kOneBlock + encodeInt(-1) + encodeInt(3) + "xyz" + kEndOfDelta;
/// An offset into kDelta, inside of its literal bytes.
constexpr std::size_t kMiddleOfDelta = 25;
const std::string kTotals = encodeInt(1) + encodeInt(2) + encodeInt(3);

std::string dataFrame(std::string_view payload) { return rsync::encodeFrame(rsync::FrameTag::Data, payload); }

/// A client that requested a transfer, and the node that executes it.
class TestTransfer {
public:
    TestTransfer(GatewayFixture& fixture, rsync::Direction direction, const std::string& module = "manuales")
        : client(fixture.rsyncClient()), fixture_(fixture) {
        client->send("@RSYNCD: 31.0 md5\n" + module + "\n");
        awaitText(client, "@RSYNCD: OK\n");
        CHECK(client->received.find("@RSYNCD: 28\n") == 0);
        client->clearReceived();
        const std::string sender = direction == rsync::Direction::Pull ? "--sender\n" : "";
        client->send("--server\n" + sender + "-vtpr\n.\n" + module + "/a\n\n");
    }

    /// The node accepts the module and reads the arguments.
    /// \param connection index of the connection to the node, from 0
    /// \return that connection
    TestConnectionPtr acceptAtNode(std::size_t connection = 0) const {
        fixture_.waitUntil([&] { return fixture_.node().connections.size() > connection; });
        const auto node = fixture_.node().connections[connection];
        node->send("@RSYNCD: 30.0\nbienvenidos\n");
        awaitText(node, "bodega\n");
        CHECK(node->received.find("@RSYNCD: 28\n") == 0);
        node->send("@RSYNCD: OK\n");
        awaitText(node, "bodega/a\n\n");  // the module's name at the node
        node->clearReceived();
        return node;
    }

    void awaitText(const TestConnectionPtr& connection, const std::string& text) const {
        fixture_.waitUntil([&] { return connection->hasReceived(text); });
    }

    TestConnectionPtr client;

private:
    GatewayFixture& fixture_;
};

TestTransfer startPull(GatewayFixture& fixture, const std::string& module = "manuales") {
    return {fixture, rsync::Direction::Pull, module};
}

TestTransfer startPush(GatewayFixture& fixture) { return {fixture, rsync::Direction::Push}; }

/// Whether the other end of the connection has acknowledged all bytes.
bool hasSent(tcp::socket& socket) {
    int unacknowledged = 0;
    REQUIRE(::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0);
    return unacknowledged == 0;
}

/// Sends bytes as a new client and waits for the reply and the end of the connection.
void checkReplyAndClose(GatewayFixture& fixture, const char* request, const char* reply) {
    const auto client = fixture.rsyncClient();
    client->send(request);
    fixture.waitUntil([&] { return client->hasReceived(reply) && client->ended; }, reply);
}

/// Checks that bytes that violate the protocol end the transfer on both sides and are not forwarded.
void checkBreaksTransfer(const std::string& bytes, bool sentByNode) {
    GatewayFixture fixture;
    const auto transfer = startPull(fixture);
    const auto node = transfer.acceptAtNode();
    node->send(kSeed);
    transfer.awaitText(transfer.client, kSeed);
    (sentByNode ? node : transfer.client)->send(bytes);
    fixture.waitUntil([&] { return transfer.client->ended && node->ended; });
    CHECK(!(sentByNode ? transfer.client : node)->hasReceived(bytes));
    CHECK(fixture.rsync.counters().failed == 1);
    CHECK(fixture.node().connections.size() == 1);
}

}  // namespace

TEST_CASE("rsync front: the module list") {
    GatewayFixture fixture;
    checkReplyAndClose(fixture, "@RSYNCD: 28\n#list\n", "manuales       \tbundles\n");
    checkReplyAndClose(fixture, "@RSYNCD: 28\n\n", "@RSYNCD: EXIT\n");
    CHECK(fixture.rsync.counters().listings == 2);
}

TEST_CASE("rsync front: a malformed handshake is rejected before anything reaches a node") {
    const struct {
        const char* request;
        const char* reply;
    } cases[] = {
        {"@RSYNCD: 28\nnada\n", "@ERROR: Unknown module 'nada'\n"},
        {"@RSYNCD: 27\n", "@ERROR: protocol 28"},
        {"GET / HTTP/1.1\r\n", "@ERROR: protocol startup error\n"},
        {"@RSYNCD: 28\nmanuales\n--server\n--sender\n-z\n.\nmanuales/a\n\n", "@ERROR: -z: not an option"},
        {"@RSYNCD: 28\nmanuales\n--server\n.\nmanuales/../a\n\n", "@ERROR: manuales/../a"},
        {"@RSYNCD: 28\nlectura\n--server\n.\nlectura/a\n\n", "@ERROR: module is read only\n"},
    };
    GatewayFixture fixture;
    for (const auto& c : cases)
        checkReplyAndClose(fixture, c.request, c.reply);
    CHECK(fixture.rsync.counters().malformed == std::size(cases));
    CHECK(fixture.node().connections.empty());
    CHECK(fixture.engine.counters().received == 0);
}

TEST_CASE("rsync front: a line that does not fit into the buffer ends the connection") {
    GatewayFixture fixture;
    const auto client = fixture.rsyncClient();
    client->send(std::string(20'000, 'x'));
    fixture.waitUntil([&] { return client->ended; });
    CHECK(fixture.rsync.counters().malformed == 1);
    CHECK(fixture.node().connections.empty());
}

TEST_CASE("rsync front: a pull is forwarded both ways and completes with the client's goodbye") {
    GatewayFixture fixture;
    const auto transfer = startPull(fixture);
    const auto node = transfer.acceptAtNode();
    const auto start = kSeed + dataFrame(kFileList);
    node->send(start);
    transfer.awaitText(transfer.client, start);
    const auto noFilterRules = encodeInt(0);
    transfer.client->send(noFilterRules + kFileRequest);
    transfer.awaitText(node, noFilterRules + kFileRequest);
    const auto rest = dataFrame(kDelta.substr(0, kMiddleOfDelta)) +
                      rsync::encodeFrame(rsync::FrameTag::Info, "a\n") +
                      dataFrame(kDelta.substr(kMiddleOfDelta) + kEndOfBothPhases + kTotals);
    node->send(rest);
    transfer.awaitText(transfer.client, rest);
    CHECK(fixture.engine.openRequests() == 1);  // the goodbye is still to come
    transfer.client->send(kEndOfBothPhases + kGoodbye);
    fixture.waitUntil(
        [&] { return node->hasReceived(kEndOfBothPhases + kGoodbye) && transfer.client->ended; });
    CHECK(fixture.rsync.counters().completed == 1);
    CHECK(fixture.engine.counters().total().delivered == 1);
}

TEST_CASE("rsync front: a push is forwarded both ways and completes when the client has the node's goodbye") {
    GatewayFixture fixture;
    const auto transfer = startPush(fixture);
    const auto node = transfer.acceptAtNode();
    node->send(kSeed);
    transfer.awaitText(transfer.client, kSeed);
    transfer.client->send(kFileList);
    transfer.awaitText(node, kFileList);
    node->send(dataFrame(kFileRequest));
    transfer.awaitText(transfer.client, kFileRequest);
    transfer.client->send(kDelta + kEndOfBothPhases);
    transfer.awaitText(node, kDelta + kEndOfBothPhases);
    node->send(dataFrame(kEndOfBothPhases + kGoodbye));
    fixture.waitUntil(
        [&] { return transfer.client->hasReceived(kEndOfBothPhases + kGoodbye) && transfer.client->ended; });
    CHECK(fixture.rsync.counters().completed == 1);
}

TEST_CASE("rsync front: a transfer continues while its node drains, and a reset after that is a failure") {
    auto config = testConfig();
    config.settings.drainGraceUs = 0;
    GatewayFixture fixture(std::move(config));
    const auto transfer = startPull(fixture);
    const auto node = transfer.acceptAtNode();
    node->send(kSeed + dataFrame(kFileList));
    transfer.awaitText(transfer.client, kFileList);
    fixture.announceNodeState("s-0", "draining");
    const auto newTransfer = startPull(fixture, "breve");  // a draining node gets no new requests
    const auto more = dataFrame(kDelta.substr(0, kMiddleOfDelta));
    node->send(more);
    transfer.awaitText(transfer.client, more);
    node->reset();
    fixture.waitUntil([&] { return transfer.client->ended; });
    CHECK(!transfer.client->hasReceived(kTotals));
    fixture.waitUntil([&] { return newTransfer.client->ended; });
    CHECK(newTransfer.client->hasReceived("@ERROR: busy, come back in "));
    CHECK(fixture.node().connections.size() == 1);  // response bytes were forwarded: no retry
    CHECK(fixture.rsync.counters().failed == 1);
    CHECK(fixture.rsync.counters().rejected == 1);
    CHECK(fixture.engine.openRequests() == 0);
}

TEST_CASE(
    "rsync front: a push that may have been executed is retried in the same cell if no response byte came") {
    GatewayFixture fixture(testConfig(), 2);
    const auto transfer = startPush(fixture);
    transfer.acceptAtNode()->reset();  // after the arguments: the node may have executed it
    const auto retry = transfer.acceptAtNode(1);
    CHECK(fixture.outcomes(Outcome::Reset) == 1);
    CHECK(fixture.node(1).connections.empty());  // a node of another cell does not know the idempotency key
    retry->send(kSeed);
    transfer.awaitText(transfer.client, kSeed);
    transfer.client->send(kFileList + kEndOfBothPhases);
    transfer.awaitText(retry, kFileList + kEndOfBothPhases);
    retry->send(dataFrame(kEndOfBothPhases + kGoodbye));
    fixture.waitUntil([&] { return fixture.rsync.counters().completed == 1; });
}

TEST_CASE("rsync front: a push that may have been executed is not retried after its idempotency window") {
    auto config = testConfig();
    config.settings.classes[1].keyWindowUs = 1;
    GatewayFixture fixture(std::move(config));
    const auto transfer = startPush(fixture);
    transfer.acceptAtNode()->reset();
    fixture.waitUntil([&] { return transfer.client->ended; });
    // It may have been executed, so it is not a rejection.
    CHECK(transfer.client->hasReceived("@ERROR: the transfer failed\n"));
    CHECK(fixture.node().connections.size() == 1);
}

TEST_CASE("rsync front: a transfer that a node rejects was not executed and is retried on a new connection") {
    GatewayFixture fixture;
    const auto transfer = startPull(fixture);
    fixture.waitUntil([&] { return fixture.node().connections.size() == 1; });
    fixture.node().connections[0]->send(
        "@RSYNCD: 30.0\n@ERROR: max connections (4) reached -- try again later\n");
    transfer.acceptAtNode(1);
    CHECK(fixture.outcomes(Outcome::Rejected) == 1);
    CHECK(fixture.outcomes(Outcome::Reset) == 0);
}

TEST_CASE(
    "rsync front: a missed deadline sends an error before the stream, and closes the connection within it") {
    GatewayFixture fixture;
    const auto waiting = startPull(fixture, "breve");
    const auto streaming = startPull(fixture, "breve");
    const auto first = waiting.acceptAtNode(0);
    const auto second = streaming.acceptAtNode(1);
    second->send(kSeed + dataFrame(kFileList));
    fixture.waitUntil(
        [&] { return streaming.client->ended && waiting.client->ended && first->ended && second->ended; });
    CHECK(fixture.outcomes(Outcome::Timeout) == 2);
    CHECK(waiting.client->hasReceived("@ERROR: "));
    CHECK(!streaming.client->hasReceived("@ERROR: "));
    CHECK(fixture.engine.openRequests() == 0);
}

TEST_CASE("rsync front: frames of a node that violate the protocol end the transfer and are not forwarded") {
    const auto unknownTag = rsync::encodeFrame(static_cast<rsync::FrameTag>(50), "x");
    const auto nameTooLong = dataFrame(std::string("\x42", 1) + encodeInt(9999));
    const auto headerWithoutTag = encodeInt(3);
    for (const auto& bytes : {unknownTag, nameTooLong, headerWithoutTag})
        checkBreaksTransfer(bytes, true);
}

TEST_CASE(
    "rsync front: a client's stream that violates the protocol ends the transfer and is not forwarded") {
    const auto filterRuleTooLong = encodeInt(-9);
    checkBreaksTransfer(filterRuleTooLong, false);
}

TEST_CASE("rsync front: a client's disconnection closes the node's connection, without a retry") {
    GatewayFixture fixture;
    const auto transfer = startPull(fixture);
    const auto node = transfer.acceptAtNode();
    transfer.client->close();
    fixture.waitUntil([&] { return node->ended; });
    CHECK(fixture.rsync.counters().disconnected == 1);
    CHECK(fixture.engine.openRequests() == 0);
    CHECK(fixture.node().connections.size() == 1);
}

// Guards against transfers that SIGKILL cuts off.
TEST_CASE("rsync front: a transfer that is requested in a shutdown ends when the last responses are due") {
    GatewayFixture fixture;
    fixture.rsync.setResponseDeadline(fixture.engine.now() + 300'000);
    const auto since = std::chrono::steady_clock::now();
    const auto transfer = startPull(fixture);  // its module allows 2 s
    const auto node = transfer.acceptAtNode();
    node->send(kSeed + dataFrame(kFileList));
    transfer.awaitText(transfer.client, kFileList);
    fixture.waitUntil([&] { return transfer.client->ended && node->ended; });
    CHECK(std::chrono::steady_clock::now() - since < std::chrono::milliseconds(1500));
    CHECK(fixture.rsync.counters().failed == 1);
}

// Guards against a push that a node completes long after its client left.
TEST_CASE("rsync front: what a node has not read of a push is not delivered after the client disconnected") {
    GatewayFixture fixture;
    StalledNode stalled(fixture);
    const auto transfer = startPush(fixture);
    const auto node = startConnection(stalled.nextConnection());
    node->send("@RSYNCD: 30.0\n");
    transfer.awaitText(node, "bodega\n");
    node->send("@RSYNCD: OK\n");
    transfer.awaitText(node, "bodega/a\n\n");
    node->send(kSeed);
    transfer.awaitText(transfer.client, kSeed);
    node->socket.cancel();  // the node reads no further
    fixture.waitUntil([&] { return node->ended; });
    std::string fileList;
    for (int i = 0; i < 1000; ++i)
        fileList += kFileEntry;
    transfer.client->send(fileList + kEndOfFileList + kNoIoErrors);
    fixture.waitUntil([&] { return hasSent(transfer.client->socket); });
    transfer.client->close();
    fixture.waitUntil([&] { return fixture.outcomes(Outcome::Cancelled) == 1; });
    node->clearReceived();
    node->ended = false;
    node->start();
    fixture.waitUntil([&] { return node->ended; });
    CHECK(node->endedWith == asio::error::connection_reset);
    CHECK(node->received.size() < fileList.size());
}

TEST_CASE("rsync front: a volume's limit is shared with the platform's front") {
    constexpr int kTransfers = 14;
    GatewayFixture fixture;
    LimitedVolumeLoad spent(fixture);  // by the platform's clients
    // Transfers of the same volume follow; the node sends each of its streams at once.
    fixture.node().onConnection = [](TestConnection& connection) {
        connection.send("@RSYNCD: 28\n@RSYNCD: OK\n" + kSeed +
                        dataFrame(kEndOfFileList + kNoIoErrors + kEndOfBothPhases + kTotals));
    };
    std::vector<TestConnectionPtr> clients;
    for (int i = 0; i < kTransfers; ++i) {
        clients.push_back(fixture.rsyncClient());
        clients.back()->send("@RSYNCD: 28\ngrande\n--server\n--sender\n-r\n.\ngrande/a\n\n" + encodeInt(0) +
                             kEndOfBothPhases + kGoodbye);
    }
    fixture.waitUntil(
        [&] { return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->ended; }); });
    const auto& counters = fixture.rsync.counters();
    CHECK(counters.completed + counters.rejected == clients.size());
    CHECK(counters.rejected > 0);  // a separate limit for rsync would have admitted most of them
    spent.units += static_cast<double>(counters.completed) * LimitedVolumeLoad::kUnits;
    CHECK(spent.units <= spent.allowed());
    for (const auto& client : clients)
        CHECK((client->hasReceived(kTotals) || client->hasReceived("@ERROR: busy, come back in ")));
}
