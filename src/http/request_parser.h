/// \file
/// Translates the header fields of a platform request into the policy's types. Stateless.
#pragma once

#include <string_view>
#include <variant>

#include "http/messages.h"
#include "wingproxy/policy.h"

namespace wingproxy::http {

/// Why a well-formed HTTP request is not a valid platform request.
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

/// Returns the message for the client: the field's name, a colon, and what is wrong with it.
std::string_view describe(RequestError error);

/// A valid platform request.
struct ParsedRequest {
    Request request;       ///< without `deadlineUs`, which the caller computes from its clock
    Micros timeoutUs = 0;  ///< how long the client waits, from when it has sent the request
};

/// Parses and checks the platform's header fields.
///
/// \param message the head, and the body if it is buffered
/// \return the request, or the first error in the order of `RequestError`
std::variant<ParsedRequest, RequestError> parseRequest(const RequestMessage& message,
                                                       const Settings& settings);

}  // namespace wingproxy::http
