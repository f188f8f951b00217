/// \file
/// How the configured descriptors and memory are divided between clients and nodes. Pure arithmetic, but for
/// the system's own descriptor limit.
#pragma once

#include <cstddef>

namespace wingproxy::app {

/// What there is to divide.
struct ResourceLimits {
    int descriptors = 0;  ///< that this process may open
    int memoryMb = 0;     ///< in MiB; a quarter of it is for connections' ring buffers
    bool rsync = false;   ///< whether the rsync front takes its part
};

/// Most connections of each kind, and the size of their ring buffers.
struct ResourceBudget {
    std::size_t httpClients = 0;
    std::size_t httpNodes = 0;
    std::size_t rsyncClients = 0;
    std::size_t rsyncNodes = 0;
    std::size_t ringBytes = 0;  ///< a direction of one connection
};

/// Three fifths of the descriptors go to clients and two fifths to nodes; the rsync front has a quarter of
/// each. What the process needs besides (listeners, admin clients, discovery, health checks) is set aside
/// first.
[[nodiscard]] ResourceBudget divideResources(const ResourceLimits& limits);

/// The lower of the configured number and the system's limit (`RLIMIT_NOFILE`).
[[nodiscard]] int availableDescriptors(int configured);

}  // namespace wingproxy::app
