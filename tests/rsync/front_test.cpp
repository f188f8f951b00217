/// \file
/// The rsync front on sockets, between clients and nodes whose every byte the tests send.
#include "rsync/front.h"

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

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

const std::string kSeed = encodeInt(7);
const std::string kFileList = kFileEntry + kEndOfFileList + kNoIoErrors;
const std::string kOneBlock = encodeChecksumHead(1, 700, 2, 5);
/// The generator wants file 0 and holds one block of it.
const std::string kWantedFile = encodeInt(0) + kOneBlock + std::string(6, 'q');
/// The delta of file 0: block 0, then three literal bytes.
const std::string kDelta = encodeInt(0) + kOneBlock + encodeInt(-1) + encodeInt(3) + "xyz" + kEndOfDelta;
/// Where the tests cut a delta in two, inside of its literal bytes.
constexpr std::size_t kMiddleOfDelta = 25;
const std::string kTotals = encodeInt(1) + encodeInt(2) + encodeInt(3);

std::string dataFrame(std::string_view payload) { return rsync::encodeFrame(rsync::FrameTag::Data, payload); }

/// A client that asked for a transfer, and the node that runs it.
class TransferDialogue {
public:
    TransferDialogue(Rig& rig, rsync::Direction direction, const std::string& module = "manuales")
        : client(rig.rsyncClient()), rig_(rig) {
        client->say("@RSYNCD: 31.0 md5\n" + module + "\n");
        awaitText(client, "@RSYNCD: OK\n");
        CHECK(client->got.find("@RSYNCD: 28\n") == 0);
        client->drop();
        const std::string sender = direction == rsync::Direction::Pull ? "--sender\n" : "";
        client->say("--server\n" + sender + "-vtpr\n.\n" + module + "/a\n\n");
    }

    /// The node accepts the module and reads the arguments.
    /// \param connection which of the connections to the node, counted from 0
    /// \return that connection
    WirePtr acceptAtNode(std::size_t connection = 0) const {
        rig_.until([&] { return rig_.node().wires.size() > connection; });
        const auto node = rig_.node().wires[connection];
        node->say("@RSYNCD: 30.0\nbienvenidos\n");
        awaitText(node, "bodega\n");
        CHECK(node->got.find("@RSYNCD: 28\n") == 0);
        node->say("@RSYNCD: OK\n");
        awaitText(node, "bodega/a\n\n");  // the module's name at the node
        node->drop();
        return node;
    }

    void awaitText(const WirePtr& wire, const std::string& text) const {
        rig_.until([&] { return wire->has(text); });
    }

    WirePtr client;

private:
    Rig& rig_;
};

TransferDialogue startPull(Rig& rig, const std::string& module = "manuales") {
    return {rig, rsync::Direction::Pull, module};
}

TransferDialogue startPush(Rig& rig) { return {rig, rsync::Direction::Push}; }

/// Says something as a new client and waits for the answer and the end of the connection.
void checkAnsweredAndClosed(Rig& rig, const char* says, const char* answer) {
    const auto client = rig.rsyncClient();
    client->say(says);
    rig.until([&] { return client->has(answer) && client->ended; }, answer);
}

/// Bytes that break a stream end the transfer at both sides and are not forwarded.
void checkBreaksTransfer(const std::string& bytes, bool sentByNode) {
    Rig rig;
    const auto transfer = startPull(rig);
    const auto node = transfer.acceptAtNode();
    node->say(kSeed);
    transfer.awaitText(transfer.client, kSeed);
    (sentByNode ? node : transfer.client)->say(bytes);
    rig.until([&] { return transfer.client->ended && node->ended; });
    CHECK(!(sentByNode ? transfer.client : node)->has(bytes));
    CHECK(rig.rsync.counters().failed == 1);
    CHECK(rig.node().wires.size() == 1);
}

}  // namespace

TEST_CASE("rsync front: the module list") {
    Rig rig;
    checkAnsweredAndClosed(rig, "@RSYNCD: 28\n#list\n", "manuales       \tbundles\n");
    checkAnsweredAndClosed(rig, "@RSYNCD: 28\n\n", "@RSYNCD: EXIT\n");
    CHECK(rig.rsync.counters().listings == 2);
}

TEST_CASE("rsync front: a malformed handshake is rejected before anything reaches a node") {
    const struct {
        const char* says;
        const char* answer;
    } cases[] = {
        {"@RSYNCD: 28\nnada\n", "@ERROR: Unknown module 'nada'\n"},
        {"@RSYNCD: 27\n", "@ERROR: protocol 28"},
        {"GET / HTTP/1.1\r\n", "@ERROR: protocol startup error\n"},
        {"@RSYNCD: 28\nmanuales\n--server\n--sender\n-z\n.\nmanuales/a\n\n", "@ERROR: -z: not an option"},
        {"@RSYNCD: 28\nmanuales\n--server\n.\nmanuales/../a\n\n", "@ERROR: manuales/../a"},
        {"@RSYNCD: 28\nlectura\n--server\n.\nlectura/a\n\n", "@ERROR: module is read only\n"},
    };
    Rig rig;
    for (const auto& c : cases)
        checkAnsweredAndClosed(rig, c.says, c.answer);
    CHECK(rig.rsync.counters().malformed == std::size(cases));
    CHECK(rig.node().wires.empty());
    CHECK(rig.engine.counters().received == 0);
}

TEST_CASE("rsync front: a line that does not fit the buffer ends the connection") {
    Rig rig;
    const auto client = rig.rsyncClient();
    client->say(std::string(20'000, 'x'));
    rig.until([&] { return client->ended; });
    CHECK(rig.rsync.counters().malformed == 1);
    CHECK(rig.node().wires.empty());
}

TEST_CASE("rsync front: a pull is forwarded both ways and completes with the client's goodbye") {
    Rig rig;
    const auto transfer = startPull(rig);
    const auto node = transfer.acceptAtNode();
    const auto start = kSeed + dataFrame(kFileList);
    node->say(start);
    transfer.awaitText(transfer.client, start);
    const auto noFilterRules = encodeInt(0);
    transfer.client->say(noFilterRules + kWantedFile);
    transfer.awaitText(node, noFilterRules + kWantedFile);
    const auto rest = dataFrame(kDelta.substr(0, kMiddleOfDelta)) +
                      rsync::encodeFrame(rsync::FrameTag::Info, "a\n") +
                      dataFrame(kDelta.substr(kMiddleOfDelta) + kBothPhases + kTotals);
    node->say(rest);
    transfer.awaitText(transfer.client, rest);
    CHECK(rig.engine.openRequests() == 1);  // the goodbye is still to come
    transfer.client->say(kBothPhases + kGoodbye);
    rig.until([&] { return node->has(kBothPhases + kGoodbye) && transfer.client->ended; });
    CHECK(rig.rsync.counters().completed == 1);
    CHECK(rig.engine.counters().total().delivered == 1);
}

TEST_CASE("rsync front: a push is forwarded both ways and completes when the client has the node's goodbye") {
    Rig rig;
    const auto transfer = startPush(rig);
    const auto node = transfer.acceptAtNode();
    node->say(kSeed);
    transfer.awaitText(transfer.client, kSeed);
    transfer.client->say(kFileList);
    transfer.awaitText(node, kFileList);
    node->say(dataFrame(kWantedFile));
    transfer.awaitText(transfer.client, kWantedFile);
    transfer.client->say(kDelta + kBothPhases);
    transfer.awaitText(node, kDelta + kBothPhases);
    node->say(dataFrame(kBothPhases + kGoodbye));
    rig.until([&] { return transfer.client->has(kBothPhases + kGoodbye) && transfer.client->ended; });
    CHECK(rig.rsync.counters().completed == 1);
}

TEST_CASE("rsync front: a transfer continues while its node drains, and a cut after that is a failure") {
    auto config = testConfig();
    config.settings.drainGraceUs = 0;
    Rig rig(std::move(config));
    const auto transfer = startPull(rig);
    const auto node = transfer.acceptAtNode();
    node->say(kSeed + dataFrame(kFileList));
    transfer.awaitText(transfer.client, kFileList);
    rig.tellState("s-0", "draining");
    const auto newTransfer = startPull(rig, "breve");  // a draining node gets no new requests
    const auto more = dataFrame(kDelta.substr(0, kMiddleOfDelta));
    node->say(more);
    transfer.awaitText(transfer.client, more);
    node->reset();
    rig.until([&] { return transfer.client->ended; });
    CHECK(!transfer.client->has(kTotals));
    rig.until([&] { return newTransfer.client->ended; });
    CHECK(newTransfer.client->has("@ERROR: busy, come back in "));
    CHECK(rig.node().wires.size() == 1);  // response bytes were forwarded: no retry
    CHECK(rig.rsync.counters().failed == 1);
    CHECK(rig.rsync.counters().rejected == 1);
    CHECK(rig.engine.openRequests() == 0);
}

TEST_CASE("rsync front: a push that may have run is retried in the same cell, if nothing was answered") {
    Rig rig(testConfig(), 2);
    const auto transfer = startPush(rig);
    transfer.acceptAtNode()->reset();  // after the arguments: it may have run
    const auto retry = transfer.acceptAtNode(1);
    CHECK(rig.outcomes(Outcome::Reset) == 1);
    CHECK(rig.node(1).wires.empty());  // in another cell the idempotency key is not known
    retry->say(kSeed);
    transfer.awaitText(transfer.client, kSeed);
    transfer.client->say(kFileList + kBothPhases);
    transfer.awaitText(retry, kFileList + kBothPhases);
    retry->say(dataFrame(kBothPhases + kGoodbye));
    rig.until([&] { return rig.rsync.counters().completed == 1; });
}

TEST_CASE("rsync front: a push that may have run is not retried after its idempotency window") {
    auto config = testConfig();
    config.settings.classes[1].keyWindowUs = 1;
    Rig rig(std::move(config));
    const auto transfer = startPush(rig);
    transfer.acceptAtNode()->reset();
    rig.until([&] { return transfer.client->ended; });
    CHECK(transfer.client->has("@ERROR: the transfer failed\n"));  // it may have run: not a rejection
    CHECK(rig.node().wires.size() == 1);
}

TEST_CASE("rsync front: a transfer that a node rejects never ran and is retried on a new connection") {
    Rig rig;
    const auto transfer = startPull(rig);
    rig.until([&] { return rig.node().wires.size() == 1; });
    rig.node().wires[0]->say("@RSYNCD: 30.0\n@ERROR: max connections (4) reached -- try again later\n");
    transfer.acceptAtNode(1);
    CHECK(rig.outcomes(Outcome::Rejected) == 1);
    CHECK(rig.outcomes(Outcome::Reset) == 0);
}

TEST_CASE("rsync front: a deadline is an error message before the stream and a cut within it") {
    Rig rig;
    const auto waiting = startPull(rig, "breve");
    const auto streaming = startPull(rig, "breve");
    const auto first = waiting.acceptAtNode(0);
    const auto second = streaming.acceptAtNode(1);
    second->say(kSeed + dataFrame(kFileList));
    rig.until(
        [&] { return streaming.client->ended && waiting.client->ended && first->ended && second->ended; });
    CHECK(rig.outcomes(Outcome::Timeout) == 2);
    CHECK(waiting.client->has("@ERROR: "));
    CHECK(!streaming.client->has("@ERROR: "));
    CHECK(rig.engine.openRequests() == 0);
}

TEST_CASE("rsync front: frames of a node that break the protocol end the transfer and are not forwarded") {
    const auto unknownTag = rsync::encodeFrame(static_cast<rsync::FrameTag>(50), "x");
    const auto nameTooLong = dataFrame(std::string("\x42", 1) + encodeInt(9999));
    const auto headerWithoutTag = encodeInt(3);
    for (const auto& bytes : {unknownTag, nameTooLong, headerWithoutTag})
        checkBreaksTransfer(bytes, true);
}

TEST_CASE("rsync front: a client's stream that breaks the protocol ends the transfer and is not forwarded") {
    const auto filterRuleTooLong = encodeInt(-9);
    checkBreaksTransfer(filterRuleTooLong, false);
}

TEST_CASE("rsync front: a client's disconnection closes the node's connection, without a retry") {
    Rig rig;
    const auto transfer = startPull(rig);
    const auto node = transfer.acceptAtNode();
    transfer.client->close();
    rig.until([&] { return node->ended; });
    CHECK(rig.rsync.counters().disconnected == 1);
    CHECK(rig.engine.openRequests() == 0);
    CHECK(rig.node().wires.size() == 1);
}

TEST_CASE("rsync front: a volume's limit is shared with the platform's front") {
    constexpr int kTransfers = 14;
    Rig rig;
    Spending spent(rig);  // by the platform's clients
    // Transfers of the same volume follow, each with all of its bytes at once.
    rig.node().greets = [](Wire& wire) {
        wire.say("@RSYNCD: 28\n@RSYNCD: OK\n" + kSeed +
                 dataFrame(kEndOfFileList + kNoIoErrors + kBothPhases + kTotals));
    };
    std::vector<WirePtr> clients;
    for (int i = 0; i < kTransfers; ++i) {
        clients.push_back(rig.rsyncClient());
        clients.back()->say("@RSYNCD: 28\ngrande\n--server\n--sender\n-r\n.\ngrande/a\n\n" + encodeInt(0) +
                            kBothPhases + kGoodbye);
    }
    rig.until(
        [&] { return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->ended; }); });
    const auto& counters = rig.rsync.counters();
    CHECK(counters.completed + counters.rejected == clients.size());
    CHECK(counters.rejected > 0);  // a limit of its own would have admitted most of them
    spent.units += static_cast<double>(counters.completed) * Spending::kUnits;
    CHECK(spent.units <= spent.allowed());
    for (const auto& client : clients)
        CHECK((client->has(kTotals) || client->has("@ERROR: busy, come back in ")));
}
