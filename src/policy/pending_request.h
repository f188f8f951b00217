/// \file
/// A client request without a final answer, or with outstanding attempts.
#pragma once

#include <map>
#include <utility>

#include "policy/node_index.h"
#include "policy/volume.h"

namespace wingproxy {

/// The part of its volume's quota that covers a request.
enum class QuotaClass {
    Guaranteed,  ///< within the guaranteed rate
    Share,       ///< within the weighted share of a cell
    Spare,       ///< beyond both: served while nothing else needs the capacity
};

/// One request of a client, from its arrival to its final answer and the end of its last attempt. Owned by
/// `RequestTable`.
class PendingRequest {
public:
    /// A request that just arrived; `onReceived`, `setDue` and `setCell` must follow.
    explicit PendingRequest(Request info) : info_(std::move(info)) {}

    // -- the request as received
    /// The request as it was received, except that `onBodyCompleted` updates its deadline.
    [[nodiscard]] const Request& info() const { return info_; }
    /// Its id for the caller of the policy.
    [[nodiscard]] RequestId id() const { return info_.id; }
    /// Its size in units of work.
    [[nodiscard]] double units() const { return info_.units; }
    /// Its request class; null: unknown.
    [[nodiscard]] const ClassInfo* classInfo() const { return classInfo_; }
    /// The retry safety of its class. A request of unknown class is not retried once it may have run.
    [[nodiscard]] RetrySafety retrySafety() const {
        return classInfo_ ? classInfo_->retrySafety : RetrySafety::NotIdempotent;
    }
    /// Priority weight of its class: the value of a unit of its work that is answered in time.
    [[nodiscard]] double priorityWeight() const { return classInfo_ ? classInfo_->priorityWeight : 1; }
    /// The latency objective of its class, in microseconds; `otherwise` if there is none.
    [[nodiscard]] Micros latencyObjective(Micros otherwise) const {
        return classInfo_ && classInfo_->latencyObjectiveUs > 0 ? classInfo_->latencyObjectiveUs : otherwise;
    }
    /// The volume whose limit and quota it is charged to.
    [[nodiscard]] Volume& volume() const { return *volume_; }
    /// Its number in the order of arrival, from 0.
    [[nodiscard]] std::uint64_t sequence() const { return sequence_; }
    /// Whether its body is still being received. Until the body is complete it takes no slot at a
    /// node, as the node cannot answer.
    [[nodiscard]] bool isBodyIncomplete() const { return info_.bodyIncomplete; }

    // -- where and when it is served
    /// When it should be answered: at its latency objective or its deadline, whichever is earlier.
    [[nodiscard]] Micros due() const { return due_; }
    /// Sets `due`; not while it is queued, as queues are ordered by it.
    void setDue(Micros due) { due_ = due; }
    /// The cell that serves it; none: a new object that has no cell yet.
    [[nodiscard]] CellIndex cell() const { return cell_; }
    /// Sets `cell`; not while it is queued.
    void setCell(CellIndex cell) { cell_ = cell; }
    /// Its quota class; `Share` until `Admission` has classified it.
    [[nodiscard]] QuotaClass quota() const { return quota_; }
    /// Sets its quota class.
    /// \param isGuaranteed takes precedence over `isShare`; neither: `Spare`
    void setQuota(bool isGuaranteed, bool isShare) {
        const QuotaClass beyondGuaranteed = isShare ? QuotaClass::Share : QuotaClass::Spare;
        quota_ = isGuaranteed ? QuotaClass::Guaranteed : beyondGuaranteed;
    }
    /// Whether it is in the queue of its cell.
    [[nodiscard]] bool isQueued() const { return queued_; }
    /// Whether its units were taken from the volume's limit; retries are not charged.
    [[nodiscard]] bool hasTokens() const { return hasTokens_; }
    /// Whether it waits for tokens of a limited volume.
    [[nodiscard]] bool needsTokens() const { return volume_->limit().isLimited() && !hasTokens_; }

    // -- its attempts
    /// Number of attempts so far.
    [[nodiscard]] int attempts() const { return attempts_; }
    /// Number of attempts without an outcome.
    [[nodiscard]] int outstanding() const { return outstanding_; }
    /// The nodes of the attempts without an outcome.
    [[nodiscard]] const std::map<AttemptIndex, NodeIndex>& nodeByAttempt() const { return nodeByAttempt_; }
    /// When the last attempt was sent, or when the body was complete if that is later.
    [[nodiscard]] Micros sentAt() const { return sentAt_; }
    /// The node of the first attempt that may have run. A retry may have to go to a node in its key scope.
    /// None: no attempt can have run.
    [[nodiscard]] NodeIndex pinnedNode() const { return pinnedNode_; }
    /// Whether an attempt that ended may have done its work.
    [[nodiscard]] bool mayHaveRun() const { return mayHaveRun_; }
    /// Whether no attempt ran or may still run, so that a rejection, which says so, is true.
    [[nodiscard]] bool neverRan() const { return !mayHaveRun_ && outstanding_ == 0; }
    /// Until when nodes recognise its idempotency key; 0 if its class does not retry by key.
    [[nodiscard]] Micros repeatableUntil() const {
        return retrySafety() == RetrySafety::IdempotentWithKey ? firstSentAt_ + classInfo_->keyWindowUs : 0;
    }
    /// Whether the response is being forwarded to the client, so that no other answer is possible.
    [[nodiscard]] bool isStreaming() const { return streaming_; }
    /// Whether a node has completed the work and only bytes of the response follow.
    [[nodiscard]] bool isNodeDone() const { return nodeDone_; }
    /// Whether it has its final answer; attempts may still be outstanding.
    [[nodiscard]] bool isFinished() const { return finished_; }

    // -- events
    /// It was received.
    /// \param classInfo null: unknown class
    void onReceived(const ClassInfo* classInfo, Volume& volume, std::uint64_t sequence) {
        classInfo_ = classInfo;
        volume_ = &volume;
        sequence_ = sequence;
    }
    /// Its body is complete: nodes can start now, and the client's deadline counts from now.
    void onBodyCompleted(Micros deadline, Micros now) {
        info_.bodyIncomplete = false;
        info_.deadlineUs = deadline;
        sentAt_ = now;
    }
    /// It was added to the queue of its cell.
    void onQueued() { queued_ = true; }
    /// It was removed from the queue of its cell.
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
    /// A response began.
    /// \param forwarding its bytes are being forwarded to the client
    void onResponseStarted(bool forwarding) { streaming_ = streaming_ || forwarding; }
    /// A node has completed the work; only bytes of the response follow.
    /// \return whether the attempt still held its slot, which is free now
    [[nodiscard]] bool onNodeDone() { return !isBodyIncomplete() && !std::exchange(nodeDone_, true); }
    /// An attempt ended; `onOutcome` follows unless the request is finished.
    /// \return whether the attempt still held a slot at its node
    [[nodiscard]] bool onAttemptEnded(AttemptIndex attempt) {
        nodeByAttempt_.erase(attempt);
        --outstanding_;
        return !isBodyIncomplete() && !std::exchange(nodeDone_, false);
    }
    /// Records from the outcome of an attempt whether its node may have done any work.
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
    Volume* volume_ = nullptr;              // owned by VolumeTable, which keeps volumes of open requests
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
    Micros firstSentAt_ = kNever;  // of the first attempt that may have run
    NodeIndex pinnedNode_;
    bool mayHaveRun_ = false;
    bool streaming_ = false;
    bool nodeDone_ = false;
    std::map<AttemptIndex, NodeIndex> nodeByAttempt_;
};

}  // namespace wingproxy
