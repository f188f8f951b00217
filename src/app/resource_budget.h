/// \file
/// Divides the configured descriptors and memory between clients and nodes. Pure arithmetic, except for
/// reading the system's descriptor limit.
#pragma once

#include <cstddef>

namespace wingproxy::app {

/// The resources to divide.
struct ResourceLimits {
    int descriptors = 0;  ///< descriptors that this process may open
    int memoryMb = 0;     ///< in MiB
    bool rsync = false;   ///< whether the rsync front is enabled
};

/// Maximum number of connections of each kind, the size of their ring buffers, and memory for messages.
struct ResourceBudget {
    std::size_t httpClients = 0;
    std::size_t httpNodes = 0;
    std::size_t rsyncClients = 0;
    std::size_t rsyncNodes = 0;
    std::size_t ringBytes = 0;  ///< of one direction of a connection
    std::size_t bodyBytes = 0;  ///< of all buffered bodies
    std::size_t headBytes = 0;  ///< of the heads of all requests
};

/// Three fifths of the descriptors are for clients and two fifths for nodes; the rsync front gets a quarter
/// of each. The descriptors of listeners, admin clients, discovery and health checks are reserved beforehand.
///
/// The memory is for the program itself, its tables, connections and messages. A connection counts with one
/// ring, as a ring has memory only while it holds bytes, and a connection that sends has read what it
/// answers. Messages get what is left: at most three eighths of all for bodies and one eighth for heads.
[[nodiscard]] ResourceBudget divideResources(const ResourceLimits& limits);

/// The lower of the configured number and the system's limit (`RLIMIT_NOFILE`).
[[nodiscard]] int availableDescriptors(int configured);

}  // namespace wingproxy::app
