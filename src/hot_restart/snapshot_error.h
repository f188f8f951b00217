/// \file
/// Errors of decoding a snapshot or an overrides file.
#pragma once

#include <string>
#include <string_view>

namespace wingproxy::hot_restart {

/// Why a snapshot or overrides file is rejected. A file is used as a whole or not at all.
enum class SnapshotErrorCode {
    Truncated,              ///< shorter than the header, or of another length than the header says
    UnsupportedFormat,      ///< another kind of file, or another version of it
    ChecksumMismatch,       ///< the payload does not match its CRC-32
    Unreadable,             ///< the checksum matches, but the payload does not decode
    OtherInstance,          ///< written by a gateway with another name
    Expired,                ///< older than `kMaxSnapshotAge`
    InconsistentAddresses,  ///< the number of addresses differs from that of listed nodes
};

/// The reason of a rejection, with a detail that helps to find the file's origin.
struct SnapshotError {
    SnapshotErrorCode code = SnapshotErrorCode::Truncated;
    /// For `Unreadable` the message of the archive's exception, for `OtherInstance` the name of the gateway
    /// that wrote the file. Empty for all other codes.
    std::string detail{};
};

/// Describes the code for a log line, without the detail.
[[nodiscard]] std::string_view describe(SnapshotErrorCode code);

/// Describes the error for a log line: "CODE, DETAIL", or "CODE" if it has no detail.
[[nodiscard]] std::string describe(const SnapshotError& error);

}  // namespace wingproxy::hot_restart
