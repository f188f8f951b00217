/// \file
/// One storage node as this host sees it.
#pragma once

#include <utility>

#include "policy/concurrency_limit.h"
#include "policy/outlier_detector.h"
#include "policy/slow_start.h"

namespace wingproxy {

/// The start of a node's process, as this host learns of it.
struct NodeStart {
    Micros at = 0;  ///< no later than now; 0: long ago
    /// While the node warms up, this host sends it nothing before this time.
    Micros usableSince = kNever;
};

/// A node, listed or remembered: its entry of the endpoint list, the attempts that are outstanding there, and
/// the three limits that follow from what its answers show. Owned by `NodeTable`.
class Node {
public:
    /// All that it knows but for the outstanding attempts, which belong to one process; for the snapshot.
    struct State {
        NodeInfo info;
        bool listed = false;
        Micros listedAt = kNever;
        Micros servesDrainUntil = kNever;
        ConcurrencyLimit::State concurrency;
        OutlierDetector::State outliers;
        SlowStartLimiter::State slowStart;
    };
    /// A free place in the table: not listed.
    Node() = default;
    /// Takes over what a predecessor process knew.
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
    /// Its last entry of the endpoint list.
    [[nodiscard]] const NodeInfo& info() const { return info_; }
    /// Whether the endpoint list has it now.
    [[nodiscard]] bool isListed() const { return listed_; }
    /// Whether it is listed and accepts requests without reserve.
    [[nodiscard]] bool isReady() const { return listed_ && info_.state == NodeState::Ready; }
    /// Takes over its entry of the endpoint list.
    void update(const NodeInfo& info) {
        info_ = info;
        listed_ = info.state != NodeState::Removed;
    }
    /// A complete endpoint list begins, on which it may be missing.
    void unlist() { listed_ = false; }
    /// Its process is new: nothing that was learnt of the one before holds, but for the attempts that are
    /// still outstanding and what was sent after the start.
    /// \param start when that was
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
    /// While it warms up, this host sends it nothing before this time.
    [[nodiscard]] Micros usableSince() const { return usableSince_; }
    /// Its drain was announced; it may still get requests until then, where its cell has no other node.
    void startDrain(Micros servesUntil) { servesDrainUntil_ = servesUntil; }
    /// Until when a draining node may get new requests; `kNever` if it may not.
    [[nodiscard]] Micros servesDrainUntil() const { return servesDrainUntil_; }
    /// Notes that it is still listed, if it is; to be called before each `isForgettable`.
    void refreshListedAt(Micros now) {
        if (listed_) listedAt_ = now;
    }
    /// Whether it was not seen on the list for `period` and has no attempts outstanding.
    [[nodiscard]] bool isForgettable(Micros period, Micros now) const {
        return now - listedAt_ >= period && outstanding_ == 0;
    }

    // -- attempts of this host
    /// Attempts that hold a slot at the node: the body of the request is complete and there is no answer yet.
    [[nodiscard]] int outstanding() const { return outstanding_; }
    /// An attempt was sent, or the body of its request is complete.
    /// \param holdsSlot false while the body is incomplete: the node cannot answer yet
    void onAttemptSent(bool holdsSlot, Micros now) {
        if (outstanding_ == 0) outliers_.onWorkBegan(now);
        if (holdsSlot) ++outstanding_;
    }
    /// An attempt that held a slot ended, or the node has done its work.
    void onSlotFreed() { --outstanding_; }

    // -- limits, each of which owns its state
    /// How many attempts may be outstanding, and its latency.
    [[nodiscard]] ConcurrencyLimit& concurrency() { return concurrency_; }
    /// As above, to read.
    [[nodiscard]] const ConcurrencyLimit& concurrency() const { return concurrency_; }
    /// Its failures and signs of life.
    [[nodiscard]] OutlierDetector& outliers() { return outliers_; }
    /// As above, to read.
    [[nodiscard]] const OutlierDetector& outliers() const { return outliers_; }
    /// What this host may send while it warms up.
    [[nodiscard]] SlowStartLimiter& slowStart() { return slowStart_; }
    /// As above, to read.
    [[nodiscard]] const SlowStartLimiter& slowStart() const { return slowStart_; }

    /// For the snapshot.
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
    Micros listedAt_ = kNever;  // last time that it was seen on the list
    Micros servesDrainUntil_ = kNever;
    ConcurrencyLimit concurrency_;
    OutlierDetector outliers_;
    SlowStartLimiter slowStart_;
    Micros startedAt_ = 0;
    Micros usableSince_ = kNever;
};

}  // namespace wingproxy
