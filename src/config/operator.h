// The operator's file: the fronts that are off on the platform.
#pragma once

#include <optional>

#include "config/config.h"

namespace wingproxy::config {

struct RsyncModule {
    std::string name, comment, nodeModule, volume;
    int plan = -1, cell = 0, hosts = 1;
    int pullClass = -1, pushClass = -1;  // -1: not offered
    double units = 1;
    Micros deadlineUs = 0;
};
struct RsyncFront {
    Endpoint listen;
    std::uint16_t nodePort = 0;  // 0: the port that discovery gives
    std::string motd;
    std::vector<RsyncModule> modules;
};
struct OperatorConfig {
    std::optional<RsyncFront> rsync;
    std::optional<Endpoint> health, agent;
};
OperatorConfig parseOperatorConfig(std::string_view json, const Settings& settings);

}  // namespace wingproxy::config
