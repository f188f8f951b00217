/// \file
/// The requests in flight and their attempts. A request stays in the table until it has its final answer and
/// its last attempt has ended: an attempt may outlive the answer, and its outcome still concerns the policy.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>

#include "core/effects.h"
#include "wingproxy/policy.h"

namespace wingproxy::core {

/// An attempt that has not ended.
struct InFlightAttempt {
    std::string node;
    Micros startedAt = 0;
    Micros timeoutAt = 0;
    Micros lastByteBy = StartAttempt::kNever;  ///< after this time the last byte must not be written
    bool requestSent = false;                  ///< the whole request is with the node
};

/// A request without a final answer, or with attempts that have not ended.
struct InFlightRequest {
    Micros deadlineUs = 0;
    double units = 0;             ///< of work
    CellIndex cell;               ///< the cell that holds the object; none: any
    ClassIndex classIndex;        ///< none: unknown
    int attemptsOrdered = 0;      ///< by the policy, those that were not started too; the next one's number
    bool answered = false;        ///< has its final answer, or its client disconnected
    bool forwarding = false;      ///< a response is on its way to the client: no other answer is possible
    bool unbounded = false;       ///< a response without a deadline is being forwarded
    bool bodyIncomplete = false;  ///< its body is still coming
    bool bodyStreamed = false;    ///< its body came after its head, so that it cannot be sent a second time
    std::map<AttemptIndex, InFlightAttempt> attempts;

    /// Nothing is left to be done for it.
    [[nodiscard]] bool isFinished() const { return answered && attempts.empty(); }
};

/// An attempt together with its request; both null where the attempt is not in flight. The pointers are valid
/// until the attempt ends.
struct AttemptLookup {
    InFlightRequest* request = nullptr;
    InFlightAttempt* attempt = nullptr;
    /// Whether the attempt is in flight.
    explicit operator bool() const { return attempt != nullptr; }
};

/// Requests in flight by id.
class RequestTable {
public:
    /// Adds a request; null where its id is in the table already.
    InFlightRequest* add(const Request& request);
    /// The request of this id; null where it is not in flight. Valid until the request is erased.
    [[nodiscard]] InFlightRequest* find(RequestId id);
    /// The attempt of this number of the request.
    [[nodiscard]] AttemptLookup findAttempt(RequestId id, AttemptIndex attempt);
    /// Notes that the request, which had none, has its final answer or needs none any more.
    void markAnswered(InFlightRequest& request);
    /// Forgets a request that is finished (`InFlightRequest::isFinished`).
    void erase(RequestId id) { requests_.erase(id); }
    /// Requests without their final answer.
    [[nodiscard]] std::size_t unanswered() const { return unanswered_; }
    /// Requests in the table, answered ones with attempts in flight included.
    [[nodiscard]] std::size_t size() const { return requests_.size(); }

private:
    std::unordered_map<RequestId, InFlightRequest> requests_;
    std::size_t unanswered_ = 0;
};

}  // namespace wingproxy::core
