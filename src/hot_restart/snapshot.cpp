#include "hot_restart/snapshot.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <tuple>

#include "hot_restart/checked_file.h"
#include "policy/node_info_archive.h"

namespace wingproxy {

// The order of the fields below defines the stored format.
namespace config {
template <typename Archive>
void serialize(Archive& archive, Endpoint& endpoint) {
    archive(endpoint.host, endpoint.port);
}
}  // namespace config

namespace core {
template <typename Archive>
void serialize(Archive& archive, AdminOverride& entry) {
    archive(entry.drained, entry.at);
}
template <typename Archive>
void serialize(Archive& archive, StateSnapshot& state) {
    archive(state.endpoints, state.drainingSince, state.everListed, state.policySnapshot);
}
}  // namespace core

namespace hot_restart {

template <typename Archive>
void serialize(Archive& archive, Snapshot& snapshot) {
    archive(snapshot.gatewayName, snapshot.takenAt, snapshot.engine.core, snapshot.engine.addresses,
            snapshot.engine.listVersion, snapshot.openRequestIds);
}

namespace {

// Written to the files: a payload with another format needs another number.
constexpr std::string_view kSnapshotMagic = "WPS1";
constexpr std::string_view kOverridesMagic = "WPW1";

template <typename Value>
std::string encodeValue(std::string_view magic, const Value& value) {
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(value);
    return encodeCheckedFile(magic, out.str());
}

template <typename Value>
std::variant<Value, SnapshotError> decodeValue(std::string_view magic, std::string_view bytes) {
    const auto payload = decodeCheckedFile(magic, bytes);
    if (const auto* error = std::get_if<SnapshotError>(&payload)) return *error;
    try {
        Value value;
        std::istringstream in{std::string(std::get<std::string_view>(payload))};
        cereal::PortableBinaryInputArchive archive(in);
        archive(value);
        return value;
    } catch (const std::exception& error) {
        return SnapshotError{SnapshotErrorCode::Unreadable, error.what()};
    }
}

}  // namespace

std::string encode(const Snapshot& snapshot) { return encodeValue(kSnapshotMagic, snapshot); }

std::variant<Snapshot, SnapshotError> decode(std::string_view bytes, std::string_view gatewayName,
                                             Micros now) {
    auto decoded = decodeValue<Snapshot>(kSnapshotMagic, bytes);
    const auto* snapshot = std::get_if<Snapshot>(&decoded);
    if (!snapshot) return decoded;
    if (snapshot->gatewayName != gatewayName)
        return SnapshotError{SnapshotErrorCode::OtherInstance, snapshot->gatewayName};
    if (now - snapshot->takenAt > kMaxSnapshotAge) return SnapshotError{SnapshotErrorCode::Expired};
    if (snapshot->engine.addresses.size() != snapshot->engine.core.endpoints.size())
        return SnapshotError{SnapshotErrorCode::InconsistentAddresses};
    return decoded;
}

std::string encodeOverrides(const core::AdminOverrides& overrides) {
    return encodeValue(kOverridesMagic, overrides);
}

std::variant<core::AdminOverrides, SnapshotError> decodeOverrides(std::string_view bytes) {
    return decodeValue<core::AdminOverrides>(kOverridesMagic, bytes);
}

core::AdminOverrides mergeOverrides(core::AdminOverrides merged, const core::AdminOverrides& other) {
    const auto isNewer = [](const core::AdminOverride& a, const core::AdminOverride& b) {
        return std::tie(a.at, a.drained) > std::tie(b.at, b.drained);
    };
    for (const auto& [node, entry] : other) {
        const auto [position, inserted] = merged.try_emplace(node, entry);
        if (!inserted && isNewer(entry, position->second)) position->second = entry;
    }
    return merged;
}

}  // namespace hot_restart
}  // namespace wingproxy
