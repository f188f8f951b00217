/// \file
/// Translates the header fields of a node's response into the policy's types. Stateless.
#pragma once

#include <string_view>
#include <vector>

#include "core/reducer.h"
#include "http/messages.h"

namespace wingproxy::http {

/// Determines the result of an attempt from the head of its complete response.
///
/// A 503 or 504 with `Srv-Declined: 1` is a rejection: the node did not run the request. After such a 504 the
/// request is spent, as every other node would respond the same.
core::AttemptFinished interpretNodeResponse(const ResponseHead& head, const Settings& settings);

/// Parses a node's load report: the columns of `Settings::reportColumns`, in their order.
///
/// \param report "name=value, name=value", as in the field Srv-Load and in the body of a health check
/// \return empty if any column is missing or not a number, since a gap would shift the columns after it
std::vector<double> parseLoadReport(std::string_view report, const Settings& settings);

}  // namespace wingproxy::http
