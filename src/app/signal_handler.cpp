#include "app/signal_handler.h"

#include <csignal>
#include <utility>

namespace wingproxy::app {

SignalHandler::SignalHandler(boost::asio::io_context& io, Actions actions)
    : signals_(io, SIGTERM, SIGINT, SIGUSR1), actions_(std::move(actions)) {
    signals_.add(SIGHUP);
    awaitNext();
}

void SignalHandler::stop() { signals_.cancel(); }

void SignalHandler::awaitNext() {
    signals_.async_wait([this](const boost::system::error_code& cancelled, int signal) {
        if (cancelled) return;
        handle(signal);
        awaitNext();
    });
}

void SignalHandler::handle(int signal) const {
    switch (signal) {
        case SIGUSR1:
            actions_.reportMetrics();
            return;
        case SIGHUP:
            actions_.reloadConfig();
            return;
        default:
            actions_.shutDown();
            return;
    }
}

}  // namespace wingproxy::app
