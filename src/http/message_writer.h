/// \file
/// Serializes requests to nodes and responses to clients. Stateless.
#pragma once

#include <string>
#include <string_view>

#include "http/messages.h"
#include "wingproxy/policy.h"

namespace wingproxy::http {

/// Serializes the head of a client's request for a node: without the hop-by-hop fields, and with the
/// remaining time in Req-Deadline-Ms.
///
/// \param host the value of Host if the client sent none
/// \param remainingUs time until the attempt's timeout; never more than the client's own timeout is written,
///        and at least 1 ms
/// \param streamed the framing of a body that is not part of the message
std::string serializeNodeRequestHead(const RequestMessage& message, const std::string& host,
                                     Micros remainingUs, const BodyFraming* streamed = nullptr);

/// Serializes a complete response.
/// \param fields additional header lines, each with its line end
std::string serializeResponse(int status, std::string_view fields, std::string_view body, bool keepAlive);

/// Serializes the head of a response whose body follows.
/// \param fields header lines, each with its line end, including the body's framing unless the close ends it
std::string serializeResponseHead(int status, std::string_view fields, bool keepAlive);

/// Formats the value of Retry-After: seconds with three decimals, as the platform's protocol requires.
std::string formatRetryAfter(Micros delayUs);

/// Formats the complete Retry-After header line of a rejection, limited to `Settings::maxRetryAfterUs`.
/// \return empty if the settings disable the field or the delay is not above 0
std::string retryAfterField(const Settings& settings, Micros delayUs);

}  // namespace wingproxy::http
