/// \file
/// What one process of a gateway leaves to the next, as bytes: the snapshot, and the administrative overrides
/// of both. Owns nothing; no I/O and no clock.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hot_restart/snapshot_error.h"
#include "net/engine.h"

namespace wingproxy::hot_restart {

/// The state that passes to the successor when the service is transferred to it.
struct Snapshot {
    std::string gatewayName;                  ///< the gateway's configured name
    Micros takenAt = 0;                       ///< Unix microseconds
    net::EngineSnapshot engine;               ///< endpoint list, drains, and the policy's state
    std::vector<std::string> openRequestIds;  ///< Req-Ids that the old process has not answered yet
};

/// A successor reads a snapshot within milliseconds; one that is older than 10 s was left behind by another
/// pair of processes.
constexpr Micros kMaxSnapshotAge = 10'000'000;
/// Bytes. Far above the state of a process within any memory limit of the protocol; a longer file is no
/// snapshot.
constexpr std::size_t kMaxSnapshotBytes = std::size_t{32} * 1024 * 1024;

/// The complete file: header and payload.
[[nodiscard]] std::string encode(const Snapshot& snapshot);

/// The snapshot of a file that is complete, fresh and of this gateway; else the first check that failed.
/// Checks format and checksum before the payload, and the payload before its values. \param bytes the
/// complete file \param gatewayName the name of this gateway; a snapshot of another one is rejected \param
/// now Unix microseconds
[[nodiscard]] std::variant<Snapshot, SnapshotError> decode(std::string_view bytes,
                                                           std::string_view gatewayName, Micros now);

/// The complete file with these orders.
[[nodiscard]] std::string encodeOverrides(const core::AdminOverrides& overrides);
/// The inverse of `encodeOverrides`. A file has no age and no owner: its orders hold until newer ones come.
[[nodiscard]] std::variant<core::AdminOverrides, SnapshotError> decodeOverrides(std::string_view bytes);

/// Of each node the newer override, and of two at the same time the one that drains: the result does not
/// depend on the order of the arguments.
[[nodiscard]] core::AdminOverrides mergeOverrides(core::AdminOverrides merged,
                                                  const core::AdminOverrides& other);

}  // namespace wingproxy::hot_restart
