/// \file
/// Parses the command line into a command and its options. Reads no files and connects to no front; CLI11
/// prints the texts of --help, --version and usage errors.
#pragma once

#include <string>
#include <variant>

#include "admin/admin_request.h"

namespace wingproxy::cli {

/// Exit codes of the program, which scripts rely on.
inline constexpr int kExitOk = 0;           ///< success, also of a front that stops after SIGTERM
inline constexpr int kExitRejected = 1;     ///< a running front rejected the request
inline constexpr int kExitUsage = 2;        ///< wrong command line or configuration, or any other exception
inline constexpr int kExitUnreachable = 3;  ///< no front responded

/// The values of the options, or of the environment where an option is missing; empty if neither is set.
struct CommandOptions {
    std::string configPath;
    std::string operatorConfigPath;
    std::string adminAddress;        ///< ADDRESS:PORT
    std::string listenerDescriptor;  ///< PROXY_FD: number of an inherited descriptor that listens for clients
    std::string logLevel;
};

/// No command: serve. This is how the platform starts the program.
struct RunCommand {
    CommandOptions options;
};
/// Read both configuration files without starting anything.
struct CheckCommand {
    CommandOptions options;
};
/// Send a request to a running front.
struct AdminCommand {
    CommandOptions options;
    admin::AdminRequest request;
};
/// Exit: the output of --help or --version, or a usage error, is already printed.
struct ExitCommand {
    int code = kExitOk;
};
/// The command that the command line specifies.
using Command = std::variant<RunCommand, CheckCommand, AdminCommand, ExitCommand>;

/// Parses the command line and the environment variables PROXY_CONFIG, WINGPROXY_OPERATOR, PROXY_MGMT,
/// WINGPROXY_LOG and PROXY_FD. A usage error does not throw: its text is written to standard error, and the
/// result is an ExitCommand.
/// \param argv the arguments of `main`, including the program's name
Command parseCommandLine(int argc, const char* const* argv);

}  // namespace wingproxy::cli
