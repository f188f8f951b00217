#include "hot_restart/snapshot_error.h"

#include <fmt/format.h>

namespace wingproxy::hot_restart {

std::string_view describe(SnapshotErrorCode code) {
    switch (code) {
        case SnapshotErrorCode::Truncated:
            return "truncated";
        case SnapshotErrorCode::UnsupportedFormat:
            return "of another kind or version";
        case SnapshotErrorCode::ChecksumMismatch:
            return "checksum mismatch";
        case SnapshotErrorCode::Unreadable:
            return "payload not readable";
        case SnapshotErrorCode::OtherInstance:
            return "of another gateway";
        case SnapshotErrorCode::Expired:
            return "too old";
        case SnapshotErrorCode::InconsistentAddresses:
            return "addresses do not fit the endpoint list";
    }
    return "unknown error";
}

std::string describe(const SnapshotError& error) {
    const std::string_view reason = describe(error.code);
    return error.detail.empty() ? std::string(reason) : fmt::format("{}, {}", reason, error.detail);
}

}  // namespace wingproxy::hot_restart
