#include "hot_restart/hot_restart.h"

namespace wingproxy::hot_restart {
namespace {

// How soon a successor notices that the right to serve is free: well within an aim.
constexpr std::chrono::milliseconds kLookEvery{5};
// Thousands of chunk servers out by hand; more is no file of ours.
constexpr std::size_t kMostOverrides = 1024 * 1024;

}  // namespace

HotRestart::HotRestart(boost::asio::io_context& io, std::string folder, std::string front,
                       log::Logger& logger)
    : again_(io),
      folder_(std::move(folder)),
      front_(std::move(front)),
      logger_(logger),
      serving_(path("serving")),
      successor_(path("successor")),
      leaving_(path("leaving")),
      overridesLock_(path("words.lock")) {}

std::string HotRestart::path(const char* name) const { return folder_ + "/wingproxy." + name; }

void HotRestart::begin(std::function<void(std::optional<Snapshot>)> takeOver) {
    if (serving_.take()) {
        role_ = Role::First;
        return;
    }
    role_ = Role::Successor;
    takeOver_ = std::move(takeOver);
    logger_.info("handover: another process serves, this one waits for it");
    tryAgain();
}

void HotRestart::tryAgain() {
    successor_.take();  // where another one waits already, until that has served
    if (!successor_.held() || !serving_.take()) {
        again_.expires_after(kLookEvery);
        again_.async_wait([this](const boost::system::error_code& stopped) {
            if (!stopped) tryAgain();
        });
        return;
    }
    role_ = Role::Serving;
    successor_.release();
    std::optional<Snapshot> snapshot;
    if (const auto bytes = readFile(path("snapshot"), kMostBytes)) {
        auto read = decode(*bytes, front_, net::Clock().now());
        if (const auto* refused = std::get_if<Refused>(&read)) {
            ++counters_.refused;
            logger_.warn("handover: snapshot refused, {}; starting as after a crash", refused->why);
        } else {
            snapshot = std::move(std::get<Snapshot>(read));
        }
        std::remove(path("snapshot").c_str());  // a loan counts once
    } else {
        logger_.warn("handover: the other process left no snapshot; starting as after a crash");
    }
    if (snapshot) ++counters_.taken;
    std::exchange(takeOver_, nullptr)(std::move(snapshot));
}

bool HotRestart::another() {
    if (role_ == Role::Successor || role_ == Role::ShutdownStarted) return true;
    Lock leaving(path("leaving"));
    return successorWaits() || !leaving.take();
}

bool HotRestart::successorWaits() {
    Lock successor(path("successor"));
    return !successor.take(true);  // shared: two that look do not take each other for one
}

void HotRestart::give(const Snapshot& snapshot) {
    role_ = Role::ShutdownStarted;
    if (writeFile(path("snapshot"), encode(snapshot))) {
        ++counters_.given;
    } else {
        ++counters_.unwritten;
        logger_.error("handover: the snapshot cannot be written; the successor starts as after a crash");
    }
    leaving_.wait(true);
    serving_.release();
}

void HotRestart::stop() {
    again_.cancel();
    takeOver_ = nullptr;
}

core::AdminOverrides HotRestart::exchange(const core::AdminOverrides& own) {
    overridesLock_.wait();
    const auto bytes = readFile(path("words"), kMostOverrides);
    core::AdminOverrides all = own;
    if (bytes && *bytes != lastOverrides_) {
        auto read = decodeOverrides(*bytes);
        if (const auto* refused = std::get_if<Refused>(&read)) {
            ++counters_.refused;
            logger_.warn("handover: operators' overrides refused, {}", refused->why);
        } else {
            all = merge(std::move(all), std::get<core::AdminOverrides>(read));
            ++counters_.overrides;
        }
    }
    auto now = encodeOverrides(all);
    if (!all.empty() && (!bytes || now != *bytes) && !writeFile(path("words"), now)) {
        ++counters_.unwritten;
        logger_.error(
            "handover: operators' overrides cannot be written; another process would not know them");
    }
    lastOverrides_ = std::move(now);
    overridesLock_.release();
    return all;
}

}  // namespace wingproxy::hot_restart
