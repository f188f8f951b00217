/// \file
/// Limits the attempts outstanding at a node, by its latency in relation to its recent minimum.
#pragma once

#include "policy/latency_estimate.h"

namespace wingproxy {

/// A latency above this fraction of the shortest latency objective counts as long; the rest of the objective
/// is left for the time in this host's queues.
extern const double kLongLatencyFraction;

/// One node's latency and the limit that follows from it: additive increase while answers are fast and the
/// limit is nearly used up, multiplicative decrease while they are slow. Latencies are in microseconds.
class ConcurrencyLimit {
public:
    /// Its whole state; for the snapshot.
    struct State {
        double limit = 0;  ///< attempts that all hosts together may have outstanding
        LatencyEstimate estimate;
        Micros loweredAt = kNever;  ///< last decrease because of slow answers
    };
    /// What the limit is evaluated with.
    struct Conditions {
        Micros now = 0;
        double objective = 0;   ///< shortest latency objective
        double ownShare = 1;    ///< this host's share of the demand for the node's cell, from 0 to 1
        int startingHosts = 1;  ///< hosts that may be starting to send now, this one included
    };
    /// An answer of the node.
    struct Answer {
        double latency = 0;             ///< from sending to answer
        double units = 0;               ///< of its request
        int outstanding = 0;            ///< attempts of this host
        Micros updatedBefore = kNever;  ///< `estimate().updatedAt` before the answer was reported to peers
    };
    ConcurrencyLimit() = default;
    /// Restores the state of a predecessor process.
    explicit ConcurrencyLimit(const State& state) : state_(state) {}
    /// The limit of a node whose process is new to this host at `now`.
    static ConcurrencyLimit startingAt(Micros now);

    /// Latency that a request of mean size would see now: the last estimate, less what its queue has drained
    /// since.
    [[nodiscard]] double expectedLatency(Micros now, double objective) const;
    /// This host's share of the limit:
    /// - At least one attempt. The queue that many hosts can build up this way is bounded by the longest
    ///   latency that each request accepts (`Admission::maxLatency`).
    /// - At least two at a node with short latency. Otherwise a volume's burst of reads would be sent one by
    ///   one, and be late even at an idle node.
    /// - While hosts start at the same time, they divide the limit evenly until the first answer, as none
    ///   knows the others' demand yet. Excess requests sent to a slow node at the start make all its later
    ///   answers late.
    [[nodiscard]] double attemptsAllowed(const Conditions& conditions) const;
    /// Units a second that this host may expect from the node.
    [[nodiscard]] double unitsPerSecond(const Conditions& conditions) const;
    /// Latency above which the node counts as having a queue.
    [[nodiscard]] double queueingThreshold() const;
    /// The node's latency as estimated from its answers and its peers' reports.
    [[nodiscard]] const LatencyEstimate& estimate() const { return state_.estimate; }

    /// An answer came: raises the limit if answers are fast and the limit is nearly used up, lowers it if
    /// they are slow.
    void onAnswer(const Answer& answer, const Conditions& conditions);
    /// A failure that counts against the node: halves the limit, to no less than 1.
    void onFailure();
    /// A peer reported how long requests wait at the node, in microseconds.
    void onWaitReported(double wait, Micros now) { state_.estimate.setWait(wait, now); }

    /// Its state, for the snapshot.
    [[nodiscard]] const State& state() const { return state_; }

private:
    void record(const Answer& answer, Micros now);
    [[nodiscard]] bool isSlow(double objective) const;

    State state_;
};

}  // namespace wingproxy
