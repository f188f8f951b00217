/// \file
/// A request that has no final answer yet, or whose attempts are not over.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "policy/node.h"
#include "policy/volume.h"

namespace wingproxy {

/// Where a request lies in what its volume may ask for.
enum class QuotaClass {
    Guaranteed,  ///< inside the guaranteed rate
    Share,       ///< inside the weighted share of a cell
    Spare,       ///< beyond it: served while nothing else needs the capacity
};

/// One request of a client.
struct PendingRequest {
    Request info;
    const ClassInfo* classInfo = nullptr;  ///< null: unknown class
    Volume* volume = nullptr;
    QuotaClass quota = QuotaClass::Share;
    std::uint64_t sequence = 0;   ///< order of arrival
    Micros due = 0;               ///< should be answered by then, at the latest
    CellIndex cell;               ///< where it is to be served
    bool bodyIncomplete = false;  ///< takes no place at a node yet
    bool queued = false;
    bool hasTokens = false;  ///< its units were taken from the volume's limit
    bool finished = false;   ///< it has its final answer; attempts may be outstanding

    int attempts = 0;
    int outstanding = 0;          ///< attempts without an outcome
    Micros sentAt = 0;            ///< last attempt
    Micros firstSentAt = kNever;  ///< first attempt that may have run
    NodeIndex pinnedNode;         ///< the node of that attempt
    bool mayHaveRun = false;
    bool streaming = false;                           ///< the response reaches the client already
    bool nodeDone = false;                            ///< the node has done its work, only bytes follow
    std::map<AttemptIndex, NodeIndex> nodeByAttempt;  ///< of outstanding attempts

    [[nodiscard]] RetrySafety retrySafety() const {
        return classInfo ? classInfo->retrySafety : RetrySafety::NotIdempotent;
    }
    /// Value of a unit of its work that is answered in time.
    [[nodiscard]] double priorityWeight() const { return classInfo ? classInfo->priorityWeight : 1; }
    /// The latency objective of its class; `otherwise` where it has none.
    [[nodiscard]] Micros latencyObjective(Micros otherwise) const {
        return classInfo && classInfo->latencyObjectiveUs > 0 ? classInfo->latencyObjectiveUs : otherwise;
    }
    void setQuota(bool isGuaranteed, bool isShare) {
        const QuotaClass beyondGuaranteed = isShare ? QuotaClass::Share : QuotaClass::Spare;
        quota = isGuaranteed ? QuotaClass::Guaranteed : beyondGuaranteed;
    }
    /// Until when nodes recognise its idempotency key; 0: it has none, or needs none.
    [[nodiscard]] Micros repeatableUntil() const {
        return retrySafety() == RetrySafety::IdempotentWithKey ? firstSentAt + classInfo->keyWindowUs : 0;
    }
    /// Whether nothing of it ran, or may run yet.
    [[nodiscard]] bool isUntouched() const { return !mayHaveRun && outstanding == 0; }
    /// Whether it waits for tokens of a limited volume.
    [[nodiscard]] bool needsTokens() const { return volume->limit.limited && !hasTokens; }

    /// An attempt was sent to a node.
    void onSent(NodeIndex node, Micros now) {
        if (pinnedNode.isNone()) {
            pinnedNode = node;
            firstSentAt = now;
        }
        nodeByAttempt[AttemptIndex(attempts++)] = node;
        sentAt = now;
        ++outstanding;
    }
    /// An attempt ended in this way: whether its node may have done any work.
    void onEnded(Outcome outcome) {
        const bool neverRan = outcome == Outcome::Rejected || outcome == Outcome::ConnectFailed ||
                              outcome == Outcome::NotStarted;
        if (!neverRan)
            mayHaveRun = true;
        else if (!mayHaveRun)
            pinnedNode = NodeIndex();
    }
    /// An attempt is over.
    /// \return whether it still held a place at its node
    bool onAttemptEnded(AttemptIndex attempt) {
        nodeByAttempt.erase(attempt);
        --outstanding;
        return !bodyIncomplete && !std::exchange(nodeDone, false);
    }
};

}  // namespace wingproxy
