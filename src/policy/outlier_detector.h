/// \file
/// Finds a node that fails or falls silent, and lets a trial request through from time to time.
#pragma once

#include <algorithm>

#include "policy/micros.h"
#include "wingproxy/policy.h"

namespace wingproxy {

/// One node's failures and signs of life, as this host sees them. Times are microseconds.
class OutlierDetector {
public:
    /// All that it knows; for the snapshot.
    struct State {
        double errorShare = 0;  ///< part of the answers that are errors, smoothed
        Micros progressAt = 0;  ///< last sign of life, or begin of the present work
        Micros lastTrialAt = kNever;
        Micros newestAnswered = kNever;  ///< when the latest request was sent that was answered
        Micros lastHealthCheckAt = kNever;
        Micros ejectedUntil = kNever;
        int failures = 0;  ///< in a row
    };
    OutlierDetector() = default;
    /// Takes over what a predecessor process knew.
    explicit OutlierDetector(const State& state) : state_(state) {}
    /// A node whose process began, as far as is known, at `now`.
    static OutlierDetector startingAt(Micros now) {
        OutlierDetector fresh;
        fresh.state_.progressAt = now;
        return fresh;
    }

    /// Whether the node was ejected, or is silent with work outstanding.
    /// \param outstanding attempts of this host
    /// \param latency that the node usually takes, in microseconds; 0: unknown
    [[nodiscard]] bool isSuspect(int outstanding, double latency, Micros now) const;
    /// Whether a suspect may get one more trial request.
    /// \param interval between two of them, in microseconds
    [[nodiscard]] bool admitsTrial(Micros interval, Micros now) const {
        return now - state_.lastTrialAt >= interval;
    }
    /// Time between two trial requests of one host, in microseconds.
    ///
    /// A silent node may only be slow, and works on what it was sent before: trials of all hosts together
    /// must leave it time for that. The least is for nodes that have time enough; above the most, the hosts
    /// would find out too late that a node works again.
    static Micros trialInterval(const Settings& settings);
    /// Whether it was tried, or gave a sign of life, within `period`.
    [[nodiscard]] bool wasUsedWithin(Micros period, Micros now) const {
        return now - std::max(state_.lastTrialAt, state_.progressAt) < period;
    }
    /// How long the ejection lasts yet, in microseconds; 0: none.
    [[nodiscard]] double ejectionLeft(Micros now) const {
        return std::max(0.0, double(state_.ejectedUntil - now));
    }
    /// By how much longer a new object should wait elsewhere than go to a node that fails, in microseconds.
    [[nodiscard]] double errorPenalty(double latencyObjective, Micros now) const;
    /// Whether the node has answered what was sent more than `margin` microseconds after `sentAt`.
    [[nodiscard]] bool answeredLaterThan(Micros sentAt, double margin) const {
        return double(state_.newestAnswered - sentAt) > margin;
    }
    /// Whether its health was checked at `at` or later, so that one check is sent for each silence.
    [[nodiscard]] bool wasCheckedSince(Micros at) const { return state_.lastHealthCheckAt >= at; }

    /// Its first outstanding request was sent: silence counts from now on.
    void onWorkBegan(Micros now) { state_.progressAt = now; }
    /// A suspect was sent a request: the next one must wait for `trialInterval`.
    void onTrialSent(Micros now) { state_.lastTrialAt = now; }
    /// A health check was sent because an answer is overdue.
    void onHealthCheckSent(Micros now) { state_.lastHealthCheckAt = now; }
    /// A health check that was sent at `sentAt` was answered: what was sent before and has no answer is lost.
    void onHealthCheckAnswered(Micros sentAt) {
        state_.newestAnswered = std::max(state_.newestAnswered, sentAt);
    }
    /// An answer, also an error status, to what was sent at `sentAt`.
    void onAnswer(bool error, Micros sentAt, Micros now);
    /// An attempt that got no answer.
    /// \return whether it counts against the node, which is then ejected for a while
    bool onFailure(Outcome outcome, Micros sentAt, Micros now);

    /// For the snapshot.
    [[nodiscard]] const State& state() const { return state_; }

private:
    State state_;
};

}  // namespace wingproxy
