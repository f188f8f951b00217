/// \file
/// A request that has no final answer yet, or whose attempts are not over.
#pragma once

#include <map>
#include <utility>

#include "policy/node_index.h"
#include "policy/volume.h"

namespace wingproxy {

/// Where a request lies in what its volume may ask for.
enum class QuotaClass {
    Guaranteed,  ///< inside the guaranteed rate
    Share,       ///< inside the weighted share of a cell
    Spare,       ///< beyond it: served while nothing else needs the capacity
};

/// One request of a client, from its arrival to its final answer and the end of its last attempt. Owned by
/// `RequestTable`.
class PendingRequest {
public:
    /// A request that just arrived; `onReceived`, `setDue` and `setCell` must follow.
    explicit PendingRequest(Request info) : info_(std::move(info)) {}

    // -- what was asked
    /// The request as it was received, but for its deadline, which moves when a body is complete.
    [[nodiscard]] const Request& info() const { return info_; }
    /// Names it to the caller of the policy.
    [[nodiscard]] RequestId id() const { return info_.id; }
    /// Units of work that it makes.
    [[nodiscard]] double units() const { return info_.units; }
    /// Null: unknown class.
    [[nodiscard]] const ClassInfo* classInfo() const { return classInfo_; }
    /// That of its class; an unknown class is never sent again once it may have run.
    [[nodiscard]] RetrySafety retrySafety() const {
        return classInfo_ ? classInfo_->retrySafety : RetrySafety::NotIdempotent;
    }
    /// Value of a unit of its work that is answered in time.
    [[nodiscard]] double priorityWeight() const { return classInfo_ ? classInfo_->priorityWeight : 1; }
    /// The latency objective of its class, in microseconds; `otherwise` where it has none.
    [[nodiscard]] Micros latencyObjective(Micros otherwise) const {
        return classInfo_ && classInfo_->latencyObjectiveUs > 0 ? classInfo_->latencyObjectiveUs : otherwise;
    }
    /// Of which its units are taken.
    [[nodiscard]] Volume& volume() const { return *volume_; }
    /// Order of arrival, from 0.
    [[nodiscard]] std::uint64_t sequence() const { return sequence_; }
    /// Whether its body is still coming: it takes no slot at a node yet, as the node cannot answer.
    [[nodiscard]] bool isBodyIncomplete() const { return info_.bodyIncomplete; }

    // -- where and when it is to be served
    /// It should be answered by then: the end of its latency objective or its deadline, whichever is sooner.
    [[nodiscard]] Micros due() const { return due_; }
    /// Must not change while it is queued, as queues are ordered by it.
    void setDue(Micros due) { due_ = due; }
    /// Where it is to be served; none: a new object that has no cell yet.
    [[nodiscard]] CellIndex cell() const { return cell_; }
    /// Must not change while it is queued.
    void setCell(CellIndex cell) { cell_ = cell; }
    /// `Share` until `Admission` classified it.
    [[nodiscard]] QuotaClass quota() const { return quota_; }
    /// What its volume's quota covers of it. \param isGuaranteed takes precedence over `isShare`
    void setQuota(bool isGuaranteed, bool isShare) {
        const QuotaClass beyondGuaranteed = isShare ? QuotaClass::Share : QuotaClass::Spare;
        quota_ = isGuaranteed ? QuotaClass::Guaranteed : beyondGuaranteed;
    }
    /// Whether it waits in the queue of its cell.
    [[nodiscard]] bool isQueued() const { return queued_; }
    /// Whether its units were taken from the volume's limit; retries are not charged again.
    [[nodiscard]] bool hasTokens() const { return hasTokens_; }
    /// Whether it waits for tokens of a limited volume.
    [[nodiscard]] bool needsTokens() const { return volume_->limit().isLimited() && !hasTokens_; }

    // -- its attempts
    /// Attempts so far.
    [[nodiscard]] int attempts() const { return attempts_; }
    /// Attempts without an outcome.
    [[nodiscard]] int outstanding() const { return outstanding_; }
    /// The nodes of the attempts without an outcome.
    [[nodiscard]] const std::map<AttemptIndex, NodeIndex>& nodeByAttempt() const { return nodeByAttempt_; }
    /// When the last attempt was sent, or the body was complete.
    [[nodiscard]] Micros sentAt() const { return sentAt_; }
    /// The node of the first attempt that may have run, near which it may have to be repeated; none: nothing
    /// may have run.
    [[nodiscard]] NodeIndex pinnedNode() const { return pinnedNode_; }
    /// Whether an attempt that ended may have done its work.
    [[nodiscard]] bool mayHaveRun() const { return mayHaveRun_; }
    /// Whether no attempt ran or may run yet, so that a rejection is true.
    [[nodiscard]] bool neverRan() const { return !mayHaveRun_ && outstanding_ == 0; }
    /// Until when nodes recognise its idempotency key; 0: it has none, or needs none.
    [[nodiscard]] Micros repeatableUntil() const {
        return retrySafety() == RetrySafety::IdempotentWithKey ? firstSentAt_ + classInfo_->keyWindowUs : 0;
    }
    /// Whether the response reaches the client already: no other answer is possible.
    [[nodiscard]] bool isStreaming() const { return streaming_; }
    /// Whether a node has done its work and only bytes follow.
    [[nodiscard]] bool isNodeDone() const { return nodeDone_; }
    /// Whether it has its final answer; attempts may be outstanding.
    [[nodiscard]] bool isFinished() const { return finished_; }

    // -- what happened
    /// It was taken in. \param classInfo null: unknown class
    void onReceived(const ClassInfo* classInfo, Volume& volume, std::uint64_t sequence) {
        classInfo_ = classInfo;
        volume_ = &volume;
        sequence_ = sequence;
    }
    /// Its body is complete: nodes may start now, and the client's time runs from now on.
    void onBodyCompleted(Micros deadline, Micros now) {
        info_.bodyIncomplete = false;
        info_.deadlineUs = deadline;
        sentAt_ = now;
    }
    /// It waits in the queue of its cell from now on.
    void onQueued() { queued_ = true; }
    /// It left that queue.
    void onDequeued() { queued_ = false; }
    /// Its units were taken from the volume's limit.
    void onTokensSpent() { hasTokens_ = true; }
    /// An attempt was sent to a node.
    void onSent(NodeIndex node, Micros now) {
        if (pinnedNode_.isNone()) {
            pinnedNode_ = node;
            firstSentAt_ = now;
        }
        nodeByAttempt_[AttemptIndex(attempts_++)] = node;
        sentAt_ = now;
        ++outstanding_;
    }
    /// A response began. \param forwarding its bytes reach the client already
    void onResponseStarted(bool forwarding) { streaming_ = streaming_ || forwarding; }
    /// A node has done its work, only bytes follow.
    /// \return whether that is news: the attempt's slot is free now
    [[nodiscard]] bool onNodeDone() { return !isBodyIncomplete() && !std::exchange(nodeDone_, true); }
    /// An attempt is over; `onOutcome` follows unless the request is finished.
    /// \return whether it still held a slot at its node
    [[nodiscard]] bool onAttemptEnded(AttemptIndex attempt) {
        nodeByAttempt_.erase(attempt);
        --outstanding_;
        return !isBodyIncomplete() && !std::exchange(nodeDone_, false);
    }
    /// An attempt ended in this way, which says whether its node may have done any work.
    void onOutcome(Outcome outcome) {
        const bool nothingRan = outcome == Outcome::Rejected || outcome == Outcome::ConnectFailed ||
                                outcome == Outcome::NotStarted;
        if (!nothingRan)
            mayHaveRun_ = true;
        else if (!mayHaveRun_)
            pinnedNode_ = NodeIndex();
    }
    /// It has its final answer.
    void onFinished() { finished_ = true; }

private:
    Request info_;
    const ClassInfo* classInfo_ = nullptr;  // owned by the settings
    Volume* volume_ = nullptr;              // owned by VolumeTable, which keeps the volumes of open requests
    QuotaClass quota_ = QuotaClass::Share;
    std::uint64_t sequence_ = 0;
    Micros due_ = 0;
    CellIndex cell_;
    bool queued_ = false;
    bool hasTokens_ = false;
    bool finished_ = false;

    int attempts_ = 0;
    int outstanding_ = 0;
    Micros sentAt_ = 0;
    Micros firstSentAt_ = kNever;  // first attempt that may have run
    NodeIndex pinnedNode_;
    bool mayHaveRun_ = false;
    bool streaming_ = false;
    bool nodeDone_ = false;
    std::map<AttemptIndex, NodeIndex> nodeByAttempt_;
};

}  // namespace wingproxy
