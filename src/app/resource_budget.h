/// \file
/// Divides the configured descriptors and memory between clients and nodes. Pure arithmetic, except for
/// reading the system's descriptor limit.
#pragma once

#include <cstddef>

namespace wingproxy::app {

/// The resources to divide.
struct ResourceLimits {
    int descriptors = 0;  ///< descriptors that this process may open
    int memoryMb = 0;     ///< in MiB; a quarter of it is for connections' ring buffers
    bool rsync = false;   ///< whether the rsync front is enabled
};

/// Maximum number of connections of each kind, and the size of their ring buffers.
struct ResourceBudget {
    std::size_t httpClients = 0;
    std::size_t httpNodes = 0;
    std::size_t rsyncClients = 0;
    std::size_t rsyncNodes = 0;
    std::size_t ringBytes = 0;  ///< of one direction of a connection
};

/// Three fifths of the descriptors are for clients and two fifths for nodes; the rsync front gets a quarter
/// of each. The descriptors of listeners, admin clients, discovery and health checks are reserved beforehand.
[[nodiscard]] ResourceBudget divideResources(const ResourceLimits& limits);

/// The lower of the configured number and the system's limit (`RLIMIT_NOFILE`).
[[nodiscard]] int availableDescriptors(int configured);

}  // namespace wingproxy::app
