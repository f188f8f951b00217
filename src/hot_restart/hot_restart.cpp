#include "hot_restart/hot_restart.h"

#include <cstdio>
#include <utility>

#include "hot_restart/atomic_file.h"

namespace wingproxy::hot_restart {
namespace {

/// Interval at which a successor tries to take over. Clients wait in the listener's queue meanwhile, so it is
/// far below the latency objectives of the classes.
constexpr std::chrono::milliseconds kTakeOverInterval{5};
/// Enough for thousands of drained nodes. A longer file is not an overrides file.
constexpr std::size_t kMaxOverridesBytes = std::size_t{1024} * 1024;

// Two versions of the program share these files, so their names must not change.
constexpr const char* kSnapshotFile = "snapshot";
constexpr const char* kOverridesFile = "words";

}  // namespace

HotRestart::HotRestart(boost::asio::io_context& io, std::string folder, std::string gatewayName,
                       log::Logger& logger)
    : retryTimer_(io),
      folder_(std::move(folder)),
      gatewayName_(std::move(gatewayName)),
      logger_(logger),
      serving_(path("serving")),
      successor_(path("successor")),
      leaving_(path("leaving")),
      overridesLock_(path("words.lock")) {}

std::string HotRestart::path(const char* name) const { return folder_ + "/wingproxy." + name; }

void HotRestart::start(TakeOverHandler takeOver) {
    if (serving_.tryAcquire()) {
        role_ = Role::First;
        return;
    }
    role_ = Role::Successor;
    takeOver_ = std::move(takeOver);
    logger_.info("hot restart: another process serves, this one waits as its successor");
    tryTakeOver();
}

void HotRestart::stop() {
    retryTimer_.cancel();
    takeOver_ = nullptr;
}

void HotRestart::scheduleTakeOver() {
    retryTimer_.expires_after(kTakeOverInterval);
    retryTimer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled) tryTakeOver();
    });
}

void HotRestart::tryTakeOver() {
    successor_.tryAcquire();  // fails while another successor waits, which takes over first
    if (!successor_.held() || !serving_.tryAcquire()) {
        scheduleTakeOver();
        return;
    }
    role_ = Role::Serving;
    successor_.release();
    auto snapshot = consumeSnapshot();
    if (snapshot) ++counters_.restored;
    std::exchange(takeOver_, nullptr)(std::move(snapshot));
}

std::optional<Snapshot> HotRestart::consumeSnapshot() {
    const auto bytes = readFile(path(kSnapshotFile), kMaxSnapshotBytes);
    if (!bytes) {
        logger_.warn("hot restart: the previous process left no snapshot; starting as after a crash");
        return std::nullopt;
    }
    auto decoded = decode(*bytes, gatewayName_, net::Clock().now());
    std::optional<Snapshot> snapshot;
    if (const auto* error = std::get_if<SnapshotError>(&decoded)) {
        ++counters_.rejected;
        logger_.warn("hot restart: snapshot rejected, {}; starting as after a crash", describe(*error));
    } else {
        snapshot = std::move(std::get<Snapshot>(decoded));
    }
    // No other process may read the snapshot, since its leases may be used by one process only.
    std::remove(path(kSnapshotFile).c_str());
    return snapshot;
}

bool HotRestart::anotherProcessRuns() const {
    if (role_ == Role::Successor || role_ == Role::Transferred) return true;
    if (successorWaits()) return true;
    FileLock leaving(path("leaving"));
    return !leaving.tryAcquire();
}

bool HotRestart::successorWaits() const {
    FileLock successor(path("successor"));
    // Shared, so that two processes that check at the same time do not mistake each other for a successor.
    return !successor.tryAcquire(FileLock::Mode::Shared);
}

void HotRestart::transfer(const Snapshot& snapshot) {
    role_ = Role::Transferred;
    if (writeFileAtomically(path(kSnapshotFile), encode(snapshot))) {
        ++counters_.transferred;
    } else {
        ++counters_.writeFailures;
        logger_.error("hot restart: cannot write the snapshot; the successor starts as after a crash");
    }
    leaving_.acquire(FileLock::Mode::Shared);
    serving_.release();
}

core::AdminOverrides HotRestart::mergeStored(const core::AdminOverrides& own, const std::string& stored) {
    const auto decoded = decodeOverrides(stored);
    if (const auto* error = std::get_if<SnapshotError>(&decoded)) {
        ++counters_.rejected;
        logger_.warn("hot restart: overrides file rejected, {}", describe(*error));
        return own;
    }
    ++counters_.overridesRead;
    return mergeOverrides(own, std::get<core::AdminOverrides>(decoded));
}

core::AdminOverrides HotRestart::exchangeOverrides(const core::AdminOverrides& own) {
    overridesLock_.acquire();
    const auto stored = readFile(path(kOverridesFile), kMaxOverridesBytes);
    const bool isNew = stored && *stored != lastOverrides_;
    core::AdminOverrides merged = isNew ? mergeStored(own, *stored) : own;
    auto bytes = encodeOverrides(merged);
    const bool differs = !stored || bytes != *stored;
    if (!merged.empty() && differs && !writeFileAtomically(path(kOverridesFile), bytes)) {
        ++counters_.writeFailures;
        logger_.error("hot restart: cannot write the overrides file; another process does not learn of them");
    }
    lastOverrides_ = std::move(bytes);
    overridesLock_.release();
    return merged;
}

}  // namespace wingproxy::hot_restart
