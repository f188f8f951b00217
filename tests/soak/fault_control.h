/// \file
/// What the fault shim does to one process. A test writes it to a file that the process maps.
#pragma once

#include <atomic>
#include <cstdint>

namespace wingproxy::soak {

/// How writes to files in the process's folder end.
enum class StorageFault : std::uint32_t {
    None,
    NoSpace,    ///< ENOSPC
    IoError,    ///< EIO, also from fsync and rename
    HalfWrite,  ///< half of the bytes are written, then ENOSPC
};

/// Shared between a test and one process; all zero is a machine without faults.
struct FaultControl {
    std::atomic<std::int64_t> wallClockOffsetUs;  ///< added to the wall clock, not to the monotonic one
    std::atomic<StorageFault> storage;
    std::atomic<std::uint32_t> attached;  ///< set by the shim: it was loaded
};

/// The environment variable that names the file.
inline constexpr const char* kFaultControlVariable = "WINGPROXY_FAULT_CONTROL";

}  // namespace wingproxy::soak
