/// \file
/// Applies a hot restart to the other parts of the gateway: which state passes between the processes, and
/// when (docs/hot_restart.md). `hot_restart::HotRestart` manages the locks and files.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "hot_restart/hot_restart.h"
#include "http/front.h"
#include "log/log.h"
#include "net/engine.h"
#include "net/peer_transport.h"

namespace wingproxy::app {

/// Connects `HotRestart` to the engine, the peer transport and the HTTP front. Single-threaded.
class HotRestartCoordinator {
public:
    /// The parts whose state passes between the processes. They and the logger outlive the coordinator.
    struct Parts {
        net::Engine& engine;
        net::PeerTransport& peers;
        http::Front& front;
    };
    /// Called on the thread of the event loop.
    struct Handlers {
        hot_restart::HotRestart::TakeOverHandler takeOver;  ///< see `HotRestart::start`
        std::function<void()> limitSharingChanged;          ///< `limitsAreShared` has changed its value
    };

    /// \param folder shared by the processes of the gateway
    /// \param name configured name of the gateway
    HotRestartCoordinator(Parts parts, std::string folder, std::string name, Handlers handlers,
                          log::Logger& logger);

    /// Determines whether another process serves, and polls for other processes from now on. May call the
    /// handlers.
    void start();
    /// Stops polling and waiting; no handler is called any more.
    void stop();

    /// Whether no other process served at the start, and this one has not transferred the service.
    [[nodiscard]] bool isFirstProcess() const;
    /// Whether this process is a successor that does not serve yet.
    [[nodiscard]] bool waitsAsSuccessor() const;
    /// Whether a successor waits, to which `transferService` can transfer the service.
    [[nodiscard]] bool hasSuccessor() const { return hotRestart_.successorWaits(); }
    /// Whether another process uses the same limits. True until `start` has checked.
    [[nodiscard]] bool limitsAreShared() const { return limitsAreShared_; }
    /// Gives access to its counters. Valid as long as the coordinator.
    [[nodiscard]] const hot_restart::HotRestart& hotRestart() const { return hotRestart_; }

    /// Restores the snapshot of the previous process. Must be called before the engine starts.
    /// \param longestDeadline of the classes; the old process has answered its open requests when this time
    ///     after the snapshot has passed
    void restore(hot_restart::Snapshot snapshot, std::chrono::microseconds longestDeadline);
    /// Stops accepting connections, and transfers the state and the service to the successor.
    void transferService();

    /// Applies the administrative drains that another process received, and publishes those of this one.
    void exchangeOverrides();
    /// Publishes an administrative drain that this process has just received.
    void publishOverrides();

private:
    void pollOtherProcess();
    void setLimitSharing(bool shared);

    Parts parts_;
    std::string name_;
    Handlers handlers_;
    log::Logger& logger_;
    hot_restart::HotRestart hotRestart_;
    boost::asio::steady_timer pollTimer_;
    bool limitsAreShared_ = true;
};

}  // namespace wingproxy::app
