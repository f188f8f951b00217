#include "hot_restart/snapshot_error.h"

namespace wingproxy::hot_restart {

std::string_view describe(SnapshotError error) {
    switch (error) {
        case SnapshotError::Truncated:
            return "truncated";
        case SnapshotError::UnsupportedFormat:
            return "of another kind or version";
        case SnapshotError::ChecksumMismatch:
            return "checksum mismatch";
        case SnapshotError::Unreadable:
            return "payload not readable";
        case SnapshotError::OtherInstance:
            return "of another gateway";
        case SnapshotError::Expired:
            return "too old";
        case SnapshotError::InconsistentAddresses:
            return "addresses do not fit the endpoint list";
    }
    return "unknown error";
}

}  // namespace wingproxy::hot_restart
