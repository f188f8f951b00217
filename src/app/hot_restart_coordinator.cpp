#include "app/hot_restart_coordinator.h"

#include <utility>

namespace wingproxy::app {
namespace {

using Role = hot_restart::HotRestart::Role;

/// Interval at which a process checks for another one of its gateway. Far below the 1 s within which an admin
/// request is answered.
constexpr std::chrono::milliseconds kPollInterval{100};

}  // namespace

HotRestartCoordinator::HotRestartCoordinator(Parts parts, std::string folder, std::string name,
                                             Handlers handlers, log::Logger& logger)
    : parts_(parts),
      name_(std::move(name)),
      handlers_(std::move(handlers)),
      logger_(logger),
      hotRestart_(parts.engine.io(), std::move(folder), name_, logger),
      pollTimer_(parts.engine.io()) {}

void HotRestartCoordinator::start() {
    hotRestart_.start(handlers_.takeOver);
    pollOtherProcess();
}

void HotRestartCoordinator::stop() {
    hotRestart_.stop();
    pollTimer_.cancel();
}

bool HotRestartCoordinator::isFirstProcess() const { return hotRestart_.role() == Role::First; }

bool HotRestartCoordinator::waitsAsSuccessor() const { return hotRestart_.role() == Role::Successor; }

void HotRestartCoordinator::restore(hot_restart::Snapshot snapshot,
                                    std::chrono::microseconds longestDeadline) {
    parts_.front.setRequestsOpenElsewhere(snapshot.openRequestIds,
                                          snapshot.takenAt + longestDeadline.count());
    if (!parts_.engine.restore(std::move(snapshot.engine))) {
        logger_.warn(
            "hot restart: the snapshot's policy state is of other settings; the policy starts as after a "
            "crash");
    }
}

void HotRestartCoordinator::transferService() {
    parts_.front.sessionManager().releaseListener();
    // Responses close their connections, so that clients reconnect to the successor.
    parts_.front.startDraining();
    parts_.peers.stop();
    auto openRequestIds = parts_.front.openRequestIds();
    hotRestart_.transfer(
        {name_, parts_.engine.now(), parts_.engine.takeSnapshot(), std::move(openRequestIds)});
    logger_.info("hot restart: service transferred to the successor");
}

void HotRestartCoordinator::exchangeOverrides() {
    parts_.engine.applyOverrides(hotRestart_.exchangeOverrides(parts_.engine.overrides()));
}

void HotRestartCoordinator::publishOverrides() { hotRestart_.exchangeOverrides(parts_.engine.overrides()); }

void HotRestartCoordinator::pollOtherProcess() {
    setLimitSharing(hotRestart_.anotherProcessRuns());
    if (limitsAreShared_) exchangeOverrides();
    pollTimer_.expires_after(kPollInterval);
    pollTimer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled) pollOtherProcess();
    });
}

void HotRestartCoordinator::setLimitSharing(bool shared) {
    if (shared == limitsAreShared_) return;
    limitsAreShared_ = shared;
    handlers_.limitSharingChanged();
    logger_.info("hot restart: {}",
                 shared ? "two processes share the limits" : "this process has all of the limits");
}

}  // namespace wingproxy::app
