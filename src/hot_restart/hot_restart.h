/// \file
/// Decides which of a gateway's processes serves, and transfers the service from one to the next
/// (docs/hot_restart.md).
///
/// The processes of one gateway share a folder with three lock files: `wingproxy.serving` is held by the
/// process that serves, `wingproxy.successor` by one that waits to take over, and `wingproxy.leaving`
/// (shared) by those that have transferred the service and finish their requests in flight. The kernel
/// releases the locks of a process that dies.
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

/// One process's side of a hot restart: its locks, and the files with the snapshot and the overrides.
class HotRestart {
public:
    /// Totals since the start of the process.
    struct Counters {
        std::uint64_t restored = 0;       ///< snapshots that this process took over
        std::uint64_t transferred = 0;    ///< snapshots that it wrote for its successor
        std::uint64_t rejected = 0;       ///< snapshots and overrides files that did not decode
        std::uint64_t overridesRead = 0;  ///< overrides files decoded, as their content was new
        std::uint64_t writeFailures = 0;  ///< files that could not be written
    };
    /// This process's role. `First` and `Serving` change to `Transferred`, `Successor` changes to `Serving`.
    enum class Role {
        First,        ///< serves; no other process served when it started
        Successor,    ///< waits until the serving process transfers the service or dies
        Serving,      ///< serves, and was a successor before
        Transferred,  ///< transferred the service to its successor and finishes its requests in flight
    };
    /// Called once, when a successor starts to serve; without a snapshot if the old process left no valid
    /// one.
    using TakeOverHandler = std::function<void(std::optional<Snapshot>)>;

    /// \param folder an existing folder that all processes of the gateway share
    /// \param gatewayName the configured name
    HotRestart(boost::asio::io_context& io, std::string folder, std::string gatewayName, log::Logger& logger);

    /// Determines the role: `First` if no other process serves; the handler is then never called. Otherwise
    /// `Successor`; the handler is called as soon as no other process serves, perhaps within this call.
    void start(TakeOverHandler takeOver);
    /// Cancels the wait of a successor: the handler is not called any more.
    void stop();

    /// `First` before `start`.
    [[nodiscard]] Role role() const { return role_; }
    /// Whether another process of this gateway uses the gateway's limits now: a waiting successor, or one
    /// that finishes its requests in flight. Always true for a successor and after `transfer`.
    [[nodiscard]] bool anotherProcessRuns() const;
    /// Whether a successor runs and waits for the service.
    [[nodiscard]] bool successorWaits() const;
    /// Writes the snapshot and releases the service to the successor. If the snapshot cannot be written, the
    /// successor starts without one.
    void transfer(const Snapshot& snapshot);

    /// Merges this process's overrides with those of the file, and writes the file if the result differs.
    /// \param own this process's overrides, including those that earlier calls returned: a file that equals
    ///     the result of the last call is not decoded again
    /// \return the merged overrides
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
    /// The encoded result of the last exchange; a file with the same bytes is not decoded again.
    std::string lastOverrides_;
    Counters counters_;
};

}  // namespace wingproxy::hot_restart
