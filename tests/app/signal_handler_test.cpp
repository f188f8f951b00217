// The action that each signal runs.
#include "app/signal_handler.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <string>
#include <vector>

using namespace wingproxy;

namespace {

/// Records the actions that signals run, in their order.
struct RecordedActions {
    /// Sends the signal to this process and runs the event loop until an action has run or the loop is out of
    /// work.
    void receive(int signal) {
        const std::size_t before = actions.size();
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        REQUIRE(std::raise(signal) == 0);
        while (actions.size() == before && io.run_one_until(end) > 0) {}
    }

    boost::asio::io_context io;
    std::vector<std::string> actions;
    app::SignalHandler handler{io,
                               {.shutDown = [this] { actions.emplace_back("shut down"); },
                                .reloadConfig = [this] { actions.emplace_back("reload"); },
                                .reportMetrics = [this] { actions.emplace_back("report"); }}};
};

using Actions = std::vector<std::string>;

}  // namespace

TEST_CASE("signals: SIGTERM and SIGINT shut down") {
    RecordedActions recorded;
    recorded.receive(SIGTERM);
    recorded.receive(SIGINT);
    CHECK(recorded.actions == Actions{"shut down", "shut down"});
}

TEST_CASE("signals: SIGHUP reloads the configuration, and SIGUSR1 reports the metrics") {
    RecordedActions recorded;
    recorded.receive(SIGHUP);
    recorded.receive(SIGUSR1);
    recorded.receive(SIGHUP);
    CHECK(recorded.actions == Actions{"reload", "report", "reload"});
}

TEST_CASE("signals: a stopped handler runs no action, and the signal does not end the process") {
    RecordedActions recorded;
    recorded.handler.stop();
    recorded.receive(SIGTERM);
    CHECK(recorded.actions.empty());
}
