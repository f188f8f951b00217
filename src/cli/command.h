// The command line: what the program is asked to do. No I/O but what CLI11 itself writes for --help and
// errors.
#pragma once

#include <string>
#include <variant>

#include "admin/admin_request.h"

namespace wingproxy::cli {

// Exit codes. A front that runs ends with kDone after SIGTERM.
constexpr int kExitOk = 0, kExitDenied = 1, kExitUsage = 2, kExitUnreachable = 3;

// Where the files are. Empty: not told, neither by an option nor by the environment.
struct Files {
    std::string config, operators, adminListen, descriptor, logLevel;
};
struct RunCommand {  // no command: the front itself, as the platform starts it
    Files files;
};
struct CheckCommand {  // both files, nothing is started
    Files files;
};
struct AdminCommand {  // a call to a running front
    Files files;
    admin::AdminRequest call;
};
struct ExitCommand {  // --help, --version or a wrong line: it has been said
    int code = kExitOk;
};
using Command = std::variant<RunCommand, CheckCommand, AdminCommand, ExitCommand>;

Command parse(int argc, const char* const* argv);

}  // namespace wingproxy::cli
