// Which of a front's processes serves, and how the right passes from one to the next (see docs/handover.md).
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "hot_restart/shared_files.h"
#include "hot_restart/snapshot.h"
#include "log/log.h"

namespace wingproxy::hot_restart {

class HotRestart {
public:
    struct Counters {
        std::uint64_t taken = 0, given = 0, refused = 0;  // snapshots
        std::uint64_t overrides = 0, unwritten = 0;  // files with overrides that were new; files not written
    };
    enum class Role { First, Successor, Serving, ShutdownStarted };

    HotRestart(boost::asio::io_context& io, std::string folder, std::string front, log::Logger& logger);
    // First: no other process serves, and nothing passes on. Else takeOver is called once the right to serve
    // has come, with what the other one left or, where it died, with nothing.
    void begin(std::function<void(std::optional<Snapshot>)> takeOver);
    Role role() const { return role_; }
    // Whether a process that is ready to take over, or one that leaves, shares this front's limits now.
    bool another();
    bool successorWaits();  // it lives and is ready
    void give(const Snapshot& snapshot);
    void stop();

    // The overrides of both processes: those of `own` are added to what the file has, and all of them
    // returned.
    core::AdminOverrides exchange(const core::AdminOverrides& own);
    const Counters& counters() const { return counters_; }

private:
    void tryAgain();
    std::string path(const char* name) const;
    boost::asio::steady_timer again_;
    std::string folder_, front_;
    log::Logger& logger_;
    Lock serving_, successor_, leaving_, overridesLock_;
    std::function<void(std::optional<Snapshot>)> takeOver_;
    Role role_ = Role::First;
    std::string lastOverrides_;
    Counters counters_;
};

}  // namespace wingproxy::hot_restart
