/// \file
/// The responses to HTTP health checks: `/live` for liveness and `/ready` for readiness. Pure rendering; no
/// I/O.
#pragma once

#include <string>
#include <string_view>

#include "health/gateway_status.h"

namespace wingproxy::health {

/// Renders the response to a request, given its first line; header fields and the query have no effect.
///
/// | request | status |
/// | --- | --- |
/// | not HTTP/1 | 400 |
/// | neither GET nor HEAD | 405 |
/// | `/live` | 200 as long as the process responds |
/// | `/ready` | 200 when ready and not draining, else 503 |
/// | another path | 404 |
///
/// \param requestLine without its end of line
/// \return the complete response; a response to HEAD has the same header fields as to GET and no body
std::string renderHttpResponse(std::string_view requestLine, const GatewayStatus& status);

}  // namespace wingproxy::health
