/// \file
/// Compatibility with earlier versions: files on disk, and datagrams of hosts that are not upgraded yet. Each
/// golden file under data/ was written by an earlier version. The tests read it and check its effects, and
/// encoding the same values must give the same bytes.
///
/// golden_file.h says how to rewrite the files.
#include <doctest/doctest.h>

#include "core/reducer.h"
#include "fleet/restart_recovery.h"
#include "golden/golden_file.h"
#include "hot_restart/snapshot.h"
#include "policy/peer_message.h"
#include "support/policy_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

constexpr int kHosts = 3;
constexpr Micros kBegin = 100 * kSecond;
constexpr Micros kSnapshotAt = kBegin + 12 * kSecond;

/// Compares the bytes with a golden file of one line of hexadecimal digits, or rewrites the file.
/// \return the bytes of the file
std::string goldenBytes(const std::string& name, const std::string& bytes) {
    const std::string path = "data/" + name;
    CHECK_MESSAGE(differenceFromGoldenFile(path, {hexOf(bytes)}).empty(), path);
    const std::string text = readGoldenFile(path);
    return bytesOfHex(text.substr(0, text.find('\n')));
}

// ---- snapshot and overrides

std::vector<NodeInfo> listedNodes() {
    return {node("a", 0), node("b", 1), node("c", 1, NodeState::Draining),
            node("d", 0, NodeState::Ready, kBegin + 9 * kSecond)};
}

/// The reducer's state of one host.
struct RunningState {
    RunningState() : state(settings(0, kHosts), core::AttemptLimits{250 * kMs}, kBegin) {}
    /// Reduces a batch of one input.
    core::Effects reduce(Micros now, core::Input input) {
        auto effects = core::reduce(state, now, std::move(input));
        for (auto& effect : core::reduce(state, now, core::BatchEnded{}))
            effects.push_back(std::move(effect));
        return effects;
    }
    core::FrontState state;
};

/// The snapshot of a host that ran for twelve seconds: leases, latencies, a drained node, a node in slow
/// start and open requests.
hot_restart::Snapshot constructedSnapshot() {
    RunningState host;
    host.reduce(kBegin, EndpointListReceived{nodes(listedNodes())});
    RequestId id = 0;
    const auto answer = [&](Micros now, const core::Effects& effects) {
        for (const auto& effect : effects)
            if (const auto* start = std::get_if<core::StartAttempt>(&effect); start && start->id % 70 != 0)
                host.reduce(now,
                            core::AttemptFinished{start->id, start->attempt, Outcome::Ok, 0, 0, {}, false});
    };
    for (Micros now = kBegin + 10 * kMs; now < kSnapshotAt; now += 10 * kMs) {
        answer(now, host.reduce(now, core::TimerExpired{}));
        if (now % (40 * kMs) != 0) continue;
        const int number = static_cast<int>(++id);
        answer(now, host.reduce(now, RequestReceived{request(id, number % 4, number % 2, now, 1 + number % 5,
                                                             number % 2, kHosts)}));
    }
    const auto volume = peer::hashOf("vol-limited");
    std::string message = peer::header(7'001);
    peer::append(message, peer::UsageReport{3'000, true, {80}, peer::EncodedWait::of(4'000), 2, 0});
    peer::append(message, peer::LeaseRequest{volume, 2, 20'001});
    peer::append(message, peer::MembershipNotice{std::uint32_t(volume), HostIndex(1)});
    host.reduce(kSnapshotAt, PeerMessageReceived{HostIndex(1), message});
    host.reduce(kSnapshotAt, core::AdminOverrideChanged{"b", {true, kSnapshotAt}});
    hot_restart::Snapshot snapshot;
    snapshot.gatewayName = "front-0";
    snapshot.takenAt = kSnapshotAt;
    snapshot.engine.core = core::takeSnapshot(host.state, kSnapshotAt);
    for (std::uint16_t port = 8'001; snapshot.engine.addresses.size() < snapshot.engine.core.endpoints.size();
         ++port)
        snapshot.engine.addresses.push_back({"10.0.0.1", port});
    snapshot.engine.listVersion = 42;
    snapshot.openRequestIds = {"0000000000000001", "00000000000000ff"};
    return snapshot;
}

core::AdminOverrides constructedOverrides() {
    return {{"a", {true, kBegin}}, {"b", {false, kBegin + 1}}, {"node with a long name", {true, kBegin + 2}}};
}

// ---- datagrams

constexpr std::uint64_t kSenderIncarnation = 90'001;
constexpr std::uint32_t kKey = 3'000;  // aggregated by host 0, as it is a multiple of the number of hosts
constexpr std::uint32_t kRequestStamp = 20'001;
constexpr Micros kLendingStart = kBegin + 11 * kSecond;  // when a host lends even though no peer replied

std::uint64_t limitedVolume() { return peer::hashOf("vol-limited"); }
std::uint32_t cellZero() { return std::uint32_t(peer::hashOf("0")); }

std::string datagram(std::initializer_list<peer::Record> records) {
    std::string message = peer::header(kSenderIncarnation);
    for (const auto& record : records)
        peer::append(message, record);
    return message;
}

/// A record of versions before lease recovery had datagrams of its own.
std::string oldRecord(peer::Tag tag) {
    std::string message = peer::header(kSenderIncarnation);
    peer::Writer writer(message);
    writer.put(tag);
    writer.put(17, peer::kOldRecordBytes);
    return message;
}

fleet::RestartRecovery::Options recoveryOptions(int host) {
    return {HostIndex(host), kHosts, 2 * kSecond, true};
}

std::string messageTo(int to, const std::vector<fleet::OutgoingDatagram>& messages) {
    for (const auto& message : messages)
        if (message.to == HostIndex(to)) return message.bytes;
    FAIL("no message to this host");
    return "";
}

using Datagrams = std::map<std::string, std::string>;

Datagrams constructedDatagrams() {
    Datagrams all;
    const auto wait = peer::EncodedWait::of(30'000);
    const auto grantStamp = std::uint32_t((kLendingStart + 100 * kMs) / 1000 | 1);
    all["use"] = datagram({peer::UsageReport{kKey, false, {160}, wait, 3, 10}});
    all["join"] = datagram({peer::UsageReport{kKey, true, {160}, wait, 3, 10}});
    all["ask"] = datagram({peer::LeaseRequest{limitedVolume(), 7, kRequestStamp}});
    all["return"] = datagram({peer::LeaseReturn{limitedVolume(), 0, kRequestStamp}});
    all["grant"] = datagram({peer::LeaseGrant{limitedVolume(), 5, {320}, grantStamp}});
    all["others"] = datagram({peer::UsageAggregate{
        cellZero(), {400}, peer::EncodedWait::of(5'000'000), peer::EncodedRate::of(20)}});
    all["member"] = datagram({peer::MembershipNotice{std::uint32_t(limitedVolume()), HostIndex(2)}});
    all["old_hello"] = oldRecord(peer::Tag::OldHello);
    all["old_welcome"] = oldRecord(peer::Tag::OldWelcome);
    // Host 0 shuts down and starts again; host 1 stores its shutdown notice, host 2 did not receive it.
    fleet::RestartRecovery earlier(recoveryOptions(0), kBegin - 20 * kSecond);
    fleet::RestartRecovery informedPeer(recoveryOptions(1), kBegin - 20 * kSecond);
    fleet::RestartRecovery uninformedPeer(recoveryOptions(2), kBegin - 20 * kSecond);
    earlier.startShutdown(kBegin - 50 * kMs, kBegin - 1'500 * kMs);
    all["shutdown_notice"] = messageTo(1, earlier.dueDatagrams(kBegin - 1'500 * kMs));
    informedPeer.handleDatagram(HostIndex(0), all["shutdown_notice"], kBegin - 1'499 * kMs);
    fleet::RestartRecovery later(recoveryOptions(0), kBegin);
    all["hello"] = messageTo(1, later.dueDatagrams(kBegin));
    all["welcome_after"] =
        messageTo(0, informedPeer.handleDatagram(HostIndex(0), all["hello"], kBegin).replies);
    all["welcome"] = messageTo(0, uninformedPeer.handleDatagram(HostIndex(0), all["hello"], kBegin).replies);
    return all;
}

/// The datagrams of the golden file, after a check that this version encodes the same.
Datagrams goldenDatagrams() {
    std::vector<std::string> lines;
    for (const auto& [name, bytes] : constructedDatagrams())
        lines.push_back(name + " " + hexOf(bytes));
    const std::string difference = differenceFromGoldenFile("data/datagrams.txt", lines);
    CHECK_MESSAGE(difference.empty(), difference);
    Datagrams all;
    std::istringstream text(readGoldenFile("data/datagrams.txt"));
    for (std::string name, hex; text >> name >> hex;)
        all[name] = bytesOfHex(hex);
    return all;
}

/// The gossip and lease records that these actions send to a host.
std::vector<peer::Record> recordsTo(int to, const std::vector<Action>& actions) {
    std::vector<peer::Record> records;
    for (const auto& sent : only<SendPeerMessage>(actions)) {
        if (!(sent.to == HostIndex(to) && !fleet::isRecoveryDatagram(sent.bytes))) continue;
        const auto message = peer::decode(sent.bytes);
        CHECK(message.has_value());
        if (message) records.insert(records.end(), message->records.begin(), message->records.end());
    }
    return records;
}

template <typename T>
std::vector<T> ofType(const std::vector<peer::Record>& records) {
    std::vector<T> found;
    for (const auto& record : records)
        if (const auto* typed = std::get_if<T>(&record)) found.push_back(*typed);
    return found;
}

/// A host with many nodes in cell 0 that has run long enough to lend and borrow.
struct LongRunningHost : Host {
    LongRunningHost() : Host(settings(0, kHosts), kBegin) {
        constexpr int kNodes = 30;
        std::vector<NodeInfo> list;
        list.reserve(kNodes);
        for (int i = 0; i < kNodes; ++i)
            list.push_back(node(std::string("n").append(std::to_string(i)), 0));
        batch({nodes(list)});
        runTo(kLendingStart);
    }
    std::vector<Action> receiveFrom(int from, const std::string& bytes) {
        return batch({PeerMessageReceived{HostIndex(from), bytes}});
    }
};

}  // namespace

TEST_CASE("golden snapshot: the file of an earlier version is decoded, restored and used") {
    const std::string bytes = goldenBytes("snapshot.hex", hot_restart::encode(constructedSnapshot()));
    const auto read = hot_restart::decode(bytes, "front-0", kSnapshotAt + kSecond);
    REQUIRE(std::holds_alternative<hot_restart::Snapshot>(read));
    const auto& snapshot = std::get<hot_restart::Snapshot>(read);
    CHECK(hot_restart::encode(snapshot) == bytes);
    CHECK(snapshot.takenAt == kSnapshotAt);
    CHECK(snapshot.engine.listVersion == 42);
    CHECK(snapshot.openRequestIds == std::vector<std::string>{"0000000000000001", "00000000000000ff"});
    REQUIRE(snapshot.engine.core.endpoints.size() == 4);
    CHECK(snapshot.engine.core.endpoints[3].id == "d");
    CHECK(snapshot.engine.core.endpoints[3].startedUs == kBegin + 9 * kSecond);
    CHECK(snapshot.engine.core.endpoints[2].state == NodeState::Draining);
    CHECK(snapshot.engine.addresses[3] == config::Endpoint{"10.0.0.1", 8'004});
    CHECK(snapshot.engine.core.drainingSince.contains("c"));
    CHECK(snapshot.engine.core.everListed.size() <= 4);

    RunningState successor;
    REQUIRE(core::restore(successor.state, snapshot.engine.core));
    CHECK(successor.state.recovery().incarnation() == 100'001);
    CHECK(successor.state.recovery().isRecovered(kSnapshotAt));
    successor.reduce(kSnapshotAt,
                     EndpointListReceived{nodes(snapshot.engine.core.endpoints, EndpointListKind::Cached)});
    Request fresh = request(9'000, 0, 1, kSnapshotAt, 2, 0, kHosts);
    fresh.volume = "vol-with-a-full-reserve";
    const auto effects = successor.reduce(kSnapshotAt + 10 * kMs, RequestReceived{fresh});
    std::string sentTo;
    for (const auto& effect : effects)
        if (const auto* start = std::get_if<core::StartAttempt>(&effect)) sentTo = start->node;
    CHECK(sentTo == "a");
}

TEST_CASE("golden snapshot: a restored policy acts as the golden file says") {
    const std::string bytes = goldenBytes("snapshot.hex", hot_restart::encode(constructedSnapshot()));
    const auto snapshot = std::get<hot_restart::Snapshot>(hot_restart::decode(bytes, "front-0", kSnapshotAt));
    Host successor(settings(0, kHosts), kSnapshotAt);
    REQUIRE(successor.policy.restore(snapshot.engine.core.policySnapshot));
    std::vector<std::string> lines;
    for (RequestId id = 20'000; id < 20'200; ++id) {
        auto actions = successor.runTo(successor.now + 20 * kMs);
        const int number = static_cast<int>(id);
        for (auto& a : successor.batch(
                 {request(id, number % 4, number % 2, successor.now, 1 + number % 5, number % 2, kHosts)}))
            actions.push_back(std::move(a));
        std::string line = std::to_string(id);
        for (const auto& send : only<ForwardRequest>(actions)) {
            line += " sent " + std::to_string(send.id) + " " + send.node;
            if (id % 7 != 0) successor.batch({ended(send.id, 0, send.node, Outcome::Ok)});
        }
        for (const auto& refusal : only<RejectRequest>(actions))
            line += " refused " + std::to_string(refusal.id) + " " + std::to_string(refusal.retryAfterUs);
        for (const auto& sent : only<SendPeerMessage>(actions))
            line += " told " + std::to_string(sent.to.host().value()) + " " + hexOf(sent.bytes);
        lines.push_back(line);
    }
    const std::string difference = differenceFromGoldenFile("data/after_restore.txt", lines);
    CHECK_MESSAGE(difference.empty(), difference);
}

// Such a file has a credit for each node in slow start, which is no longer used, and what was sent to nodes
// in slow start only.
TEST_CASE("golden snapshot: a file with slow-start credits is restored") {
    const std::string text = readGoldenFile("data/snapshot_slow_start_credit.hex");
    const std::string bytes = bytesOfHex(text.substr(0, text.find('\n')));
    const auto read = hot_restart::decode(bytes, "front-0", kSnapshotAt);
    REQUIRE(std::holds_alternative<hot_restart::Snapshot>(read));
    const auto& snapshot = std::get<hot_restart::Snapshot>(read);
    CHECK(hot_restart::encode(snapshot) == bytes);
    RunningState successor;
    REQUIRE(core::restore(successor.state, snapshot.engine.core));
    CHECK(successor.state.recovery().incarnation() == 100'001);
}

TEST_CASE("golden overrides: the file of an earlier version is decoded") {
    const auto constructed = constructedOverrides();
    const std::string bytes = goldenBytes("overrides.hex", hot_restart::encodeOverrides(constructed));
    const auto read = hot_restart::decodeOverrides(bytes);
    REQUIRE(std::holds_alternative<core::AdminOverrides>(read));
    CHECK(std::get<core::AdminOverrides>(read) == constructed);
}

TEST_CASE("golden datagrams: usage reports are answered with the usage of the others and with the members") {
    const auto datagrams = goldenDatagrams();
    LongRunningHost host;
    const auto others = ofType<peer::UsageAggregate>(recordsTo(1, host.receiveFrom(1, datagrams.at("use"))));
    REQUIRE(others.size() == 1);
    CHECK(others[0].key == kKey);
    CHECK(others[0].rate.sixteenths == 0);  // nobody else asks for it
    const auto toSecond = recordsTo(2, host.receiveFrom(2, datagrams.at("join")));
    REQUIRE(ofType<peer::UsageAggregate>(toSecond).size() == 1);
    CHECK(ofType<peer::UsageAggregate>(toSecond)[0].rate.sixteenths == 160);
    REQUIRE(ofType<peer::MembershipNotice>(toSecond).size() == 2);  // itself, joined as a member of the key
    const auto toFirst = recordsTo(2, host.receiveFrom(1, datagrams.at("join")));
    REQUIRE(ofType<peer::MembershipNotice>(toFirst).size() == 1);
    CHECK(ofType<peer::MembershipNotice>(toFirst)[0].host == HostIndex(1));
    CHECK(host.policy.recovery().counters().malformed == 0);
}

TEST_CASE("golden datagrams: a lease request is granted, and a returned lease is lent again") {
    const auto datagrams = goldenDatagrams();
    LongRunningHost host;
    host.batch({request(1, 0, 0, host.now, 1, 0, kHosts)});
    const auto granted = ofType<peer::LeaseGrant>(recordsTo(1, host.receiveFrom(1, datagrams.at("ask"))));
    REQUIRE(granted.size() == 1);
    CHECK(granted[0].volume == limitedVolume());
    CHECK(granted[0].stamp == kRequestStamp);
    CHECK(granted[0].chunks >= 4);
    const auto rest = ofType<peer::LeaseGrant>(recordsTo(2, host.receiveFrom(2, datagrams.at("ask"))));
    const auto lentBefore = rest.empty() ? 0 : int(rest[0].chunks);
    host.receiveFrom(1, datagrams.at("return"));
    const auto again = ofType<peer::LeaseGrant>(recordsTo(2, host.receiveFrom(2, datagrams.at("ask"))));
    REQUIRE(again.size() == 1);
    CHECK(int(again[0].chunks) > lentBefore);
}

TEST_CASE("golden datagrams: a known member is asked for a lease, and its grant releases queued requests") {
    const auto datagrams = goldenDatagrams();
    const auto sendsAfter = [&](bool heardOfMember, bool heardGrant) {
        LongRunningHost host;
        host.batch({request(1, 0, 0, host.now, 1, 0, kHosts)});
        if (heardOfMember) host.receiveFrom(2, datagrams.at("member"));
        host.runTo(kLendingStart + 100 * kMs);
        std::vector<AnyEvent> burst;
        for (RequestId id = 2; id < 40; ++id)
            burst.emplace_back(request(id, 0, 0, host.now, 2, 0, kHosts));
        const auto actions = host.batch(burst);
        const auto asks = ofType<peer::LeaseRequest>(recordsTo(2, actions));
        CHECK(asks.size() == (heardOfMember ? 1 : 0));
        if (heardOfMember) CHECK(asks[0].stamp == ((kLendingStart + 100 * kMs) / 1000 | 1));
        host.now += kMs;
        return heardGrant ? only<ForwardRequest>(host.receiveFrom(2, datagrams.at("grant"))).size() : 0;
    };
    CHECK(sendsAfter(false, true) == 0);
    CHECK(sendsAfter(true, false) == 0);
    CHECK(sendsAfter(true, true) == 4);
}

TEST_CASE(
    "golden datagrams: a long wait that other hosts report makes the host reject requests for the cell") {
    const auto datagrams = goldenDatagrams();
    LongRunningHost host;
    CHECK(only<ForwardRequest>(host.batch({request(1, 0, 1, host.now, 2, 0, kHosts)})).size() == 1);
    host.receiveFrom(1, datagrams.at("others"));
    const auto actions = host.batch({request(2, 0, 1, host.now, 2, 0, kHosts)});
    CHECK(only<ForwardRequest>(actions).empty());
    CHECK(only<RejectRequest>(actions).size() == 1);
}

TEST_CASE("golden datagrams: records of the old recovery protocol are accepted and ignored") {
    const auto datagrams = goldenDatagrams();
    for (const char* name : {"old_hello", "old_welcome"}) {
        LongRunningHost host;
        CHECK(host.receiveFrom(1, datagrams.at(name)).empty());
        CHECK(host.policy.recovery().counters().malformed == 0);
        CHECK(host.policy.recovery().tableEntries() == 1);  // its sender is known
    }
}

TEST_CASE("golden datagrams: a hello is answered, with the shutdown notice if one is stored") {
    const auto datagrams = goldenDatagrams();
    Host informedPeer(settings(1, kHosts), kBegin - 20 * kSecond);
    informedPeer.batch();
    informedPeer.runTo(kBegin - 1'499 * kMs);
    informedPeer.batch({PeerMessageReceived{HostIndex(0), datagrams.at("shutdown_notice")}});
    CHECK(informedPeer.policy.recovery().counters().storedNotices == 1);
    informedPeer.runTo(kBegin);
    const auto welcomeAfter =
        only<SendPeerMessage>(informedPeer.batch({PeerMessageReceived{HostIndex(0), datagrams.at("hello")}}));
    REQUIRE(!welcomeAfter.empty());
    CHECK(hexOf(welcomeAfter[0].bytes) == hexOf(datagrams.at("welcome_after")));

    Host uninformedPeer(settings(2, kHosts), kBegin - 20 * kSecond);
    uninformedPeer.batch();
    uninformedPeer.runTo(kBegin);
    const auto welcome = only<SendPeerMessage>(
        uninformedPeer.batch({PeerMessageReceived{HostIndex(0), datagrams.at("hello")}}));
    REQUIRE(!welcome.empty());
    CHECK(hexOf(welcome[0].bytes) == hexOf(datagrams.at("welcome")));
}

TEST_CASE("golden datagrams: welcomes let a host recover before leases expire") {
    const auto datagrams = goldenDatagrams();
    Host byNotice(settings(0, kHosts), kBegin);
    const auto hellos = only<SendPeerMessage>(byNotice.batch());
    REQUIRE(hellos.size() == 2);
    CHECK(hellos[0].bytes == datagrams.at("hello"));
    byNotice.batch({PeerMessageReceived{HostIndex(1), datagrams.at("welcome_after")}});
    CHECK(byNotice.policy.recovery().recoveryCause() ==
          fleet::RestartRecovery::RecoveryCause::ShutdownNotice);
    CHECK(!byNotice.policy.recovery().isRecovered(kBegin));
    CHECK(byNotice.policy.recovery().isRecovered(kBegin + 600 * kMs));  // two seconds after the notice

    Host byEveryone(settings(0, kHosts), kBegin);
    byEveryone.batch({PeerMessageReceived{HostIndex(2), datagrams.at("welcome")}});
    CHECK(!byEveryone.policy.recovery().isRecovered(kBegin));
    byEveryone.batch({PeerMessageReceived{HostIndex(1), datagrams.at("welcome_after")}});
    CHECK(byEveryone.policy.recovery().isRecovered(kBegin));
    CHECK(byEveryone.policy.recovery().recoveryCause() ==
          fleet::RestartRecovery::RecoveryCause::AllPeersReplied);
}
