/// \file
/// The requests in flight and their attempts. A request stays in the table until it has its final answer and
/// its last attempt has ended: an attempt may outlive the answer, and the policy still needs its outcome.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>

#include "core/effects.h"
#include "core/inputs.h"
#include "wingproxy/policy.h"

namespace wingproxy::core {

/// An attempt that has not ended.
struct InFlightAttempt {
    std::string node;
    Micros startedAt = 0;
    Micros timeoutAt = 0;
    Micros lastByteBy = StartAttempt::kNever;  ///< the last byte must not reach the node later
    bool requestSent = false;                  ///< the whole request was given to the system for sending
};

/// A request without a final answer, or with attempts that have not ended.
struct InFlightRequest {
    Micros deadlineUs = 0;
    /// When its attempts are stopped if its body has not been forwarded completely by then.
    Micros bodyDeadlineUs = BodyDeadlineChanged::kNone;
    double units = 0;             ///< units of work
    CellIndex cell;               ///< the cell that holds the object; none: any cell
    ClassIndex classIndex;        ///< none: unknown class
    int attemptCount = 0;         ///< attempts that the policy ordered, started or not; the index of the next
    bool answered = false;        ///< it has its final answer, or its client disconnected
    bool forwarding = false;      ///< a response is being sent to the client: no other answer is possible
    bool unbounded = false;       ///< a response without a deadline is being forwarded
    bool bodyIncomplete = false;  ///< its body is still arriving
    bool bodyStreamed = false;    ///< its body arrived after its head, so that it cannot be sent twice
    std::map<AttemptIndex, InFlightAttempt> attempts;

    /// Whether it has its answer and no attempt in flight.
    [[nodiscard]] bool isFinished() const { return answered && attempts.empty(); }
};

/// An attempt and its request; both null if the attempt is not in flight. The pointers are valid until the
/// attempt ends.
struct AttemptLookup {
    InFlightRequest* request = nullptr;
    InFlightAttempt* attempt = nullptr;
    /// Whether the attempt is in flight.
    explicit operator bool() const { return attempt != nullptr; }
};

/// Requests in flight by id.
class RequestTable {
public:
    /// Adds a request. Returns null if its id is in the table already.
    InFlightRequest* add(const Request& request);
    /// The request with this id; null if it is not in flight. Valid until the request is erased.
    [[nodiscard]] InFlightRequest* find(RequestId id);
    /// The attempt with this index of the request.
    [[nodiscard]] AttemptLookup findAttempt(RequestId id, AttemptIndex attempt);
    /// Marks a request as having its final answer, or needing none any more. To be called once per request.
    void markAnswered(InFlightRequest& request);
    /// Removes a request that is finished (`InFlightRequest::isFinished`).
    void erase(RequestId id) { requests_.erase(id); }
    /// Number of requests without a final answer.
    [[nodiscard]] std::size_t unanswered() const { return unanswered_; }
    /// Number of requests in the table, including answered ones with attempts in flight.
    [[nodiscard]] std::size_t size() const { return requests_.size(); }

private:
    std::unordered_map<RequestId, InFlightRequest> requests_;
    std::size_t unanswered_ = 0;
};

}  // namespace wingproxy::core
