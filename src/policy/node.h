/// \file
/// One storage node as this host sees it.
#pragma once

#include <utility>

#include "policy/concurrency_limit.h"
#include "policy/outlier_detector.h"
#include "policy/slow_start.h"

namespace wingproxy {

/// The start of a node's process, as far as this host can tell.
struct NodeStart {
    Micros at = 0;  ///< never in the future; 0: long ago
    /// Before this time, this host sends the node nothing while it warms up.
    Micros usableSince = kNever;
};

/// A node, listed or remembered: its entry in the endpoint list, the attempts outstanding there, and its
/// concurrency limit, outlier detection and slow start. Owned by `NodeTable`.
class Node {
public:
    /// Its whole state except the outstanding attempts, which belong to one process; for the snapshot.
    struct State {
        NodeInfo info;
        bool listed = false;
        Micros listedAt = kNever;
        Micros servesDrainUntil = kNever;
        ConcurrencyLimit::State concurrency;
        OutlierDetector::State outliers;
        SlowStartLimiter::State slowStart;
    };
    /// An unused entry of the table: not listed.
    Node() = default;
    /// Restores the state of a predecessor process.
    explicit Node(State state)
        : info_(std::move(state.info)),
          listed_(state.listed),
          listedAt_(state.listedAt),
          servesDrainUntil_(state.servesDrainUntil),
          concurrency_(state.concurrency),
          outliers_(state.outliers),
          slowStart_(std::move(state.slowStart)),
          startedAt_(info_.startedUs) {}

    // -- endpoint list
    /// Its latest entry in the endpoint list.
    [[nodiscard]] const NodeInfo& info() const { return info_; }
    /// Whether the current endpoint list contains it.
    [[nodiscard]] bool isListed() const { return listed_; }
    /// Whether it is listed as ready, that is not draining.
    [[nodiscard]] bool isReady() const { return listed_ && info_.state == NodeState::Ready; }
    /// Applies its entry in a new endpoint list.
    void update(const NodeInfo& info) {
        info_ = info;
        listed_ = info.state != NodeState::Removed;
    }
    /// Marks it as not listed, before a complete endpoint list is applied that may lack it.
    void unlist() { listed_ = false; }
    /// Its process is new: discards what was learnt about the previous one, except for the outstanding
    /// attempts and what was sent after the start.
    /// \param start when the new process started
    /// \param phase see `SlowStartLimiter::State`
    void restart(const NodeStart& start, double phase, Micros now) {
        const int outstanding = outstanding_;
        SlowStartLimiter slowStart = std::move(slowStart_);
        *this = Node();
        outstanding_ = outstanding;
        concurrency_ = ConcurrencyLimit::startingAt(now);
        outliers_ = OutlierDetector::startingAt(now);
        slowStart.restart(start.at, phase);
        slowStart_ = std::move(slowStart);
        startedAt_ = start.at;
        usableSince_ = start.usableSince;
    }
    /// When its process started, as far as this host can tell (`NodeStart::at`); 0: long ago.
    [[nodiscard]] Micros startedAt() const { return startedAt_; }
    /// Before this time, this host sends it nothing while it warms up.
    [[nodiscard]] Micros usableSince() const { return usableSince_; }
    /// Its drain was announced; it may still get requests until `servesUntil` if its cell has no ready node.
    void startDrain(Micros servesUntil) { servesDrainUntil_ = servesUntil; }
    /// Until when it may get new requests while it drains; `kNever` if it may not.
    [[nodiscard]] Micros servesDrainUntil() const { return servesDrainUntil_; }
    /// Updates the time it was last listed, if it is listed; to be called before each `isForgettable`.
    void refreshListedAt(Micros now) {
        if (listed_) listedAt_ = now;
    }
    /// Whether it has not been listed for `period` and has no attempts outstanding.
    [[nodiscard]] bool isForgettable(Micros period, Micros now) const {
        return now - listedAt_ >= period && outstanding_ == 0;
    }

    // -- attempts of this host
    /// Number of attempts that hold a slot at the node: the body of the request is complete and the node has
    /// not answered yet.
    [[nodiscard]] int outstanding() const { return outstanding_; }
    /// An attempt was sent, or the body of its request is complete.
    /// \param holdsSlot false while the body is incomplete: the node cannot answer yet
    void onAttemptSent(bool holdsSlot, Micros now) {
        if (outstanding_ == 0) outliers_.onWorkBegan(now);
        if (holdsSlot) ++outstanding_;
    }
    /// An attempt that held a slot ended, or the node has finished its work.
    void onSlotFreed() { --outstanding_; }

    // -- limits, each of which owns its state
    /// The limit on outstanding attempts, and the node's latency.
    [[nodiscard]] ConcurrencyLimit& concurrency() { return concurrency_; }
    /// As above, read-only.
    [[nodiscard]] const ConcurrencyLimit& concurrency() const { return concurrency_; }
    /// Its failures, answers and ejections.
    [[nodiscard]] OutlierDetector& outliers() { return outliers_; }
    /// As above, read-only.
    [[nodiscard]] const OutlierDetector& outliers() const { return outliers_; }
    /// What this host may send it while it warms up.
    [[nodiscard]] SlowStartLimiter& slowStart() { return slowStart_; }
    /// As above, read-only.
    [[nodiscard]] const SlowStartLimiter& slowStart() const { return slowStart_; }

    /// Its state, for the snapshot.
    [[nodiscard]] State state() const {
        return {info_,
                listed_,
                listedAt_,
                servesDrainUntil_,
                concurrency_.state(),
                outliers_.state(),
                slowStart_.state()};
    }

private:
    NodeInfo info_;
    bool listed_ = false;
    int outstanding_ = 0;
    Micros listedAt_ = kNever;  // when it was last known to be listed
    Micros servesDrainUntil_ = kNever;
    ConcurrencyLimit concurrency_;
    OutlierDetector outliers_;
    SlowStartLimiter slowStart_;
    Micros startedAt_ = 0;
    Micros usableSince_ = kNever;
};

}  // namespace wingproxy
