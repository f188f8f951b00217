#include "app/resource_budget.h"

#include <sys/resource.h>

#include <algorithm>

#include "admin/admin_server.h"
#include "net/ring_buffer.h"

namespace wingproxy::app {
namespace {

/// Descriptors reserved for other uses than client and node connections: 24 for standard streams, listeners,
/// health checks and discovery, and those of admin clients.
constexpr int kReservedDescriptors = 24 + static_cast<int>(admin::kMaxConnections);
/// The least with which the gateway can serve; used even if fewer descriptors are left.
constexpr int kMinConnections = 10;

}  // namespace

ResourceBudget divideResources(const ResourceLimits& limits) {
    const auto connections =
        static_cast<std::size_t>(std::max(kMinConnections, limits.descriptors - kReservedDescriptors));
    ResourceBudget budget;
    if (limits.rsync) {
        budget.rsyncClients = connections * 3 / 20;
        budget.rsyncNodes = connections / 10;
    }
    budget.httpClients = connections * 3 / 5 - budget.rsyncClients;
    budget.httpNodes = connections * 2 / 5 - budget.rsyncNodes;
    const std::size_t ringMemory = static_cast<std::size_t>(limits.memoryMb) * 1024 * 1024 / 4;
    budget.ringBytes = std::clamp(ringMemory / (2 * connections), net::kMinRingBytes, net::kMaxRingBytes);
    return budget;
}

int availableDescriptors(int configured) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return configured;
    return static_cast<int>(std::min<rlim_t>(static_cast<rlim_t>(configured), limit.rlim_cur));
}

}  // namespace wingproxy::app
