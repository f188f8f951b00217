/// \file
/// Handles the signals that the process receives.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace wingproxy::app {

/// Catches SIGTERM, SIGINT, SIGHUP and SIGUSR1 as long as it exists, and runs their actions on the event
/// loop, one after another. Several signals of one kind that arrive before they are handled may run their
/// action only once.
class SignalHandler {
public:
    /// Called on the thread of the event loop, once for each signal.
    struct Actions {
        std::function<void()> shutDown;       ///< SIGTERM, SIGINT
        std::function<void()> reloadConfig;   ///< SIGHUP
        std::function<void()> reportMetrics;  ///< SIGUSR1
    };

    /// Signals are caught from now on; their actions run within `io.run()`.
    /// \param io outlives this object
    SignalHandler(boost::asio::io_context& io, Actions actions);

    /// Runs no action any more; the signals are still caught.
    void stop();

private:
    void awaitNext();
    void handle(int signal) const;

    boost::asio::signal_set signals_;
    Actions actions_;
};

}  // namespace wingproxy::app
