/// \file
/// The operator's configuration file: the optional fronts that the platform's configuration does not know
/// (rsync, health checks, agent).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/endpoint.h"
#include "wingproxy/policy.h"

namespace wingproxy::config {

/// An rsync module that clients see, and the requests that its transfers become.
struct RsyncModule {
    std::string name;
    std::string comment;     ///< in the list of modules
    std::string nodeModule;  ///< the module's name at the nodes
    std::string volume;
    PlanIndex plan;
    CellIndex cell{0};      ///< the cell that holds the module's files
    int hosts = 1;          ///< hosts over which the volume's requests are spread
    ClassIndex pullClass;   ///< none: clients may not pull
    ClassIndex pushClass;   ///< none: clients may not push
    double units = 1;       ///< units of work of a transfer
    Micros deadlineUs = 0;  ///< duration of a transfer at the most
};

/// The front for rsync clients: where it listens and the modules that it offers.
struct RsyncFront {
    Endpoint listen;
    std::uint16_t nodePort = 0;  ///< rsync port of the nodes; 0: the port that discovery gives
    std::string motd;            ///< sent to each client first; empty: nothing
    std::vector<RsyncModule> modules;
};

/// The fronts that are configured; each is empty if it is not to be started.
struct OperatorConfig {
    std::optional<RsyncFront> rsync;
    std::optional<Endpoint> health;
    std::optional<Endpoint> agent;
};

/// Reads the operator's file.
/// \param settings of the front's configuration; the file names classes, plans and cells of it
/// \throws ConfigError for the first field that is missing or wrong
OperatorConfig parseOperatorConfig(std::string_view json, const Settings& settings);

}  // namespace wingproxy::config
