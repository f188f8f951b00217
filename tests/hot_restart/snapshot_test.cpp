// Encoding and decoding of the snapshot and the overrides file. An incomplete or changed file must never be
// used, not even in part.
#include "hot_restart/snapshot.h"

#include <cstring>

#include "hot_restart/checked_file.h"
#include "support/net_support.h"
#include "support/policy_support.h"

using namespace wingproxy;
using namespace wingproxy::test;
using namespace wingproxy::hot_restart;

namespace {

/// A snapshot of an engine with three nodes, one of them drained by an operator.
struct SnapshotOfThreeNodes {
    GatewayFixture fixture{testConfig(), 3};
    Snapshot snapshot{"n0", fixture.engine.now(), takeEngineSnapshot(), {"0000000000000001"}};
    std::string bytes = encode(snapshot);

    [[nodiscard]] std::variant<Snapshot, SnapshotError> decodeOwn(std::string_view b) const {
        return decode(b, "n0", snapshot.takenAt);
    }

private:
    net::EngineSnapshot takeEngineSnapshot() {
        fixture.engine.setAdminDrain("s-0", true);
        return fixture.engine.takeSnapshot();
    }
};

bool isRejected(const std::variant<Snapshot, SnapshotError>& decoded) {
    return std::holds_alternative<SnapshotError>(decoded);
}

const core::AdminOverrides kOverridesA{{"x", {true, 1}}, {"y", {false, 5}}};
const core::AdminOverrides kOverridesB{{"x", {false, 2}}, {"z", {true, 3}}};
const core::AdminOverrides kOverridesC{{"y", {true, 4}}, {"z", {false, 3}}};
const core::AdminOverrides kAllOverrides{{"x", {false, 2}}, {"y", {false, 5}}, {"z", {true, 3}}};

}  // namespace

TEST_CASE("snapshot: decoding returns the encoded endpoint list and open requests") {
    SnapshotOfThreeNodes taken;
    const auto decoded = taken.decodeOwn(taken.bytes);
    REQUIRE(!isRejected(decoded));
    const auto& snapshot = std::get<Snapshot>(decoded);
    CHECK(snapshot.takenAt == taken.snapshot.takenAt);
    CHECK(snapshot.engine.core.endpoints.size() == 3);
    CHECK(snapshot.engine.addresses[2] == taken.fixture.node(2).address());
    CHECK(snapshot.openRequestIds == taken.snapshot.openRequestIds);
    CHECK(encode(snapshot) == taken.bytes);
}

TEST_CASE("snapshot: one that is truncated at any byte is rejected") {
    SnapshotOfThreeNodes taken;
    for (std::size_t length = 0; length < taken.bytes.size(); ++length)
        REQUIRE(isRejected(taken.decodeOwn(std::string_view(taken.bytes).substr(0, length))));
}

TEST_CASE("snapshot: one that is changed in any byte is rejected") {
    SnapshotOfThreeNodes taken;
    for (std::size_t at = 0; at < taken.bytes.size(); ++at) {
        auto changed = taken.bytes;
        changed[at] = char(changed[at] ^ 0x20);
        REQUIRE(isRejected(taken.decodeOwn(changed)));
    }
}

TEST_CASE("snapshot: one with trailing bytes is rejected") {
    SnapshotOfThreeNodes taken;
    CHECK(std::get<SnapshotError>(taken.decodeOwn(taken.bytes + "x")).code == SnapshotErrorCode::Truncated);
}

TEST_CASE("snapshot: one of another gateway is rejected, and the error names that gateway") {
    SnapshotOfThreeNodes taken;
    const auto decoded = decode(taken.bytes, "n1", taken.snapshot.takenAt);
    CHECK(std::get<SnapshotError>(decoded).code == SnapshotErrorCode::OtherInstance);
    CHECK(describe(std::get<SnapshotError>(decoded)) == "of another gateway, n0");
}

TEST_CASE("snapshot: one that is older than 10 s is rejected") {
    SnapshotOfThreeNodes taken;
    const Micros oldest = taken.snapshot.takenAt + kMaxSnapshotAge;
    CHECK(kMaxSnapshotAge == 10 * kSecond);
    CHECK(!isRejected(decode(taken.bytes, "n0", oldest)));
    CHECK(std::get<SnapshotError>(decode(taken.bytes, "n0", oldest + 1)).code == SnapshotErrorCode::Expired);
}

TEST_CASE("snapshot: one without an address for each node is rejected") {
    SnapshotOfThreeNodes taken;
    taken.snapshot.engine.addresses.pop_back();
    const auto decoded = taken.decodeOwn(encode(taken.snapshot));
    CHECK(std::get<SnapshotError>(decoded).code == SnapshotErrorCode::InconsistentAddresses);
}

TEST_CASE(
    "snapshot: a payload that does not decode is rejected though its checksum is right, with the archive's "
    "error") {
    SnapshotOfThreeNodes taken;
    const auto decoded = taken.decodeOwn(encodeCheckedFile("WPS1", "short"));
    const auto& error = std::get<SnapshotError>(decoded);
    CHECK(error.code == SnapshotErrorCode::Unreadable);
    CHECK(error.detail.starts_with("Failed to read "));  // cereal's message
    CHECK(describe(error) == "payload not readable, " + error.detail);
}

TEST_CASE("snapshot: the policy state is restored only by a host with the same settings") {
    SnapshotOfThreeNodes taken;
    const std::string& policyState = taken.snapshot.engine.core.policySnapshot;
    Policy same(taken.fixture.config.settings, taken.snapshot.takenAt);
    Policy other(test::settings(0, 2), taken.snapshot.takenAt);
    CHECK(same.restore(policyState));
    CHECK(!other.restore(policyState));
}

TEST_CASE("snapshot: a truncated policy state is not restored") {
    SnapshotOfThreeNodes taken;
    const std::string& policyState = taken.snapshot.engine.core.policySnapshot;
    Policy other(test::settings(0, 2), taken.snapshot.takenAt);
    for (std::size_t length = 0; length < policyState.size(); length += 7)
        CHECK(!other.restore(policyState.substr(0, length)));
}

TEST_CASE("snapshot: a policy state of an earlier version is not restored") {
    // The version is a number that follows the archive's own byte and a length. Host 1, so that the version
    // is rejected and not the host's index.
    constexpr std::size_t kVersionOffset = 1 + 8;
    const double earlierVersion = 1;
    auto policyState = Policy(test::settings(1, 3), kStart).takeSnapshot(kStart);
    CHECK(Policy(test::settings(1, 3), kStart).restore(policyState));
    std::memcpy(policyState.data() + kVersionOffset, &earlierVersion, sizeof earlierVersion);
    CHECK(!Policy(test::settings(1, 3), kStart).restore(policyState));
}

TEST_CASE("overrides: merging keeps the newest of each node, in whatever order") {
    const auto merged = mergeOverrides(mergeOverrides(kOverridesA, kOverridesB), kOverridesC);
    CHECK(merged == kAllOverrides);
    CHECK(merged == mergeOverrides(mergeOverrides(kOverridesC, kOverridesB), kOverridesA));
    CHECK(merged == mergeOverrides(kOverridesA, mergeOverrides(kOverridesB, kOverridesC)));
}

TEST_CASE("overrides: merging them again changes nothing") {
    CHECK(mergeOverrides(kAllOverrides, kAllOverrides) == kAllOverrides);
    CHECK(mergeOverrides(kAllOverrides, kOverridesA) == kAllOverrides);
}

TEST_CASE("overrides: of two with the same time the one that drains is kept") {
    const core::AdminOverrides drained{{"x", {true, 1}}};
    const core::AdminOverrides attached{{"x", {false, 1}}};
    CHECK(mergeOverrides(drained, attached) == drained);
    CHECK(mergeOverrides(attached, drained) == drained);
}

TEST_CASE("overrides: decoding returns what was encoded") {
    CHECK(std::get<core::AdminOverrides>(decodeOverrides(encodeOverrides(kAllOverrides))) == kAllOverrides);
}

TEST_CASE("overrides: a file that is truncated at any byte is rejected") {
    const auto bytes = encodeOverrides(kAllOverrides);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK(std::holds_alternative<SnapshotError>(
            decodeOverrides(std::string_view(bytes).substr(0, length))));
}

TEST_CASE("overrides: a snapshot is not accepted as an overrides file") {
    SnapshotOfThreeNodes taken;
    CHECK(std::get<SnapshotError>(decodeOverrides(taken.bytes)).code == SnapshotErrorCode::UnsupportedFormat);
}
