/// \file
/// Counters of the reducer since the start of the process, for the log, `/_vars` and the `report` command. No
/// decision depends on them.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::core {

/// Final answers of one request class. A request whose client disconnected first is counted in none of them.
struct ResponseCounts {
    std::uint64_t delivered = 0;  ///< a node's response
    std::uint64_t rejected = 0;   ///< nothing ran, and the client may try again
    std::uint64_t failed = 0;     ///< the request may have run
};

/// Counts of requests, attempts and batches.
struct Counters {
    std::uint64_t received = 0;          ///< requests received
    std::uint64_t disconnected = 0;      ///< requests whose client disconnected before the final answer
    std::uint64_t deadlineExceeded = 0;  ///< requests that the reducer itself failed at their deadline
    std::uint64_t batches = 0;           ///< batches for which the policy returned its actions
    /// Attempts cancelled because the client disconnected before the whole request was sent to the node.
    std::uint64_t cancelledBeforeSent = 0;
    /// Retries stopped because their last byte was not sent within the window of the idempotency key.
    std::uint64_t lastByteTimeouts = 0;
    /// Attempts stopped because the system still held a part of their request: their client disconnected, or
    /// the window of the idempotency key ended.
    std::uint64_t stoppedUndelivered = 0;
    std::uint64_t attempts = 0;      ///< attempts started
    std::uint64_t requestsSent = 0;  ///< attempts whose whole request was sent to the node
    std::uint64_t lateResults = 0;   ///< results of attempts that had already been stopped or had timed out
    /// By class index; the last entry counts requests of an unknown class.
    std::vector<ResponseCounts> byClass;
    /// Attempts by `Outcome`, including those that were ordered and not started.
    std::array<std::uint64_t, kOutcomeCount> outcomes{};
    /// Requests that were rejected or failed without a node's response, by `AnswerReason`.
    std::array<std::uint64_t, kAnswerReasonCount> answerReasons{};

    /// The sum over all classes.
    [[nodiscard]] ResponseCounts total() const;
};

}  // namespace wingproxy::core
