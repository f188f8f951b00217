/// \file
/// Shared memory through which a test controls the faults that the shim injects into one process. The file is
/// mapped by both.
#pragma once

#include <atomic>
#include <cstdint>

namespace wingproxy::soak {

/// The result of writes to regular files.
enum class StorageFault : std::uint32_t {
    None,
    NoSpace,    ///< fails with ENOSPC
    IoError,    ///< fails with EIO, as do fsync and rename
    HalfWrite,  ///< writes half of the bytes; fails with ENOSPC if there is only one
};

/// The content of the file. All zero injects no faults.
struct FaultControl {
    std::atomic<std::int64_t>
        wallClockOffsetUs;  ///< added to the wall clock only, not to the monotonic clock
    std::atomic<StorageFault> storage;
    std::atomic<std::uint32_t> attached;  ///< set to 1 by the shim when it is loaded
};

/// The environment variable with the path of the file.
inline constexpr const char* kFaultControlVariable = "WINGPROXY_FAULT_CONTROL";

}  // namespace wingproxy::soak
