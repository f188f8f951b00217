/// \file
/// The program wingproxy: reads its arguments and executes the command that they name.
#include <csignal>
#include <exception>

#include "app/commands.h"
#include "cli/command.h"
#include "log/log.h"

int main(int argc, char** argv) {
    using namespace wingproxy;
    const cli::Command command = cli::parseCommandLine(argc, argv);
    log::Logger logger(app::logLevelOf(command));
    // A write to a connection that its peer has closed is an error of that write, not of the process.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return app::execute(command, logger);
    } catch (const std::exception& error) {
        logger.error("{}", error.what());
        return cli::kExitUsage;
    }
}
