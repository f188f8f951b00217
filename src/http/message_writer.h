/// \file
/// Serializes the messages that the proxy sends: requests to nodes, responses to clients. Stateless.
#pragma once

#include <string>
#include <string_view>

#include "http/messages.h"
#include "wingproxy/policy.h"

namespace wingproxy::http {

/// A request as a node receives it: as the client sent it, without the hop-by-hop fields and with the time
/// that is left.
///
/// \param host for the field Host, where the client sent none
/// \param remainingUs until the deadline; at least 1 ms is written
/// \param streamed if set, only the head is written, and the body follows in this framing
std::string serializeNodeRequest(const RequestMessage& message, const std::string& host, Micros remainingUs,
                                 const BodyFraming* streamed = nullptr);

/// A complete response.
/// \param fields further header lines, each with its line end
std::string serializeResponse(int status, std::string_view fields, std::string_view body, bool keepAlive);

/// The head of a response whose body follows.
/// \param fields header lines, each with its line end; one of them says how the body ends
std::string serializeResponseHead(int status, std::string_view fields, bool keepAlive);

/// The value of a Retry-After field: seconds, with the platform's three decimals.
std::string formatRetryAfter(Micros delayUs);

/// The whole Retry-After header line of a rejection, at most as long as the settings' clients honour.
/// \return empty if the settings or the delay allow none
std::string retryAfterField(const Settings& settings, Micros delayUs);

}  // namespace wingproxy::http
