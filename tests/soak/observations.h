/// \file
/// What the stand-ins around a fleet saw of each request, and which rules that breaks.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "support/slow_start_budget_check.h"

namespace wingproxy::soak {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// How late the observing process itself may be.
inline constexpr milliseconds kObserverSlack{100};

/// One request of a client.
struct ObservedRequest {
    std::size_t front = 0;
    double units = 1;
    milliseconds patience{0};  ///< how long the client waits for the answer
    Clock::time_point sentAt;
    std::optional<Clock::time_point> clientLeftAt;
    int attempts = 0;  ///< that arrived at nodes
};

/// One process of a node.
struct ObservedNode {
    std::string id;
    Clock::time_point startedAt;
    bool isStarting = false;        ///< listed with its start; else it is warm
    std::int64_t startVersion = 0;  ///< of the endpoint list that told of it
    std::int64_t drainVersion = 0;  ///< likewise of its drain; 0: it does not drain
    /// Until then a proxy holds requests back: when they arrive says nothing of when they were sent.
    Clock::time_point heldBackUntil{};
    test::ArrivalRecord arrivals;  ///< of fronts that had been told of its start
};

/// Collects broken rules, each as one line.
class Observations {
public:
    explicit Observations(Settings settings, std::size_t fronts)
        : settings_(std::move(settings)), toldAt_(fronts) {}

    /// A front breaks a rule.
    void violate(const std::string& what) {
        violations_.push_back(fmt::format(
            "{:.3f} s: {}", std::chrono::duration<double>(Clock::now() - startedAt_).count(), what));
    }
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }

    /// A client sent a request.
    void requestSent(const std::string& id, const ObservedRequest& request) { requests_[id] = request; }
    /// A client went away without waiting for its answer.
    void clientLeft(const std::string& id) { requests_.at(id).clientLeftAt = Clock::now(); }
    /// The endpoint list of this version was written to a front.
    void listTold(std::size_t front, std::int64_t version) {
        toldAt_[front].try_emplace(version, Clock::now());
    }
    /// A front's process is new: it knows nothing yet.
    void frontStarted(std::size_t front) { toldAt_[front].clear(); }

    /// A node has got a whole request.
    void attemptArrived(ObservedNode& node, const std::string& id, milliseconds toldPatience) {
        const auto found = requests_.find(id);
        if (found == requests_.end()) return violate("a node got a request that no client sent: " + id);
        ObservedRequest& request = found->second;
        const Clock::time_point now = Clock::now();
        ++attempts_;
        if (++request.attempts > settings_.maxAttempts) violate("more attempts than allowed: " + id);
        if (node.isStarting && toldSince(request.front, node.startVersion))
            node.arrivals.record(request.units, microsSince(node.startedAt));
        if (now >= node.heldBackUntil) checkTimes(node, request, toldPatience);
    }
    /// A node's process is gone, or the run is over.
    void nodeEnded(const ObservedNode& node) {
        if (!node.isStarting) return;
        const double excess = node.arrivals.largestExcess(settings_, 0);
        fullestWindow_ = std::max(fullestWindow_, excess);
        if (excess > 0)
            violate(fmt::format("{} in slow start got {:.1f} requests of mean work more than it bears",
                                node.id, excess));
    }
    /// Units of a request that a client sent.
    [[nodiscard]] double unitsOf(const std::string& id) const {
        const auto found = requests_.find(id);
        return found == requests_.end() ? 1 : found->second.units;
    }
    [[nodiscard]] std::size_t requestCount() const { return requests_.size(); }
    [[nodiscard]] std::size_t attemptCount() const { return attempts_; }
    /// Of the fullest window of any node in slow start: requests beyond what it bears; below 0 if none.
    [[nodiscard]] double fullestWindow() const { return fullestWindow_; }

private:
    static constexpr milliseconds kDeadlineSlack{150};
    static constexpr milliseconds kLeaveSlack{100};
    static constexpr milliseconds kRuleSlack{50};

    // The rules on when an attempt may begin, and on the time that it names.
    void checkTimes(const ObservedNode& node, const ObservedRequest& request, milliseconds toldPatience) {
        const Clock::time_point now = Clock::now();
        const auto inMillis = [](auto span) {
            return std::chrono::duration_cast<milliseconds>(span).count();
        };
        const auto left = request.sentAt + request.patience - now;
        if (toldPatience > left + kDeadlineSlack + kObserverSlack)
            violate(fmt::format("an attempt names {} ms, its client has {} ms left", toldPatience.count(),
                                inMillis(left)));
        if (request.clientLeftAt && now - *request.clientLeftAt > kLeaveSlack + kObserverSlack)
            violate(fmt::format("an attempt began {} ms after its client left",
                                inMillis(now - *request.clientLeftAt)));
        const auto grace = std::chrono::microseconds(settings_.drainGraceUs) + kRuleSlack + kObserverSlack;
        if (const auto told = toldSince(request.front, node.drainVersion); told && now - *told > grace)
            violate(fmt::format("{} drains, and got a request {} ms after that was told", node.id,
                                inMillis(now - *told)));
    }
    static Micros microsSince(Clock::time_point from) {
        return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - from).count();
    }
    [[nodiscard]] std::optional<Clock::time_point> toldSince(std::size_t front, std::int64_t version) const {
        if (version == 0) return std::nullopt;
        const auto told = toldAt_[front].lower_bound(version);
        if (told == toldAt_[front].end()) return std::nullopt;
        return told->second;
    }

    Settings settings_;
    Clock::time_point startedAt_ = Clock::now();
    std::vector<std::map<std::int64_t, Clock::time_point>> toldAt_;  // by front, then by version
    std::map<std::string, ObservedRequest> requests_;
    std::vector<std::string> violations_;
    std::size_t attempts_ = 0;
    double fullestWindow_ = -1'000;
};

}  // namespace wingproxy::soak
