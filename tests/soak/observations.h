/// \file
/// What the fake clients, nodes and discovery around a fleet observed of each request, and the rules that are
/// checked against it.
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

/// The delay to allow for the observing process itself where no measured bound is available.
inline constexpr milliseconds kObserverSlack{100};

/// Bounds the delay between an event and its observation: the observer polls once in each iteration of its
/// loop, and bytes pass through a proxy first.
class ObserverLag {
public:
    /// An iteration of the loop begins.
    void iterationStarted(Clock::time_point now) {
        longest_ = std::max(longest_, now - iterations_.back());
        std::rotate(iterations_.begin(), iterations_.begin() + 1, iterations_.end());
        iterations_.back() = now;
    }
    /// What is observed now happened no longer ago than this, including its way through the proxy.
    [[nodiscard]] Clock::duration upperBound() const { return Clock::now() - iterations_.front(); }
    /// The longest iteration so far.
    [[nodiscard]] milliseconds longest() const { return std::chrono::duration_cast<milliseconds>(longest_); }

private:
    // The starts of the present iteration and the three before it: an attempt takes one iteration each for
    // the connect, for the request through the proxy, and for the node's read.
    std::array<Clock::time_point, 4> iterations_{Clock::now(), Clock::now(), Clock::now(), Clock::now()};
    Clock::duration longest_{0};
};

/// One request of a client.
struct ObservedRequest {
    std::size_t front = 0;
    double units = 1;
    milliseconds timeout{0};  ///< how long the client waits for the answer
    Clock::time_point sentAt;
    std::optional<Clock::time_point> clientDisconnectedAt;
    int attempts = 0;                          ///< number of attempts that arrived at nodes
    int attemptsBeforeSend = 0;                ///< of these, before the client last sent the request
    std::vector<Clock::time_point> arrivedAt;  ///< when each of them was observed
};

/// A violation of a rule.
struct Violation {
    std::string what;
    std::string request;  ///< the id of the request concerned; empty if there is none
};

/// What was observed of one process of a node.
struct ObservedNode {
    std::string id;
    Clock::time_point startedAt;
    bool isStarting = false;        ///< listed with a start time; otherwise it is warm
    std::int64_t startVersion = 0;  ///< of the endpoint list that announced its start
    std::int64_t drainVersion = 0;  ///< of the endpoint list that announced its drain; 0 if it does not drain
    /// Until then its proxy delays requests, so that their arrival times say nothing about when they were
    /// sent.
    Clock::time_point linkDisturbedUntil{};
    test::ArrivalRecord arrivals;  ///< from fronts that had been sent the list with its start
    /// Its real capacity and speed, as a multiple of what the settings promise for every node.
    double capacityFactor = 1;
};

/// The settings that would promise exactly the real capacity of this node.
inline Settings settingsOfNode(Settings settings, double capacityFactor) {
    settings.slowStartUnits *= capacityFactor;
    return settings;
}

/// Records what was observed, checks the rules and collects their violations.
class Observations {
public:
    explicit Observations(Settings settings, std::size_t fronts)
        : settings_(std::move(settings)), listSentAt_(fronts) {}

    /// Records that a front broke a rule.
    /// \param request the id of the request concerned, if there is one
    void addViolation(const std::string& what, const std::string& request = "") {
        violations_.push_back({fmt::format("{:.3f} s: {}", secondsAt(Clock::now()), what), request});
    }
    [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }
    /// `time` in seconds since the start of the run.
    [[nodiscard]] double secondsAt(Clock::time_point time) const {
        return std::chrono::duration<double>(time - startedAt_).count();
    }
    /// The delay of the observations.
    [[nodiscard]] ObserverLag& lag() { return lag_; }
    /// What was observed of a request; null if no client sent it.
    [[nodiscard]] const ObservedRequest* find(const std::string& id) const {
        const auto found = requests_.find(id);
        return found == requests_.end() ? nullptr : &found->second;
    }

    /// A client sent a request, for the first time or again.
    void requestSent(const std::string& id, const ObservedRequest& request) {
        ObservedRequest& observed = requests_[id];
        const ObservedRequest before = std::exchange(observed, request);
        observed.attempts = before.attempts;
        observed.attemptsBeforeSend = before.attempts;
        observed.arrivedAt = before.arrivedAt;
    }
    /// Whether a node received the request since its client last sent it.
    [[nodiscard]] bool hasArrived(const std::string& id) const {
        const ObservedRequest& request = requests_.at(id);
        return request.attempts > request.attemptsBeforeSend;
    }
    /// A client closed its connection without waiting for the answer.
    void clientDisconnected(const std::string& id) { requests_.at(id).clientDisconnectedAt = Clock::now(); }
    /// This version of the endpoint list was sent to a front.
    void listSent(std::size_t front, std::int64_t version) {
        listSentAt_[front].try_emplace(version, Clock::now());
    }
    /// When a front was sent this version of the endpoint list or, without it, the next later one; empty if
    /// it was not, and for version 0.
    [[nodiscard]] std::optional<Clock::time_point> timeListSent(std::size_t front,
                                                                std::int64_t version) const {
        if (version == 0) return std::nullopt;
        const auto sent = listSentAt_[front].lower_bound(version);
        if (sent == listSentAt_[front].end()) return std::nullopt;
        return sent->second;
    }
    /// A front's process was started: it has no endpoint list yet.
    void frontStarted(std::size_t front) { listSentAt_[front].clear(); }

    /// A node received a complete request.
    /// \param announcedTimeout the deadline that the attempt names
    void attemptArrived(ObservedNode& node, const std::string& id, milliseconds announcedTimeout) {
        const auto found = requests_.find(id);
        if (found == requests_.end())
            return addViolation("a node received a request that no client sent: " + id, id);
        ObservedRequest& request = found->second;
        const Clock::time_point now = Clock::now();
        ++attempts_;
        request.arrivedAt.push_back(now);
        if (++request.attempts > settings_.maxAttempts) addViolation("more attempts than allowed: " + id, id);
        if (node.isStarting && timeListSent(request.front, node.startVersion))
            node.arrivals.record(request.units, microsSince(node.startedAt));
        if (now >= node.linkDisturbedUntil) checkTimes(node, request, announcedTimeout, id);
    }
    /// A node's process ended, or the run did.
    void nodeEnded(const ObservedNode& node) {
        if (!node.isStarting) return;
        const double excess = node.arrivals.largestExcess(settingsOfNode(settings_, node.capacityFactor), 0);
        largestExcess_ = std::max(largestExcess_, excess);
        if (excess > 0)
            addViolation(fmt::format("{} in slow start received {:.1f} mean-sized requests over its budget",
                                     node.id, excess));
    }
    /// The units of a request; 1 if no client sent it.
    [[nodiscard]] double unitsOf(const std::string& id) const {
        const auto found = requests_.find(id);
        return found == requests_.end() ? 1 : found->second.units;
    }
    [[nodiscard]] std::size_t requestCount() const { return requests_.size(); }
    [[nodiscard]] std::size_t attemptCount() const { return attempts_; }
    /// The largest excess over the slow-start budget, in mean-sized requests, of any window of any node.
    /// Below 0 if no window exceeded the budget.
    [[nodiscard]] double largestSlowStartExcess() const { return largestExcess_; }

private:
    static constexpr milliseconds kDeadlineSlack{150};
    static constexpr milliseconds kDisconnectSlack{100};
    static constexpr milliseconds kRuleSlack{50};

    // Checks when the attempt began and the timeout that it names.
    void checkTimes(const ObservedNode& node, const ObservedRequest& request, milliseconds announcedTimeout,
                    const std::string& id) {
        const Clock::time_point now = Clock::now();
        const auto inMillis = [](auto span) {
            return std::chrono::duration_cast<milliseconds>(span).count();
        };
        const auto observerSlack = std::max<Clock::duration>(kObserverSlack, lag_.upperBound());
        const auto left = request.sentAt + request.timeout - now;
        if (announcedTimeout > left + kDeadlineSlack + observerSlack)
            addViolation(fmt::format("an attempt names a deadline of {} ms, its client waits {} ms more",
                                     announcedTimeout.count(), inMillis(left)),
                         id);
        if (request.clientDisconnectedAt &&
            now - *request.clientDisconnectedAt > kDisconnectSlack + lag_.upperBound())
            addViolation(
                fmt::format(
                    "an attempt began {} ms after its client disconnected, observed at most {} ms late",
                    inMillis(now - *request.clientDisconnectedAt), inMillis(lag_.upperBound())),
                id);
        const auto grace = std::chrono::microseconds(settings_.drainGraceUs) + kRuleSlack + observerSlack;
        if (const auto sent = timeListSent(request.front, node.drainVersion); sent && now - *sent > grace)
            addViolation(fmt::format("{} received a request {} ms after its drain was announced", node.id,
                                     inMillis(now - *sent)),
                         id);
    }
    static Micros microsSince(Clock::time_point from) {
        return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - from).count();
    }

    Settings settings_;
    ObserverLag lag_;
    Clock::time_point startedAt_ = Clock::now();
    std::vector<std::map<std::int64_t, Clock::time_point>> listSentAt_;  // by front, then by version
    std::map<std::string, ObservedRequest> requests_;
    std::vector<Violation> violations_;
    std::size_t attempts_ = 0;
    double largestExcess_ = -1'000;
};

}  // namespace wingproxy::soak
