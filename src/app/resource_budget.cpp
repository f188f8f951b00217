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

constexpr std::size_t kMiB = std::size_t{1024} * 1024;
/// Code, libraries and what the program holds without any client.
constexpr std::size_t kProgramBytes = 6 * kMiB;
/// Tables that grow with nodes and volumes, as a part of all memory.
constexpr std::size_t kTablesDivisor = 10;
/// A connection besides its rings: session, parser, timers and pending handlers.
constexpr std::size_t kConnectionBytes = std::size_t{2} * 1024;
/// The least for messages, as a part of all memory.
constexpr std::size_t kMinMessagesDivisor = 8;

/// What is left for messages once program, tables and connections have theirs.
std::size_t messageBytes(std::size_t memory, std::size_t connections, std::size_t ringBytes) {
    const std::size_t used =
        kProgramBytes + memory / kTablesDivisor + connections * (ringBytes + kConnectionBytes);
    return std::max(memory / kMinMessagesDivisor, memory - std::min(memory, used));
}

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
    const std::size_t memory = static_cast<std::size_t>(limits.memoryMb) * kMiB;
    budget.ringBytes = std::clamp(memory / 4 / (2 * connections), net::kMinRingBytes, net::kMaxRingBytes);
    const std::size_t messages = messageBytes(memory, connections, budget.ringBytes);
    budget.bodyBytes = std::min(memory * 3 / 8, messages * 3 / 4);
    budget.headBytes = std::min(memory / 8, messages / 4);
    return budget;
}

int availableDescriptors(int configured) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return configured;
    return static_cast<int>(std::min<rlim_t>(static_cast<rlim_t>(configured), limit.rlim_cur));
}

}  // namespace wingproxy::app
