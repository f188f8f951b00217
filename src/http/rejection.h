/// \file
/// Responses to requests that the front rejects itself, without a decision of the policy. Stateless.
#pragma once

#include <boost/system/error_code.hpp>
#include <cstdint>
#include <string>
#include <variant>

#include "http/front_context.h"
#include "http/messages.h"
#include "http/request_parser.h"
#include "http/request_reader.h"

namespace wingproxy::http {

/// The response to a rejected request, and its effect on the connection and the counters.
struct Rejection {
    int status;
    std::string fields;  ///< header lines, each with its line end
    std::string body;
    /// A counter to increment besides those of the response statuses, or null.
    std::uint64_t FrontCounters::*counter;
    /// Whether the connection is closed, as no further request can be read from it.
    bool closesConnection;
};

/// Rejects a message that cannot be parsed: 431 if the head is too long, 413 if the body is, otherwise 400.
Rejection rejectUnreadable(const boost::system::error_code& error);
/// Rejects a request whose body framing is ambiguous (400) or unsupported (501).
Rejection rejectFraming(FramingError error);
/// Rejects a submitted request whose streamed body cannot be parsed.
Rejection rejectUnreadableBody();
/// Rejects a request whose body does not fit into the memory budget.
Rejection rejectBeyondMemoryBudget(const Settings& settings);
/// Rejects a request that came so late that this process may end before its answer does; another one serves.
Rejection rejectDuringShutdown(const Settings& settings);
/// Rejects a partly received request whose connection is evicted, or closed by a shutdown.
Rejection rejectPartialRequest(const Settings& settings);
/// Rejects a request that was not completely received in time.
Rejection rejectOverdueRequest();
/// Rejects a request whose client stopped sending its streamed body.
Rejection rejectStalledBody();

/// Checks a request whose head is complete.
///
/// \param isStreamed whether the body is streamed, so that `message` has none; a rejection then closes the
/// connection, as the body is not read
/// \param openIds the Req-Ids of open requests, which the request must not reuse
/// \param now on the engine's clock
std::variant<ParsedRequest, Rejection> validateRequest(const RequestMessage& message, bool isStreamed,
                                                       const Settings& settings,
                                                       const OpenRequestIds& openIds, Micros now);

}  // namespace wingproxy::http
