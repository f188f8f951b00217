/// \file
/// Detects a node that fails or falls silent, and admits a trial request to it from time to time.
#pragma once

#include <algorithm>

#include "policy/micros.h"
#include "wingproxy/policy.h"

namespace wingproxy {

/// One node's failures and answers, as this host sees them. Times are in microseconds.
class OutlierDetector {
public:
    /// Its whole state; for the snapshot.
    struct State {
        double errorShare = 0;  ///< fraction of the answers that are errors, smoothed
        Micros progressAt = 0;  ///< last answer, or when the node last went from idle to busy
        Micros lastTrialAt = kNever;
        Micros newestAnswered = kNever;  ///< latest sending time of a request that was answered
        Micros lastHealthCheckAt = kNever;
        Micros ejectedUntil = kNever;
        int failures = 0;  ///< in a row
    };
    OutlierDetector() = default;
    /// Restores the state of a predecessor process.
    explicit OutlierDetector(const State& state) : state_(state) {}
    /// The detector of a node whose process is new to this host at `now`.
    static OutlierDetector startingAt(Micros now) {
        OutlierDetector fresh;
        fresh.state_.progressAt = now;
        return fresh;
    }

    /// Whether the node is ejected, or silent with work outstanding.
    /// \param outstanding attempts of this host
    /// \param latency the node's usual latency, in microseconds; 0: unknown
    [[nodiscard]] bool isSuspect(int outstanding, double latency, Micros now) const;
    /// Whether a suspect node may get another trial request.
    /// \param interval least time between two of them, in microseconds
    [[nodiscard]] bool admitsTrial(Micros interval, Micros now) const {
        return now - state_.lastTrialAt >= interval;
    }
    /// Time between two trial requests of one host, in microseconds.
    ///
    /// A silent node may merely be slow and still work on earlier requests, so the trials of all hosts
    /// together must leave it time to finish those. The result has a lower bound for nodes that are fast
    /// enough anyway, and an upper bound beyond which the hosts would notice too late that a node has
    /// recovered.
    static Micros trialInterval(const Settings& settings);
    /// Whether it got a trial request, answered, or went from idle to busy within `period`.
    [[nodiscard]] bool wasActiveWithin(Micros period, Micros now) const {
        return now - std::max(state_.lastTrialAt, state_.progressAt) < period;
    }
    /// Remaining time of the ejection, in microseconds; 0: not ejected.
    [[nodiscard]] double remainingEjection(Micros now) const {
        return std::max(0.0, double(state_.ejectedUntil - now));
    }
    /// What the node's errors add to its expected wait when a cell is chosen for a new object, in
    /// microseconds.
    [[nodiscard]] double errorPenalty(double latencyObjective, Micros now) const;
    /// Whether the node has answered a request that was sent more than `margin` microseconds after `sentAt`.
    [[nodiscard]] bool hasAnsweredNewerThan(Micros sentAt, double margin) const {
        return double(state_.newestAnswered - sentAt) > margin;
    }
    /// Whether a health check was sent at `at` or later, so that each silence causes only one check.
    [[nodiscard]] bool wasCheckedSince(Micros at) const { return state_.lastHealthCheckAt >= at; }

    /// A request was sent while none was outstanding: silence is measured from now on.
    void onWorkBegan(Micros now) { state_.progressAt = now; }
    /// A request was sent while the node is suspect: the next one must wait for `trialInterval`.
    void onTrialSent(Micros now) { state_.lastTrialAt = now; }
    /// A health check was sent because an answer is overdue.
    void onHealthCheckSent(Micros now) { state_.lastHealthCheckAt = now; }
    /// A health check that was sent at `sentAt` was answered: answers to requests sent before are lost if
    /// they are still missing.
    void onHealthCheckAnswered(Micros sentAt) {
        state_.newestAnswered = std::max(state_.newestAnswered, sentAt);
    }
    /// A request that was sent at `sentAt` was answered, successfully or with an error status.
    void onAnswer(bool error, Micros sentAt, Micros now);
    /// An attempt that was sent at `sentAt` ended without an answer.
    /// \return whether the failure counts against the node, which is then ejected for a while
    bool onFailure(Outcome outcome, Micros sentAt, Micros now);

    /// Its state, for the snapshot.
    [[nodiscard]] const State& state() const { return state_; }

private:
    State state_;
};

}  // namespace wingproxy
