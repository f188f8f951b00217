/// \file
/// What the commands of the command line do: each reads the files that it needs, acts, and gives the exit
/// code.
#pragma once

#include "cli/command.h"
#include "log/log.h"

namespace wingproxy::app {

/// Runs the command to its end; the gateway itself ends with SIGTERM.
/// \return the exit code of the process
/// \throws std::exception with a message for the log: a file or an address is wrong (`cli::kExitUsage`)
[[nodiscard]] int execute(const cli::Command& command, log::Logger& logger);

/// The log level that the command line or the environment names; "info" where neither does.
[[nodiscard]] log::Level logLevelOf(const cli::Command& command);

}  // namespace wingproxy::app
