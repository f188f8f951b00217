/// \file
/// Executes the commands of the command line. Each reads the files that it needs and returns the exit code.
#pragma once

#include "cli/command.h"
#include "log/log.h"

namespace wingproxy::app {

/// Executes the command and returns when it is done; the gateway itself runs until SIGTERM or SIGINT.
/// \return the exit code of the process
/// \throws std::exception with a message for the log if a file or an address is invalid; the process then
///     exits with `cli::kExitUsage`
[[nodiscard]] int execute(const cli::Command& command, log::Logger& logger);

/// The log level from the command line or the environment; "info" if neither sets it.
[[nodiscard]] log::Level logLevelOf(const cli::Command& command);

}  // namespace wingproxy::app
