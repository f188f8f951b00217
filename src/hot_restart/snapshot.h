/// \file
/// Encodes and decodes what the processes of a gateway exchange: the snapshot that one leaves to the next,
/// and the administrative overrides of both. Owns nothing; no I/O and no clock.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hot_restart/snapshot_error.h"
#include "net/engine.h"

namespace wingproxy::hot_restart {

/// The state that a successor receives when the service is transferred to it.
struct Snapshot {
    std::string gatewayName;                  ///< as configured
    Micros takenAt = 0;                       ///< Unix microseconds
    net::EngineSnapshot engine;               ///< endpoint list, drains and state of the policy
    std::vector<std::string> openRequestIds;  ///< Req-Ids of the requests that the old process still serves
};

/// In microseconds. A successor reads a snapshot within milliseconds; one that is older than 10 s was left
/// behind by another pair of processes.
constexpr Micros kMaxSnapshotAge = 10'000'000;
/// Far above the state of a process within any memory limit of the protocol; a longer file is not a snapshot.
constexpr std::size_t kMaxSnapshotBytes = std::size_t{32} * 1024 * 1024;

/// Returns the complete file: header and payload.
[[nodiscard]] std::string encode(const Snapshot& snapshot);

/// The snapshot, if the file is complete, fresh and of this gateway; otherwise the first check that failed.
/// Checks the format and the checksum before it decodes the payload, and then the decoded values.
/// \param bytes the complete file
/// \param gatewayName of this gateway; a snapshot of another one is rejected
/// \param now Unix microseconds
[[nodiscard]] std::variant<Snapshot, SnapshotError> decode(std::string_view bytes,
                                                           std::string_view gatewayName, Micros now);

/// Returns the complete overrides file: header and payload.
[[nodiscard]] std::string encodeOverrides(const core::AdminOverrides& overrides);
/// The inverse of `encodeOverrides`. The file is not checked for age or gateway: overrides hold until newer
/// ones replace them.
[[nodiscard]] std::variant<core::AdminOverrides, SnapshotError> decodeOverrides(std::string_view bytes);

/// Keeps the newer override of each node, and of two with the same time the one that drains: the result does
/// not depend on the order of the arguments.
[[nodiscard]] core::AdminOverrides mergeOverrides(core::AdminOverrides merged,
                                                  const core::AdminOverrides& other);

}  // namespace wingproxy::hot_restart
