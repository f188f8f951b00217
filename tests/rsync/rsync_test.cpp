// The rsync front on real sockets, between a client and nodes that the tests drive word by word.
#include "support/net_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

std::string int32(std::int32_t v) {
    std::string out;
    for (int i = 0; i < 4; ++i)
        out += static_cast<char>(std::uint32_t(v) >> (8 * i) & 255);
    return out;
}

const std::string kSeed = int32(7);
const std::string kList =
    std::string("\x01\x01") + "a" + int32(5) + int32(100) + int32(0100644) + std::string(1, '\0') + int32(0);
const std::string kSums = int32(1) + int32(700) + int32(2) + int32(5);
const std::string kWanted = int32(0) + kSums + std::string(6, 'q');  // one block's sums
// A block that the other side holds, three new bytes, the sum of the file.
const std::string kDelta = int32(0) + kSums + int32(-1) + int32(3) + "xyz" + int32(0) + std::string(16, 's');
const std::string kPhases = int32(-1) + int32(-1);
const std::string kTotals = int32(1) + int32(2) + int32(3);

struct Transfer {
    explicit Transfer(Rig& rig, const std::string& module = "manuales", bool pull = true)
        : rig(rig), client(rig.rsyncClient()) {
        client->say("@RSYNCD: 31.0 md5\n" + module + "\n");
        rig.until([&] { return client->has("@RSYNCD: OK\n"); });
        CHECK(client->got.find("@RSYNCD: 28\n") == 0);
        client->drop();
        client->say(std::string("--server\n") + (pull ? "--sender\n" : "") + "-vtpr\n.\n" + module +
                    "/a\n\n");
    }
    // The node's side up to the arguments; its connection.
    WirePtr accept(std::size_t connection = 0) {
        rig.until([&] { return rig.node().wires.size() > connection; });
        const auto node = rig.node().wires[connection];
        node->say("@RSYNCD: 30.0\nbienvenidos\n");
        rig.until([&] { return node->has("bodega\n"); });
        CHECK(node->got.find("@RSYNCD: 28\n") == 0);
        node->say("@RSYNCD: OK\n");
        rig.until([&] { return node->has("bodega/a\n\n"); });  // the node's own name of the module
        node->drop();
        return node;
    }
    void saw(const WirePtr& wire, const std::string& text) {
        rig.until([&] { return wire->has(text); });
    }
    Rig& rig;
    WirePtr client;
};

}  // namespace

TEST_CASE("the module list and what is wrong before a transfer") {
    const struct {
        const char *says, *answer;
    } cases[] = {
        {"@RSYNCD: 28\n#list\n", "manuales       \tbundles\n"},
        {"@RSYNCD: 28\n\n", "@RSYNCD: EXIT\n"},
        {"@RSYNCD: 28\nnada\n", "@ERROR: Unknown module 'nada'\n"},
        {"@RSYNCD: 27\n", "@ERROR: protocol 28"},
        {"GET / HTTP/1.1\r\n", "@ERROR: protocol startup error\n"},
        {"@RSYNCD: 28\nmanuales\n--server\n--sender\n-z\n.\nmanuales/a\n\n", "@ERROR: -z: not an option"},
        {"@RSYNCD: 28\nmanuales\n--server\n.\nmanuales/../a\n\n", "@ERROR: manuales/../a"},
        {"@RSYNCD: 28\nlectura\n--server\n.\nlectura/a\n\n", "@ERROR: module is read only\n"},
    };
    Rig rig;
    for (const auto& c : cases) {
        const auto client = rig.rsyncClient();
        client->say(c.says);
        rig.until([&] { return client->has(c.answer) && client->ended; }, c.answer);
    }
    const auto flood = rig.rsyncClient();
    flood->say(std::string(20'000, 'x'));
    rig.until([&] { return flood->ended; });
    CHECK(rig.node().wires.empty());
    CHECK(rig.engine.counters().taken == 0);
}

TEST_CASE("a pull: both directions relayed to the end, then one final answer: completed") {
    Rig rig;
    Transfer t(rig);
    const auto node = t.accept();
    const auto start = kSeed + rsync::frame(0, kList);
    node->say(start);
    t.saw(t.client, start);
    t.client->say(int32(0) + kWanted);
    t.saw(node, int32(0) + kWanted);
    const auto rest = rsync::frame(0, kDelta.substr(0, 25)) + rsync::frame(2, "a\n") +
                      rsync::frame(0, kDelta.substr(25) + kPhases + kTotals);
    node->say(rest);
    t.saw(t.client, rest);
    CHECK(rig.engine.openRequests() == 1);  // the goodbye is still to come
    t.client->say(kPhases + int32(-1));
    rig.until([&] { return node->has(kPhases + int32(-1)) && t.client->ended; });
    CHECK(rig.rsync.counters().completed == 1);
    CHECK(rig.engine.counters().all().delivered == 1);
}

TEST_CASE("a push: deltas relayed, completed when the node's goodbye is with the client") {
    Rig rig;
    Transfer t(rig, "manuales", false);
    const auto node = t.accept();
    node->say(kSeed);
    t.saw(t.client, kSeed);
    t.client->say(kList);
    t.saw(node, kList);
    node->say(rsync::frame(0, kWanted));
    t.saw(t.client, kWanted);
    t.client->say(kDelta + kPhases);
    t.saw(node, kDelta + kPhases);
    node->say(rsync::frame(0, kPhases + int32(-1)));
    rig.until([&] { return t.client->has(kPhases + int32(-1)) && t.client->ended; });
    CHECK(rig.rsync.counters().completed == 1);
}

TEST_CASE(
    "cut halfway while its node drains: it went on past the drain, and the cut is a failure that shows") {
    auto config = baseConfig();
    config.settings.drainGraceUs = 0;
    Rig rig(std::move(config));
    Transfer t(rig);
    const auto node = t.accept();
    node->say(kSeed + rsync::frame(0, kList));
    t.saw(t.client, kList);
    rig.tellState("s-0", "draining");
    Transfer second(rig, "breve");  // nothing new goes there
    const auto more = rsync::frame(0, kDelta.substr(0, 25));
    node->say(more);  // what runs may end
    t.saw(t.client, more);
    node->reset();
    rig.until([&] { return t.client->ended; });
    CHECK(!t.client->has(kTotals));
    rig.until([&] { return second.client->ended; });
    CHECK(second.client->has("@ERROR: busy, come back in "));
    CHECK(rig.node().wires.size() == 1);  // answer bytes were out: no resend
    CHECK(rig.rsync.counters().failed == 1);
    CHECK(rig.rsync.counters().refused == 1);
    CHECK(rig.engine.openRequests() == 0);
}

TEST_CASE(
    "a resent block: a push that may have run goes again to the same cell, as nothing of it was answered") {
    Rig rig(baseConfig(), 2);
    Transfer t(rig, "manuales", false);
    t.accept()->reset();  // after the arguments: it may have run
    const auto again = t.accept(1);
    CHECK(rig.outcomes(Outcome::Reset) == 1);
    CHECK(rig.node(1).wires.empty());  // another cell does not know the key
    again->say(kSeed);
    t.saw(t.client, kSeed);
    t.client->say(kList + kPhases);
    t.saw(again, kList + kPhases);
    again->say(rsync::frame(0, kPhases + int32(-1)));
    rig.until([&] { return rig.rsync.counters().completed == 1; });
}

TEST_CASE("a push that may have run is not resent once its window is over") {
    auto config = baseConfig();
    config.settings.classes[1].keyWindowUs = 1;
    Rig rig(std::move(config));
    Transfer t(rig, "manuales", false);
    t.accept()->reset();
    rig.until([&] { return t.client->ended; });
    CHECK(t.client->has("@ERROR: the transfer failed\n"));  // it may have run: not a refusal
    CHECK(rig.node().wires.size() == 1);
}

TEST_CASE("a node that turns a transfer away never ran it: tried again, on a new connection") {
    Rig rig;
    Transfer t(rig);
    rig.until([&] { return rig.node().wires.size() == 1; });
    rig.node().wires[0]->say("@RSYNCD: 30.0\n@ERROR: max connections (4) reached -- try again later\n");
    t.accept(1);
    CHECK(rig.outcomes(Outcome::Rejected) == 1);
    CHECK(rig.outcomes(Outcome::Reset) == 0);
}

TEST_CASE("a deadline: before the stream an error that says so, within it a cut") {
    Rig rig;
    Transfer silent(rig, "breve"), halfway(rig, "breve");
    const auto first = silent.accept(0), second = halfway.accept(1);
    second->say(kSeed + rsync::frame(0, kList));
    WirePtr streaming = halfway.client, waiting = silent.client;
    rig.until([&] { return streaming->ended && waiting->ended && first->ended && second->ended; });
    CHECK(rig.outcomes(Outcome::Timeout) == 2);
    CHECK(waiting->has("@ERROR: "));
    CHECK(!streaming->has("@ERROR: "));  // mid-stream the cut itself says it
    CHECK(rig.engine.openRequests() == 0);
}

TEST_CASE("broken frames and streams end the transfer and are not passed on") {
    const struct {
        std::string bytes;
        bool fromNode;
    } cases[] = {
        {rsync::frame(50, "x"), true},
        {rsync::frame(0, std::string("\x42", 1) + int32(9999)), true},
        {int32(3), true},
        {int32(-9), false},  // the length of a filter rule
    };
    for (const auto& c : cases) {
        Rig rig;
        Transfer t(rig);
        const auto node = t.accept();
        node->say(kSeed);
        t.saw(t.client, kSeed);
        (c.fromNode ? node : t.client)->say(c.bytes);
        rig.until([&] { return t.client->ended && node->ended; });
        CHECK(!(c.fromNode ? t.client : node)->has(c.bytes));
        CHECK(rig.rsync.counters().failed == 1);
        CHECK(rig.node().wires.size() == 1);
    }
}

TEST_CASE("a client that leaves: the node's connection is closed and nothing is tried again") {
    Rig rig;
    Transfer t(rig);
    const auto node = t.accept();
    t.client->close();
    rig.until([&] { return node->ended; });
    CHECK(rig.rsync.counters().disconnected == 1);
    CHECK(rig.engine.openRequests() == 0);
    CHECK(rig.node().wires.size() == 1);
}

TEST_CASE("one limit is shared by both fronts") {
    Rig rig;
    Spending spent(rig);  // by the platform's clients
    // Now transfers of the same volume, each with all of its words at once.
    rig.node().greets = [](Wire& wire) {
        wire.say("@RSYNCD: 28\n@RSYNCD: OK\n" + kSeed +
                 rsync::frame(0, std::string(1, '\0') + int32(0) + kPhases + kTotals));
    };
    std::vector<WirePtr> clients;
    for (int i = 0; i < 14; ++i) {
        clients.push_back(rig.rsyncClient());
        clients.back()->say("@RSYNCD: 28\ngrande\n--server\n--sender\n-r\n.\ngrande/a\n\n" + int32(0) +
                            kPhases + int32(-1));
    }
    rig.until(
        [&] { return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->ended; }); });
    const auto& c = rig.rsync.counters();
    CHECK(c.completed + c.refused == clients.size());
    CHECK(c.refused > 0);  // a store of its own would have held most of them
    spent.units += double(c.completed) * Spending::kUnits;
    CHECK(spent.units <= spent.allowed());
    for (const auto& client : clients)
        CHECK((client->has(kTotals) || client->has("@ERROR: busy, come back in ")));
}
