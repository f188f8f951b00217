/// \file
/// The command line: which command it holds, and where its files are. It reads no file and calls no front;
/// CLI11 itself prints the texts of --help, --version and usage errors.
#pragma once

#include <string>
#include <variant>

#include "admin/admin_request.h"

namespace wingproxy::cli {

/// Exit codes of the program, which scripts rely on.
inline constexpr int kExitOk = 0;           ///< done; a front that served ends with it after SIGTERM
inline constexpr int kExitRejected = 1;     ///< a running front rejected the request
inline constexpr int kExitUsage = 2;        ///< wrong command line or configuration
inline constexpr int kExitUnreachable = 3;  ///< no front responded

/// What the options say, with the environment's values where an option is missing. Empty: neither has it.
struct CommandOptions {
    std::string configPath;
    std::string operatorConfigPath;
    std::string adminAddress;        ///< ADDRESS:PORT
    std::string listenerDescriptor;  ///< number of a descriptor that already listens for clients
    std::string logLevel;
};

/// No command: serve, as the platform starts the program.
struct RunCommand {
    CommandOptions options;
};
/// Read both files and start nothing.
struct CheckCommand {
    CommandOptions options;
};
/// A request to a running front.
struct AdminCommand {
    CommandOptions options;
    admin::AdminRequest request;
};
/// Nothing more to do: --help or --version, or a usage error that is printed already.
struct ExitCommand {
    int code = kExitOk;
};
/// What the command line orders: exactly one of these.
using Command = std::variant<RunCommand, CheckCommand, AdminCommand, ExitCommand>;

/// Reads the command line and the environment: PROXY_CONFIG, WINGPROXY_OPERATOR, PROXY_MGMT, WINGPROXY_LOG
/// and PROXY_FD. A usage error is no exception: its text is written to standard error, and the result is an
/// ExitCommand.
/// \param argv as `main` gets it, with the program's name first
Command parseCommandLine(int argc, const char* const* argv);

}  // namespace wingproxy::cli
