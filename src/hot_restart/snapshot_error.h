/// \file
/// Why a stored file is rejected.
#pragma once

#include <string>
#include <string_view>

namespace wingproxy::hot_restart {

/// Why the bytes of a snapshot or overrides file are rejected. They are used completely or not at all.
enum class SnapshotErrorCode {
    Truncated,              ///< shorter than the header, or not as long as the header says
    UnsupportedFormat,      ///< another kind of file, or another version of it
    ChecksumMismatch,       ///< the payload was changed
    Unreadable,             ///< the checksum is right, but the payload does not decode
    OtherInstance,          ///< written by a gateway of another name
    Expired,                ///< older than `kMaxSnapshotAge`
    InconsistentAddresses,  ///< not one address for each listed node
};

/// A rejection, with what helps to find out where the file comes from.
struct SnapshotError {
    SnapshotErrorCode code = SnapshotErrorCode::Truncated;
    /// Of `Unreadable` the message of the archive's exception, of `OtherInstance` the name of the gateway
    /// that wrote the file. Empty for any other code.
    std::string detail{};
};

/// The code in words, without the detail.
[[nodiscard]] std::string_view describe(SnapshotErrorCode code);

/// The error in words for a log line: "CODE, DETAIL", or "CODE" where it has no detail.
[[nodiscard]] std::string describe(const SnapshotError& error);

}  // namespace wingproxy::hot_restart
