/// \file
/// What the stand-ins around a fleet saw of each request, and which rules that breaks.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "support/slow_start_budget_check.h"

namespace wingproxy::soak {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// How late the observing process itself may be where nothing better is known of it.
inline constexpr milliseconds kObserverSlack{100};

/// How late the observer sees what happens: it looks once in each turn of its loop, and bytes pass a proxy on
/// the way.
class ObserverLag {
public:
    /// A turn of the loop begins.
    void turnBegan(Clock::time_point now) {
        longest_ = std::max(longest_, now - turns_.back());
        std::rotate(turns_.begin(), turns_.begin() + 1, turns_.end());
        turns_.back() = now;
    }
    /// What is seen now happened no longer ago than this, all of its way included.
    [[nodiscard]] Clock::duration now() const { return Clock::now() - turns_.front(); }
    /// The longest turn.
    [[nodiscard]] milliseconds longest() const { return std::chrono::duration_cast<milliseconds>(longest_); }

private:
    // A connect, the request through the proxy, and the node's read: three turns, and the present one.
    std::array<Clock::time_point, 4> turns_{Clock::now(), Clock::now(), Clock::now(), Clock::now()};
    Clock::duration longest_{0};
};

/// One request of a client.
struct ObservedRequest {
    std::size_t front = 0;
    double units = 1;
    milliseconds patience{0};  ///< how long the client waits for the answer
    Clock::time_point sentAt;
    std::optional<Clock::time_point> clientLeftAt;
    int attempts = 0;                          ///< that arrived at nodes
    int attemptsBeforeSend = 0;                ///< of these, before its client sent it once more
    std::vector<Clock::time_point> arrivedAt;  ///< when each of them was seen
};

/// A broken rule.
struct Violation {
    std::string what;
    std::string request;  ///< the id of the request concerned; empty where there is none
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
    /// What it really bears and does, as a multiple of what the settings promise of any node.
    double capacityFactor = 1;
};

/// The settings as they would promise what a node of this capacity really bears.
inline Settings settingsOfNode(Settings settings, double capacityFactor) {
    settings.slowStartUnits *= capacityFactor;
    return settings;
}

/// Collects broken rules, each as one line.
class Observations {
public:
    explicit Observations(Settings settings, std::size_t fronts)
        : settings_(std::move(settings)), toldAt_(fronts) {}

    /// A front breaks a rule.
    /// \param request the id of the request concerned, if there is one
    void violate(const std::string& what, const std::string& request = "") {
        violations_.push_back({fmt::format("{:.3f} s: {}", secondsAt(Clock::now()), what), request});
    }
    [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }
    /// Seconds from the start of the run.
    [[nodiscard]] double secondsAt(Clock::time_point time) const {
        return std::chrono::duration<double>(time - startedAt_).count();
    }
    /// How late this sees what happens.
    [[nodiscard]] ObserverLag& lag() { return lag_; }
    /// What was seen of a request; null if no client sent it.
    [[nodiscard]] const ObservedRequest* find(const std::string& id) const {
        const auto found = requests_.find(id);
        return found == requests_.end() ? nullptr : &found->second;
    }

    /// A client sent a request, for the first time or once more.
    void requestSent(const std::string& id, const ObservedRequest& request) {
        ObservedRequest& observed = requests_[id];
        const ObservedRequest before = std::exchange(observed, request);
        observed.attempts = before.attempts;
        observed.attemptsBeforeSend = before.attempts;
        observed.arrivedAt = before.arrivedAt;
    }
    /// Whether a node has got the request since its client last sent it.
    [[nodiscard]] bool hasArrived(const std::string& id) const {
        const ObservedRequest& request = requests_.at(id);
        return request.attempts > request.attemptsBeforeSend;
    }
    /// A client went away without waiting for its answer.
    void clientLeft(const std::string& id) { requests_.at(id).clientLeftAt = Clock::now(); }
    /// The endpoint list of this version was written to a front.
    void listTold(std::size_t front, std::int64_t version) {
        toldAt_[front].try_emplace(version, Clock::now());
    }
    /// When a front was told of a version of the endpoint list, or of a later one.
    [[nodiscard]] std::optional<Clock::time_point> toldSince(std::size_t front, std::int64_t version) const {
        if (version == 0) return std::nullopt;
        const auto told = toldAt_[front].lower_bound(version);
        if (told == toldAt_[front].end()) return std::nullopt;
        return told->second;
    }
    /// A front's process is new: it knows nothing yet.
    void frontStarted(std::size_t front) { toldAt_[front].clear(); }

    /// A node has got a whole request.
    void attemptArrived(ObservedNode& node, const std::string& id, milliseconds toldPatience) {
        const auto found = requests_.find(id);
        if (found == requests_.end()) return violate("a node got a request that no client sent: " + id, id);
        ObservedRequest& request = found->second;
        const Clock::time_point now = Clock::now();
        ++attempts_;
        request.arrivedAt.push_back(now);
        if (++request.attempts > settings_.maxAttempts) violate("more attempts than allowed: " + id, id);
        if (node.isStarting && toldSince(request.front, node.startVersion))
            node.arrivals.record(request.units, microsSince(node.startedAt));
        if (now >= node.heldBackUntil) checkTimes(node, request, toldPatience, id);
    }
    /// A node's process is gone, or the run is over.
    void nodeEnded(const ObservedNode& node) {
        if (!node.isStarting) return;
        const double excess = node.arrivals.largestExcess(settingsOfNode(settings_, node.capacityFactor), 0);
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
    void checkTimes(const ObservedNode& node, const ObservedRequest& request, milliseconds toldPatience,
                    const std::string& id) {
        const Clock::time_point now = Clock::now();
        const auto inMillis = [](auto span) {
            return std::chrono::duration_cast<milliseconds>(span).count();
        };
        const auto observerSlack = std::max<Clock::duration>(kObserverSlack, lag_.now());
        const auto left = request.sentAt + request.patience - now;
        if (toldPatience > left + kDeadlineSlack + observerSlack)
            violate(fmt::format("an attempt names {} ms, its client has {} ms left", toldPatience.count(),
                                inMillis(left)),
                    id);
        if (request.clientLeftAt && now - *request.clientLeftAt > kLeaveSlack + lag_.now())
            violate(fmt::format("an attempt began {} ms after its client left, seen at most {} ms late",
                                inMillis(now - *request.clientLeftAt), inMillis(lag_.now())),
                    id);
        const auto grace = std::chrono::microseconds(settings_.drainGraceUs) + kRuleSlack + observerSlack;
        if (const auto told = toldSince(request.front, node.drainVersion); told && now - *told > grace)
            violate(fmt::format("{} drains, and got a request {} ms after that was told", node.id,
                                inMillis(now - *told)),
                    id);
    }
    static Micros microsSince(Clock::time_point from) {
        return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - from).count();
    }

    Settings settings_;
    ObserverLag lag_;
    Clock::time_point startedAt_ = Clock::now();
    std::vector<std::map<std::int64_t, Clock::time_point>> toldAt_;  // by front, then by version
    std::map<std::string, ObservedRequest> requests_;
    std::vector<Violation> violations_;
    std::size_t attempts_ = 0;
    double fullestWindow_ = -1'000;
};

}  // namespace wingproxy::soak
