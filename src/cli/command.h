// The command line: what the program is asked to do. No I/O but what CLI11 itself writes for --help and
// errors.
#pragma once

#include <string>
#include <variant>

#include "admin/admin_request.h"

namespace wingproxy::cli {

// Exit codes. A front that runs ends with kDone after SIGTERM.
constexpr int kDone = 0, kNo = 1, kWrong = 2, kUnreachable = 3;

// Where the files are. Empty: not told, neither by an option nor by the environment.
struct Files {
    std::string config, operators, mgmt, descriptor, logLevel;
};
struct Serve {  // no command: the front itself, as the platform starts it
    Files files;
};
struct Check {  // both files, nothing is started
    Files files;
};
struct Ask {  // a call to a running front
    Files files;
    operation::Call call;
};
struct End {  // --help, --version or a wrong line: it has been said
    int code = kDone;
};
using Command = std::variant<Serve, Check, Ask, End>;

Command parse(int argc, const char* const* argv);

}  // namespace wingproxy::cli
