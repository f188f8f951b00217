/// \file
/// What the reducer counts since the start of the process. The log, `/_vars` and the `report` command read
/// these figures; nothing is decided by them.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::core {

/// Final answers of one request class. Requests whose client disconnected first are in none of them.
struct ResponseCounts {
    std::uint64_t delivered = 0;  ///< a node's response
    std::uint64_t rejected = 0;   ///< rejected: nothing ran, the client may try again
    std::uint64_t failed = 0;     ///< failed: the request may have run
};

/// Counts of requests, attempts and batches.
struct Counters {
    std::uint64_t received = 0;          ///< requests received
    std::uint64_t disconnected = 0;      ///< requests whose client disconnected before the final answer
    std::uint64_t deadlineExceeded = 0;  ///< requests that the reducer itself failed at their deadline
    std::uint64_t batches = 0;           ///< batches that the policy decided
    /// Attempts cancelled because the client disconnected before the whole request was with the node.
    std::uint64_t cancelledBeforeSent = 0;
    /// Retries whose last byte was not with the node within the window of the idempotency key.
    std::uint64_t lastByteTimeouts = 0;
    std::uint64_t attempts = 0;      ///< attempts started
    std::uint64_t requestsSent = 0;  ///< attempts whose whole request was sent to the node
    std::uint64_t lateResults = 0;   ///< results of attempts that had been stopped or had timed out before
    /// By class index; the last entry is for requests of an unknown class.
    std::vector<ResponseCounts> byClass;
    std::array<std::uint64_t, kOutcomeCount> outcomes{};  ///< ended attempts by Outcome
    /// Requests that were rejected or failed without a node's response, by AnswerReason.
    std::array<std::uint64_t, kAnswerReasonCount> answerReasons{};

    /// The final answers of all classes together.
    [[nodiscard]] ResponseCounts total() const;
};

}  // namespace wingproxy::core
