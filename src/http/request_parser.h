/// \file
/// Translates the header fields of a platform request into the policy's terms. Stateless.
#pragma once

#include <string_view>
#include <variant>

#include "http/messages.h"
#include "wingproxy/policy.h"

namespace wingproxy::http {

/// Why a request that is well-formed HTTP is no valid platform request.
enum class RequestError {
    MissingRequestId,
    UnknownClass,
    UnknownPlan,
    InvalidDeadline,
    InvalidKey,
    InvalidVolume,
    InvalidUnits,
    InvalidShard,
    InvalidHostCount,
    MissingIdempotencyKey,
    BodyOnRead,
};

/// The text for the client: the field's name, a colon, and what is wrong with it.
std::string_view describe(RequestError error);

/// A valid platform request.
struct ParsedRequest {
    Request request;       ///< without a deadline: its clock is the caller's
    Micros timeoutUs = 0;  ///< how long the client waits, from its sending
};

/// \param message the head, and the body where it was buffered
/// \return the first error in the order of `RequestError`, otherwise the request
std::variant<ParsedRequest, RequestError> parseRequest(const RequestMessage& message,
                                                       const Settings& settings);

}  // namespace wingproxy::http
