/// \file
/// Why a stored file is rejected.
#pragma once

#include <string_view>

namespace wingproxy::hot_restart {

/// Why the bytes of a snapshot or overrides file are rejected. They are used completely or not at all.
enum class SnapshotError {
    Truncated,              ///< shorter than the header, or not as long as the header says
    UnsupportedFormat,      ///< another kind of file, or another version of it
    ChecksumMismatch,       ///< the payload was changed
    Unreadable,             ///< the checksum is right, but the payload does not decode
    OtherInstance,          ///< written by a gateway of another name
    Expired,                ///< older than `kMaxSnapshotAge`
    InconsistentAddresses,  ///< not one address for each listed node
};

/// The error in words, for a log line.
[[nodiscard]] std::string_view describe(SnapshotError error);

}  // namespace wingproxy::hot_restart
