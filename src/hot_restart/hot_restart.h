/// \file
/// Which of a gateway's processes serves, and how the service passes from one to the next
/// (docs/hot_restart.md).
///
/// The processes of one gateway share a folder with three lock files: `wingproxy.serving` is held by the
/// process that serves, `wingproxy.successor` by one that waits to take over, `wingproxy.leaving` (shared) by
/// those that have transferred the service and finish what is in flight. Locks are released by the kernel
/// when their holder dies.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "hot_restart/file_lock.h"
#include "hot_restart/snapshot.h"
#include "log/log.h"

namespace wingproxy::hot_restart {

/// One process's part in the hot restart. Owns its locks and the files with the snapshot and the overrides.
class HotRestart {
public:
    /// Counted since the start of the process.
    struct Counters {
        std::uint64_t restored = 0;       ///< snapshots that this process started from
        std::uint64_t transferred = 0;    ///< snapshots that it wrote for its successor
        std::uint64_t rejected = 0;       ///< snapshots and overrides files that did not decode
        std::uint64_t overridesRead = 0;  ///< overrides files with something new
        std::uint64_t writeFailures = 0;  ///< files that could not be written
    };
    /// This process's part. `First` and `Serving` become `Transferred`, `Successor` becomes `Serving`.
    enum class Role {
        First,        ///< serves, and found no other process at its start
        Successor,    ///< waits until the serving process transfers the service or dies
        Serving,      ///< serves, after it was a successor
        Transferred,  ///< has given the service to its successor and finishes what is in flight
    };
    /// Called once, when a successor begins to serve; without a snapshot where the old process left none that
    /// can be used.
    using TakeOverHandler = std::function<void(std::optional<Snapshot>)>;

    /// \param folder exists; both processes name the same one
    /// \param gatewayName the gateway's configured name
    HotRestart(boost::asio::io_context& io, std::string folder, std::string gatewayName, log::Logger& logger);

    /// Settles the role: `First`, where no other process serves, and the handler is never called. Otherwise
    /// `Successor`, and the handler is called as soon as the service is free: perhaps within this call.
    void start(TakeOverHandler takeOver);
    /// Does not call the handler any more.
    void stop();

    /// `First` before `start`.
    [[nodiscard]] Role role() const { return role_; }
    /// Whether another process of this gateway, a waiting successor or one that finishes, uses its limits
    /// now.
    [[nodiscard]] bool anotherProcessRuns() const;
    /// Whether a successor runs and waits for the service.
    [[nodiscard]] bool successorWaits() const;
    /// Leaves the snapshot and releases the service to the successor.
    void transfer(const Snapshot& snapshot);

    /// Merges this process's overrides with those of the file, and writes the file where that changes it.
    /// \param own with those that earlier calls returned, as a file that was seen before is not read again
    /// \return the overrides of both processes
    core::AdminOverrides exchangeOverrides(const core::AdminOverrides& own);

    /// Valid as long as this object.
    [[nodiscard]] const Counters& counters() const { return counters_; }

private:
    void tryTakeOver();
    void scheduleTakeOver();
    std::optional<Snapshot> consumeSnapshot();
    core::AdminOverrides mergeStored(const core::AdminOverrides& own, const std::string& stored);
    [[nodiscard]] std::string path(const char* name) const;

    boost::asio::steady_timer retryTimer_;
    std::string folder_;
    std::string gatewayName_;
    log::Logger& logger_;
    FileLock serving_;
    FileLock successor_;
    FileLock leaving_;
    FileLock overridesLock_;
    TakeOverHandler takeOver_;
    Role role_ = Role::First;
    /// Bytes of the overrides file that were read or written last; the same ones are not decoded again.
    std::string lastOverrides_;
    Counters counters_;
};

}  // namespace wingproxy::hot_restart
