#include "health/agent_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace wingproxy::health {
namespace {

constexpr double kPercent = 100;
/// HAProxy treats a weight of 0% as a drain.
constexpr long kMinWeightPercent = 1;

}  // namespace

std::string renderAgentLine(const GatewayStatus& status) {
    if (status.draining) return "drain\n";
    if (!status.ready) return "down #no node is known\n";
    const double freeShare = std::clamp(1 - status.utilization, 0.0, 1.0);
    return fmt::format("ready up {}%\n", std::max(kMinWeightPercent, std::lround(freeShare * kPercent)));
}

}  // namespace wingproxy::health
