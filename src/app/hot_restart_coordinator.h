/// \file
/// What a hot restart does to the other parts of the gateway: which state passes between the processes, and
/// when (docs/hot_restart.md). The locks and files are `hot_restart::HotRestart`'s.
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

/// Connects `HotRestart` with the engine, the peers and the HTTP front. Single-threaded.
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
        std::function<void()> sharingChanged;               ///< `limitsAreShared` has another value
    };

    /// \param folder that the processes of the gateway share
    /// \param name of the gateway, as configured
    HotRestartCoordinator(Parts parts, std::string folder, std::string name, Handlers handlers,
                          log::Logger& logger);

    /// Finds out whether another process serves, and looks for other processes from now on. The handlers may
    /// be called within this call.
    void start();
    /// Calls no handler any more.
    void stop();

    /// Whether no other process served at the start.
    [[nodiscard]] bool isFirstProcess() const;
    /// Whether this process is a successor that does not serve yet.
    [[nodiscard]] bool waitsAsSuccessor() const;
    /// Whether a successor waits, to which `transferService` may give the service.
    [[nodiscard]] bool hasSuccessor() const { return hotRestart_.successorWaits(); }
    /// Whether another process uses the same limits. Assumed until the first look.
    [[nodiscard]] bool limitsAreShared() const { return limitsAreShared_; }
    /// The locks and files of this process, for its counters. Valid as long as the coordinator.
    [[nodiscard]] const hot_restart::HotRestart& hotRestart() const { return hotRestart_; }

    /// Starts from the snapshot of the process before. To be called before the engine starts.
    /// \param longestDeadline of the classes: the old process has answered all its requests by then
    void restore(hot_restart::Snapshot snapshot, std::chrono::microseconds longestDeadline);
    /// Accepts no connection any more, and gives the state and the right to serve to the successor.
    void transferService();

    /// Applies the administrative drains that another process was given, and passes on those of this one.
    void exchangeOverrides();
    /// Passes on an administrative drain that this process was given just now.
    void publishOverrides();

private:
    void pollOtherProcess();
    void updateSharing(bool shared);

    Parts parts_;
    std::string name_;
    Handlers handlers_;
    log::Logger& logger_;
    hot_restart::HotRestart hotRestart_;
    boost::asio::steady_timer pollTimer_;
    bool limitsAreShared_ = true;
};

}  // namespace wingproxy::app
