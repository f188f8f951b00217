/// \file
/// The program wingproxy: parses its command line and executes the command.
#include <csignal>
#include <exception>

#include "app/commands.h"
#include "cli/command.h"
#include "log/log.h"

int main(int argc, char** argv) {
    using namespace wingproxy;
    const cli::Command command = cli::parseCommandLine(argc, argv);
    log::Logger logger(app::logLevelOf(command));
    // Writing to a connection that the peer has closed returns an error instead of terminating the process.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return app::execute(command, logger);
    } catch (const std::exception& error) {
        logger.error("{}", error.what());
        return cli::kExitUsage;
    }
}
