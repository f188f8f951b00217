/// \file
/// The names of the policy's enumerations in logs and metrics.
#include "wingproxy/policy.h"

namespace wingproxy {

std::string_view describe(Outcome outcome) {
    switch (outcome) {
        case Outcome::Ok:
            return "ok";
        case Outcome::Error:
            return "error";
        case Outcome::Rejected:
            return "rejected";
        case Outcome::Timeout:
            return "timeout";
        case Outcome::ConnectFailed:
            return "connect_failed";
        case Outcome::Reset:
            return "reset";
        case Outcome::Cancelled:
            return "cancelled";
        case Outcome::NotStarted:
            return "not_started";
    }
    return "unknown";
}

std::string_view describe(AnswerReason reason) {
    switch (reason) {
        case AnswerReason::Unknown:
            return "unknown";
        case AnswerReason::NoNode:
            return "no_node";
        case AnswerReason::SlowStart:
            return "slow_start";
        case AnswerReason::NoTokens:
            return "no_tokens";
        case AnswerReason::NodeBusy:
            return "node_busy";
        case AnswerReason::TooSlow:
            return "too_slow";
        case AnswerReason::NoCapacity:
            return "no_capacity";
        case AnswerReason::NotRepeatable:
            return "not_repeatable";
        case AnswerReason::RequestSpent:
            return "request_spent";
    }
    return "unknown";
}

}  // namespace wingproxy
