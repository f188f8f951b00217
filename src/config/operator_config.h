/// \file
/// The operator's configuration file: the optional listeners that the platform's configuration does not cover
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

/// An rsync module that is offered to clients, and the properties of the requests that its transfers become.
struct RsyncModule {
    std::string name;
    std::string comment;     ///< shown in the list of modules
    std::string nodeModule;  ///< name of the module on the nodes
    std::string volume;
    PlanIndex plan;
    CellIndex cell{0};      ///< the cell that holds the module's files
    int hosts = 1;          ///< hosts over which the volume's requests are spread
    ClassIndex pullClass;   ///< none: clients may not pull
    ClassIndex pushClass;   ///< none: clients may not push
    double units = 1;       ///< units of work of a transfer
    Micros deadlineUs = 0;  ///< longest duration of a transfer
};

/// The front for rsync clients: where it listens and the modules that it offers.
struct RsyncFront {
    Endpoint listen;
    std::uint16_t nodePort = 0;  ///< rsync port of the nodes; 0: the port from the endpoint list
    std::string motd;            ///< message of the day, sent to each client first; empty: none
    std::vector<RsyncModule> modules;
};

/// The listeners that the file configures; those that it omits are empty and not started.
struct OperatorConfig {
    std::optional<RsyncFront> rsync;
    std::optional<Endpoint> health;
    std::optional<Endpoint> agent;
};

/// Parses the operator's file.
/// \param settings of the front's configuration, which defines the classes, plans and cells that the file
///     refers to
/// \throws ConfigError for the first field that is missing or wrong
OperatorConfig parseOperatorConfig(std::string_view json, const Settings& settings);

}  // namespace wingproxy::config
