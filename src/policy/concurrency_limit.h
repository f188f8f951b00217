/// \file
/// Bounds the attempts outstanding at a node by its latency over the least latency that it showed.
#pragma once

#include "policy/latency_estimate.h"

namespace wingproxy {

/// A latency above this part of the shortest latency objective is long; the rest of the objective belongs to
/// the time in the queues here.
extern const double kLongLatencyFraction;

/// One node's latency and the limit that follows from it: additive increase while answers are quick and the
/// limit is used, multiplicative decrease while they are slow. Latencies are in microseconds.
class ConcurrencyLimit {
public:
    /// All that it knows; for the snapshot.
    struct State {
        double limit = 0;  ///< attempts of all hosts together that may be outstanding
        LatencyEstimate estimate;
        Micros loweredAt = kNever;  ///< last decrease because of slow answers
    };
    /// What the limit is read against.
    struct Conditions {
        Micros now = 0;
        double objective = 0;  ///< shortest latency objective
        double ownShare = 1;   ///< this host's part of what the node's cell is asked for, from 0 to 1
        int beginners = 1;     ///< hosts that may all begin to send just now, this one included
    };
    /// An answer of the node.
    struct Answer {
        double latency = 0;             ///< since it was sent
        double units = 0;               ///< of its request
        int outstanding = 0;            ///< attempts of this host
        Micros updatedBefore = kNever;  ///< `estimate().updatedAt` before the answer was reported to peers
    };
    ConcurrencyLimit() = default;
    /// Takes over what a predecessor process knew.
    explicit ConcurrencyLimit(const State& state) : state_(state) {}
    /// A node whose process began, as far as is known, at `now`.
    static ConcurrencyLimit startingAt(Micros now);

    /// Latency that a request of mean size would see now: a queue that was seen is worked off meanwhile.
    [[nodiscard]] double expectedLatency(Micros now, double objective) const;
    /// This host's part of the limit. At least one attempt; what many hosts may pile up that way is held down
    /// by the longest latency that each request accepts. At least two at a node with short latency: a
    /// volume's run of reads would else leave one by one and be too late at an idle node. Hosts that
    /// begin at once share the limit evenly before the first answer, as none knows yet what the others are
    /// asked for: what a slow node gets too much in the beginning makes all its later answers late.
    [[nodiscard]] double attemptsAllowed(const Conditions& conditions) const;
    /// Units a second that this host may expect from the node.
    [[nodiscard]] double unitsPerSecond(const Conditions& conditions) const;
    /// Up to this latency the node has no queue to speak of.
    [[nodiscard]] double queueingThreshold() const;
    /// What the answers say of the node's latency.
    [[nodiscard]] const LatencyEstimate& estimate() const { return state_.estimate; }

    /// An answer came: the limit rises while it is used and answers are quick, and falls while they are slow.
    void onAnswer(const Answer& answer, const Conditions& conditions);
    /// A failure that counts against the node: the limit is halved, to no less than 1.
    void onFailure();
    /// A peer reported how long requests wait at the node, in microseconds.
    void onWaitReported(double wait, Micros now) { state_.estimate.setWait(wait, now); }

    /// For the snapshot.
    [[nodiscard]] const State& state() const { return state_; }

private:
    void record(const Answer& answer, Micros now);
    [[nodiscard]] bool isSlow(double objective) const;

    State state_;
};

}  // namespace wingproxy
